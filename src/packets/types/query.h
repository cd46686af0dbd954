#pragma once

#include <cstdint>
#include <vector>

#include "base/types/ids.h"
#include "packets/types/packet.h"

namespace anvildrum::packets {

/// Maximum number of flows in one query, 16 bytes each, so that the datagram fits into an Ethernet
/// frame.
inline constexpr auto kFlowsInQuery = std::size_t{70};

/// A balancer's query to an agent: which of these flows, for which the balancer has no hint, does
/// the agent's target hold?
struct FlowQuery {
  base::ServiceId service;  ///< of the agent
  std::uint32_t token = 0;  ///< returned with the answer
  std::vector<FlowId> flows;
};

/// An agent's answer: what it knows about the flows of a query.
struct FlowAnswer {
  Address agent = 0;
  base::ServiceId service;  ///< of the agent
  std::uint32_t token = 0;
  /// The agent has known the same other agents for a while, and every balancer that sends it hellos
  /// reports that no other agent may hold a flow.
  bool settled = false;
  std::uint32_t peers_digest = 0;     ///< digest of the agents that it knows, as DigestOf(Hello)
  std::vector<std::uint32_t> held{};  ///< indices in the query of flows that its target holds
  /// Indices of flows that its target may hold; only a packet can tell.
  std::vector<std::uint32_t> unsure{};
};

}  // namespace anvildrum::packets
