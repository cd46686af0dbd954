#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "base/types/time.h"
#include "packets/types/target.h"

/// Control datagrams of packet flows. A balancer says hello to each agent that it knows, and the
/// agent answers with a report; an agent also reports unasked when its target's state changes, and
/// to the balancers that its settings name while no balancer has said hello.
namespace anvildrum::packets {

struct Peer {
  Address agent = 0;
  base::ServiceId service;
  DomainTag domain = 0;  ///< told to agents
  auto operator==(const Peer&) const -> bool = default;
};

/// From a balancer: to an agent with the live agents of its service, to a balancer with all.
///
/// A hello names the list by its digest. An agent that holds no list with that digest, from this
/// balancer or another one, asks for it in its report (TargetReport::wanted_list). With the list in
/// each of four hellos a second a balancer of 48 agents sent 110 kB/s.
struct Hello {
  base::ServiceId service{};  ///< of the agent that it goes to; zero: it goes to a balancer
  std::vector<Peer> peers;    ///< in the order of addresses; empty where `listed` is false
  /// No other agent of the service can hold a flow, as far as the balancer knows.
  bool complete = false;
  bool listed = true;        ///< the peers are in the message
  std::uint32_t digest = 0;  ///< of the peers, as DigestOf(Hello)
  std::uint32_t part = 0;    ///< of a list that is sent in parts, from 0
  std::uint32_t parts = 1;
  base::Duration every{};  ///< until the balancer's next hello, while nothing changes
};

/// Most parts of a list.
inline constexpr auto kMaxHelloParts = std::uint32_t{64};

/// Digest of a hello's peers; never 0.
auto DigestOf(const Hello& hello) -> std::uint32_t;

/// From an agent to balancers: its target holds the flow, a packet of which came here by way of
/// other agents.
///
/// Safeguard: a balancer that has just started remembers no flow, and each packet of one would go
/// round the agents until it finds its own; one agent on that way that has just ended swallows it.
/// The symptom is an established flow that stays silent while its target is well. From the first
/// packet on that arrives, the balancer knows the way.
struct Located {
  Address agent = 0;
  FlowId flow;
};

using Control = std::variant<Hello, TargetReport, Located>;

auto EncodeControl(const Control& control) -> std::string;

/// Nothing for bytes that aren't a control datagram. `sender` is the address that it came from.
auto DecodeControl(std::span<const std::uint8_t> bytes, Address sender) -> std::optional<Control>;

}  // namespace anvildrum::packets
