#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <variant>
#include <vector>

#include "base/echo.h"
#include "base/types/time.h"
#include "packets/drain.h"
#include "packets/types/query.h"
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
/// every hello a balancer's bytes grow as its agents squared.
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
  /// Agents of the service whose process has started anew a moment ago, and that the balancer knew
  /// before: their targets may hold flows which an earlier process opened. At most kMaxRestarted.
  std::vector<Address> restarted{};
  /// The platform's revision of the configuration that the sender has in force; 0: none. A balancer
  /// that has an older one reads it, an agent that keeps a copy asks for it.
  std::uint64_t revision = 0;
  DrainedDomains drained{};  ///< as the sender knows them
  /// To a balancer: agents whose machines the sender has found out of reach, kMaxOutOfReach of
  /// them.
  std::vector<Address> out_of_reach{};
  /// To a balancer: when this was sent, the platform had said this long ago that there is nothing
  /// newer than `revision` and `drained`; nothing where that is not known.
  std::optional<base::Duration> confirmed_ago{};
  std::uint32_t mark = 0;            ///< to a balancer: of the sender's clock
  std::optional<base::Echo> echo{};  ///< to a balancer: of the last mark that came from it
  /// To an agent: openings a second that a target of its service bears while it is cold; 0: as many
  /// as it has places for.
  std::uint32_t cold_per_second = 0;
  /// To a balancer: another one that has the sender's configuration, and can be asked for it in the
  /// sender's place; 0: none is known. Each receiver is told of another one.
  Address holder = 0;
  bool platform_silent = false;  ///< to an agent: the platform has answered no balancer lately
  std::uint32_t balancers = 0;   ///< to a balancer: that the sender hears of, itself included
};

/// Agents that a hello names as started anew, the rest of a datagram: beyond that their targets are
/// not told apart, and `complete` is false.
inline constexpr auto kMaxRestarted = std::size_t{300};

/// Agents that a hello to a balancer names as out of reach, beside hearsay in one datagram. Others
/// each balancer finds itself, a second later.
inline constexpr auto kMaxOutOfReach = std::size_t{200};

/// Most parts of a list.
inline constexpr auto kMaxHelloParts = std::uint32_t{64};

/// Digest of a hello's peers; never 0.
auto DigestOf(const Hello& hello) -> std::uint32_t;

/// From an agent to the balancer that sent a flow's packet: the flow is here. Its opening came by
/// way of other agents, or the agent had to ask its target.
///
/// Safeguard: the balancer would send the client's next packets to the agent that passed the
/// opening on, whose target gives each of them back.
struct Located {
  Address agent = 0;
  FlowId flow;
};

/// From an agent to the balancer that sent it: a packet of a flow that its target does not take.
struct GivenBack {
  Address agent = 0;
  /// The target does not hold the flow; otherwise the agent withheld the packet, and the target may
  /// hold the flow half open.
  bool by_target = false;
  /// The packet, at most kMaxGivenBack; or its flow, where the balancer keeps it.
  std::variant<std::vector<std::uint8_t>, FlowId> packet;
};

/// The longest packet, header and payload, with room to spare.
inline constexpr auto kMaxGivenBack = std::size_t{1400};

using Control = std::variant<Hello, TargetReport, Located, FlowQuery, FlowAnswer, GivenBack>;

auto EncodeControl(const Control& control) -> std::string;

/// Nothing for bytes that aren't a control datagram. `sender` is the address that it came from.
auto DecodeControl(std::span<const std::uint8_t> bytes, Address sender) -> std::optional<Control>;

}  // namespace anvildrum::packets
