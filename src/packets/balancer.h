#pragma once

#include <array>
#include <cstdint>
#include <deque>
#include <optional>
#include <span>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "packets/route_classes.h"
#include "packets/routes.h"
#include "packets/stall.h"
#include "packets/types/search.h"
#include "packets/types/target_verdicts.h"
#include "packets/view.h"

/// Decides to which agent a balancer forwards each client packet. This code does no input or
/// output. Only the target beside an agent knows the state of a flow; a balancer keeps hints that
/// spare a packet the search along the rendezvous order, and may lose all of them at any moment.
namespace anvildrum::packets {

struct BalancerPolicy {
  ViewPolicy view;
  SearchPolicy search;
  /// Number of agents at the head of a flow's rendezvous order among which the least loaded one
  /// receives the opening.
  std::size_t candidates = 3;
  /// Agent records that the platform confirmed within this time count as fresh. It covers one
  /// watch, the timeout of its call and a pause of the process.
  base::Duration records_fresh_for = base::seconds{10};
  /// Maximum number of flow hints, 130 bytes each. Packets of further flows are handled as those of
  /// unknown flows, so that a flood of forged flows does not exhaust the memory limit.
  std::size_t max_hints = 200'000;
  /// Load in requests per slot at which the candidates count as busy, so that all agents are
  /// considered.
  double busy_load = 1.0;
  /// A flow's hint is dropped after this long without a packet if there is no configuration yet to
  /// set the idle limit. The flow itself stays open.
  base::Duration hint_idle = base::seconds{20};
  /// A balancer that has run for this long has received reports from all live agents, because they
  /// contact a silent balancer twice a second.
  base::Duration discovery_time = base::milliseconds{1000};
  /// How long after its start a balancer waits to learn which domains are drained. A platform that
  /// answers does so within it.
  base::Duration drains_timeout = base::milliseconds{1000};
  /// How long a service that was removed from a route may still hold flows of the route: the
  /// maximum age up to which users keep a flow.
  base::Duration former_service_ttl = base::seconds{60};
  /// How old the recorded history may be when a flow is reset. A balancer that has an older one
  /// reads it again, and resets the flow at its client's next packet.
  base::Duration history_fresh_for = base::seconds{10};
  /// Load of an open flow without a request, in requests: about one request of 30 ms per second.
  double held_flow_weight = 0.03;
  /// Agents leave openings to their clients' copies in the first second of a shortage, so that a
  /// copy does not show that a busy agent is gone.
  bool copies_awaited = false;
  /// Factor applied to the load of a target that has just started and is still slow.
  double cold_load_factor = 2.0;
  /// Targets whose requests fail more often than those of their peers lose weight
  /// (packets/target_verdicts.h).
  bool avoid_failing_targets = false;
  /// Candidates are compared by the time at which the opening's request would end there, instead of
  /// by requests per slot.
  bool place_by_completion = false;
};

/// Maximum number of agents that a hint records as tried for an opening.
inline constexpr auto kMaxOffers = std::size_t{3};

/// What a balancer remembers about a flow.
struct Hint {
  Address agent = 0;             ///< agent that holds the flow or was offered it; 0: unknown
  base::TimePoint seen{};        ///< last packet
  base::TimePoint offered_at{};  ///< last opening
  bool opened = false;           ///< the client sent more after its opening, so a target answered
  std::uint8_t offers = 0;
  std::array<Address, kMaxOffers> tried{};
};

struct BalancerCounters {
  std::uint64_t openings = 0;
  std::uint64_t copies = 0;  ///< openings that the client retransmitted
  std::uint64_t forwarded = 0;
  std::uint64_t hint_misses = 0;  ///< packets of flows without a usable hint
  std::uint64_t no_route = 0;
  std::uint64_t no_target = 0;  ///< no agent of the service is known
  std::uint64_t refused = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t queries = 0;    ///< flow queries sent, counted per agent
  std::uint64_t found = 0;      ///< searches that found the flow's agent
  std::uint64_t not_found = 0;  ///< searches that ended without a result
  std::uint64_t resets = 0;     ///< lost flows, answered by a reset
};

/// A service to which an earlier configuration sent the flows of a route.
struct FormerService {
  base::ServiceId service;
  base::TimePoint until{};  ///< when no user keeps its flows any longer
};

struct Balancer {
  BalancerPolicy policy;
  Address own = 0;
  DomainTag domain = 0;          ///< domain of this balancer and of most of its clients
  base::TimePoint records_at{};  ///< when a copy of the agents' records was last read
  /// When the last read of the agents' records began that did not take a copy; see TakeRecords.
  base::TimePoint records_read_at{};
  bool records_wanted = false;   ///< a search awaits such a read
  std::optional<Routes> routes;  ///< empty until a configuration has been read
  ClassesByService classes;      ///< of the routes in `routes`
  std::unordered_map<std::uint64_t, std::vector<FormerService>> former;  ///< by KeyOf(route)
  RouteServices recorded;           ///< as last taken by TakeHistory
  base::TimePoint history_at{};     ///< when the record was read that TakeHistory took
  bool history_wanted = false;      ///< a flow was not reset for lack of a newer one
  bool drains_unknown = false;      ///< it has not been learned yet which domains are drained
  bool outdated = false;            ///< another instance has told of a newer configuration
  base::TimePoint configured_at{};  ///< when the first configuration was applied
  base::TimePoint routes_at{};      ///< when the present one was
  std::uint64_t route_changes = 0;  ///< counts the changes of `routes` and `former`
  View view;
  std::unordered_map<FlowId, Hint> hints;
  Searches searches;
  TargetVerdicts verdicts;
  StallWatch stall;
  BalancerCounters counters;
};

struct ForwardToAgent {
  Address agent = 0;
  Stamp stamp;
};

enum class DiscardReason : std::uint8_t {
  kNoConfiguration,
  kNoRoute,
  kNoTarget,
  kDrained,  ///< all domains in which the service has targets are drained
  kWrongService,
  kNotAccepted,      ///< every agent that received the opening passed it on
  kMayBeOpen,        ///< no agent accepted the opening, but one may have before
  kEnded,            ///< the last acknowledgement of a flow that closed normally
  kStarting,         ///< the agent takes openings soon; the client's next copy may find it ready
  kAwaitsCopy,       ///< no target has capacity yet; the client's next copy may find some
  kTooManySearches,  ///< the limit of concurrent searches is reached
};

/// Short description of the reason for logs.
auto NameOf(DiscardReason reason) -> std::string_view;

struct Discard {
  DiscardReason reason = DiscardReason::kNoRoute;
};

/// Answer the opening with a reset: it was not offered to any target and never will be.
struct RefuseOpening {
  DiscardReason reason = DiscardReason::kNoTarget;
};

/// Hold the packet until the search for its flow ends (packets/search.h).
struct AwaitSearch {};

using BalancerVerdict = std::variant<ForwardToAgent, RefuseOpening, AwaitSearch, Discard>;

/// Decides what to do with one packet from a client.
auto RoutePacket(Balancer& balancer, const Packet& packet, base::TimePoint now) -> BalancerVerdict;

/// Returns the stamp for a packet of the service; `refusable` is as in Stamp.
auto StampFor(const Balancer& balancer, base::ServiceId service, bool refusable = false) -> Stamp;

/// Whether a copy of the agent records was read recently. The copy itself may be seconds old, so
/// that it does not show that no agent is missing.
auto RecordsAreFresh(const Balancer& balancer, base::TimePoint now) -> bool;

/// An agent's record at the platform.
struct AgentRecord {
  Address agent = 0;
  base::ServiceId service;
};

/// Takes the agents' records, as read from the platform itself and not from a copy, by a call that
/// began at `read_at`. With those that are known already they are the records of all agents.
///
/// Safeguard: a balancer may be the only one that knows a new agent, and may lose power. The others
/// have copies of the records that are seconds old, and the agents forget what it told them, so
/// that an open flow at the new agent would be reset. A new target receives openings once it is
/// recorded, so that a read that began after a packet of the flow arrived names the agent of every
/// holder.
auto TakeRecords(Balancer& balancer, std::span<const AgentRecord> records, base::TimePoint read_at,
                 base::TimePoint now) -> void;

enum class DrainsStatus : std::uint8_t {
  kUnchanged,
  kLearned,  ///< the platform or another instance has told which domains are drained
  kGivenUp,  ///< nobody told, and the platform does not answer
};

/// Clears Balancer::drains_unknown once it is known which domains are drained, or once nobody can
/// be expected to tell. Openings are served then. Agents are told at once.
auto ReviewDrains(Balancer& balancer, bool platform_answers, base::TimePoint now) -> DrainsStatus;

/// Drops the hints of flows that have been idle for longer than the idle limit.
auto ForgetHints(Balancer& balancer, base::TimePoint now) -> void;

/// Applies a configuration. Returns false, and changes nothing, if it is older than the current
/// one. New flows follow it; open flows of routes that remain stay at their targets.
auto ApplyRoutes(Balancer& balancer, Routes routes, base::TimePoint now) -> bool;

}  // namespace anvildrum::packets
