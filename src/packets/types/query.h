#pragma once

#include <cstdint>
#include <vector>

#include "base/types/ids.h"
#include "packets/types/packet.h"

namespace anvildrum::packets {

/// Flows in one query: 16 bytes each, so that no datagram is longer than an Ethernet frame.
inline constexpr auto kFlowsInQuery = std::size_t{70};

/// From a balancer that does not remember these flows, to an agent: does its target hold them?
struct FlowQuery {
  base::ServiceId service;  ///< of the agent
  std::uint32_t token = 0;  ///< returned with the answer
  std::vector<FlowId> flows;
};

/// From an agent: what it knows of the flows of a query.
struct FlowAnswer {
  Address agent = 0;
  base::ServiceId service;  ///< of the agent
  std::uint32_t token = 0;
  /// The agent has counted the same other agents for a while, and every balancer that greets it
  /// says that no other agent may hold a flow.
  bool settled = false;
  std::uint32_t peers_digest = 0;       ///< of the agents that it counts, as DigestOf(Hello)
  std::vector<std::uint32_t> held{};    ///< places in the query: its target holds these
  std::vector<std::uint32_t> unsure{};  ///< its target may hold these: only a packet can tell
};

}  // namespace anvildrum::packets
