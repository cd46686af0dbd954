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
#include "packets/types/route_classes.h"
#include "packets/types/route_query.h"
#include "packets/types/target.h"

/// Control datagrams of packet flows. A balancer sends a hello to each agent that it knows, and the
/// agent answers with a report. An agent also reports unasked when its target's state changes, and,
/// while no balancer has sent it a hello, to the balancers that its settings name.
namespace anvildrum::packets {

struct Peer {
  Address agent = 0;
  base::ServiceId service;
  DomainTag domain = 0;  ///< failure domain; only in hellos to agents
  auto operator==(const Peer&) const -> bool = default;
};

/// Sent by a balancer. To an agent it lists the live agents of that agent's service, to a balancer
/// those of all services.
///
/// A hello to an agent identifies the list by its digest. An agent that holds no list with that
/// digest, from this balancer or another one, requests it in its report
/// (TargetReport::wanted_list). If every hello carried the list, a balancer's traffic would grow
/// with the square of its number of agents.
struct Hello {
  base::ServiceId service{};  ///< of the receiving agent; zero: the receiver is a balancer
  std::vector<Peer> peers;    ///< sorted by address; empty where `listed` is false
  /// As far as the balancer knows, no agent of the service outside the list can hold a flow.
  bool complete = false;
  bool listed = true;        ///< whether the message contains the peers
  std::uint32_t digest = 0;  ///< of the peers, see DigestOf(Hello)
  std::uint32_t part = 0;    ///< index of this part of the list, from 0
  std::uint32_t parts = 1;   ///< number of parts of the list
  base::Duration every{};    ///< until the balancer's next hello, while nothing changes
  /// Agents of the service that the balancer knew before and whose process has restarted recently:
  /// their targets may hold flows that an earlier process opened. At most kMaxRestarted.
  std::vector<Address> restarted{};
  /// The platform's revision of the configuration that the sender has in force; 0: none. A balancer
  /// that has an older one fetches it, and an agent that keeps a copy requests it.
  std::uint64_t revision = 0;
  DrainedDomains drained{};  ///< as known to the sender
  /// To a balancer: agents whose machines the sender itself has found unreachable, at most
  /// kMaxOutOfReach.
  std::vector<Address> out_of_reach{};
  /// To a balancer: time between the platform's last confirmation that nothing is newer than
  /// `revision` and `drained`, and the sending of this message; nullopt if unknown.
  std::optional<base::Duration> confirmed_ago{};
  std::uint32_t mark = 0;            ///< to a balancer: time mark of the sender's clock
  std::optional<base::Echo> echo{};  ///< to a balancer: echo of the last mark received from it
  /// To an agent: openings a second that a cold target of its service can take; 0: limited only by
  /// the target's slots.
  std::uint32_t cold_per_second = 0;
  /// To a balancer: another balancer that has the sender's configuration and can be asked for it
  /// instead of the sender; 0: none is known. Each receiver is given a different one.
  Address holder = 0;
  bool drains_unknown = false;   ///< to an agent: the sender does not know `drained` yet
  bool platform_silent = false;  ///< to an agent: the platform has answered no balancer lately
  std::uint32_t balancers = 0;   ///< to a balancer: number that the sender knows, itself included
  /// To an agent: digest of the classes of its service's routes; 0: the sender knows none.
  std::uint32_t classes_digest = 0;
  std::uint64_t classes_version = 0;  ///< number of the configuration that states the classes
  /// To an agent: the sender answers a RouteQuery. Builds that do not are trusted to have sent a
  /// packet to the right service if its stamp agrees.
  bool answers_route_queries = false;
};

/// Maximum number of restarted agents in a hello; they fill the rest of a datagram. If there are
/// more, the hello names none of them and `complete` is false.
inline constexpr auto kMaxRestarted = std::size_t{300};

/// Maximum number of unreachable agents in a hello to a balancer, so that they fit into one
/// datagram together with gossip. Each balancer finds any others itself, a second later.
inline constexpr auto kMaxOutOfReach = std::size_t{200};

/// Maximum number of parts of a list.
inline constexpr auto kMaxHelloParts = std::uint32_t{64};

/// Digest of a hello's peers; never 0.
auto DigestOf(const Hello& hello) -> std::uint32_t;

/// Sent by an agent to the balancer that forwarded a flow's packet: the agent's target holds the
/// flow. The agent sends it if other agents passed the opening on to it, or if it had to ask its
/// target.
///
/// Safeguard: without it the balancer would send the client's next packets to the agent that passed
/// the opening on, whose target returns each of them.
struct Located {
  Address agent = 0;
  FlowId flow;
};

/// A packet that an agent returns to the balancer that sent it, because the agent's target does not
/// accept packets of its flow.
struct GivenBack {
  Address agent = 0;
  /// True: the target does not hold the flow. False: the agent withheld the packet, and the target
  /// may hold the flow half open.
  bool by_target = false;
  /// The packet, at most kMaxGivenBack bytes, or only its flow if the balancer keeps the packet.
  std::variant<std::vector<std::uint8_t>, FlowId> packet;
  /// The target itself has returned a packet of the flow. Where only `by_target` is set, the agent
  /// may have found that there is no target.
  bool denied = false;
};

/// Maximum size of a returned packet in bytes, header and payload. It exceeds the longest packet.
inline constexpr auto kMaxGivenBack = std::size_t{1400};

using Control = std::variant<Hello, TargetReport, Located, FlowQuery, FlowAnswer, GivenBack,
                             RouteClassesPart, RouteQuery, RouteAnswer>;

auto EncodeControl(const Control& control) -> std::string;

/// Returns nullopt for bytes that are not a valid control datagram. `sender` is the address that
/// the datagram came from.
auto DecodeControl(std::span<const std::uint8_t> bytes, Address sender) -> std::optional<Control>;

}  // namespace anvildrum::packets
