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

#include "packets/routes.h"
#include "packets/stall.h"
#include "packets/types/search.h"
#include "packets/view.h"

/// The balancer's part of packet flows, without input or output: where a client's packet goes. The
/// target beside an agent is the truth of a flow; what stands here are hints that save a packet its
/// way along the rendezvous order, and all of them may be lost at any moment.
namespace anvildrum::packets {

struct BalancerPolicy {
  ViewPolicy view;
  SearchPolicy search;
  /// Agents at the head of a flow's order among which the least loaded is given the opening.
  std::size_t candidates = 3;
  /// Records that the platform confirmed this long ago are as new as can be: a watch, its call's
  /// timeout and a pause.
  base::Duration records_fresh_for = base::seconds{10};
  /// Flows that are remembered, 130 bytes each. Packets of further ones are carried as of unknown
  /// flows: a flood of made-up flows must not end the process at its limit of memory.
  std::size_t max_hints = 200'000;
  /// Load, in requests for each slot, from which on the candidates count as busy and all agents are
  /// looked at.
  double busy_load = 1.0;
  /// A flow's hint is dropped after this long without a packet where no configuration says how long
  /// a flow may be idle. The flow itself stays.
  base::Duration hint_idle = base::seconds{20};
  /// A balancer that has run for this long has heard from the agents that live: they remind silent
  /// balancers of themselves twice a second.
  base::Duration discovery_time = base::milliseconds{1000};
  /// How long a service that a route has left may still hold its flows: the age up to which the
  /// users keep them.
  base::Duration former_service_ttl = base::seconds{60};
  /// Load that an open flow without a request counts for: about one request of 30 ms a second.
  double held_flow_weight = 0.03;
  /// Factor on the load of a target that has just started and is slow.
  double cold_load_factor = 2.0;
};

/// Agents that an opening has been sent to; more are not tried.
inline constexpr auto kMaxOffers = std::size_t{3};

/// What is remembered of a flow.
struct Hint {
  Address agent = 0;             ///< the one that it was offered to or is held by; 0: not known
  base::TimePoint seen{};        ///< last packet
  base::TimePoint offered_at{};  ///< last opening
  bool opened = false;           ///< the client went on after its opening, so a target answered
  std::uint8_t offers = 0;
  std::array<Address, kMaxOffers> tried{};
};

struct BalancerCounters {
  std::uint64_t openings = 0;
  std::uint64_t copies = 0;  ///< openings that the client repeated
  std::uint64_t forwarded = 0;
  std::uint64_t hint_misses = 0;  ///< packets of flows that weren't remembered
  std::uint64_t no_route = 0;
  std::uint64_t no_target = 0;  ///< no agent of the service is known
  std::uint64_t refused = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t queries = 0;    ///< agents that were asked for flows, each time
  std::uint64_t found = 0;      ///< flows that an agent said it holds
  std::uint64_t not_found = 0;  ///< searches that ended without a result
  std::uint64_t resets = 0;     ///< flows that no target holds any more, answered by a reset
};

/// A service that an earlier configuration sent a route's flows to.
struct FormerService {
  base::ServiceId service;
  base::TimePoint until{};  ///< its flows are too old by then to be kept
};

struct Balancer {
  BalancerPolicy policy;
  Address own = 0;
  DomainTag domain = 0;          ///< where it runs, and where its clients mostly are
  base::TimePoint records_at{};  ///< when the platform last confirmed the agents' records
  std::optional<Routes> routes;  ///< nothing until a configuration has been read
  std::unordered_map<std::uint64_t, std::vector<FormerService>> former;  ///< by KeyOf the route
  View view;
  std::unordered_map<FlowId, Hint> hints;
  Searches searches;
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
  kNotAccepted,      ///< an opening that every agent on its way passed on
  kMayBeOpen,        ///< an opening that nobody took now, but somebody may have taken before
  kEnded,            ///< the last acknowledgement of a flow that has ended in good order
  kTooManySearches,  ///< too many flows are searched for
};

/// For logs: a few words in place of the number.
auto NameOf(DiscardReason reason) -> std::string_view;

struct Discard {
  DiscardReason reason = DiscardReason::kNoRoute;
};

/// Answer the opening with a reset: it has been offered to no target and never will be.
struct RefuseOpening {
  DiscardReason reason = DiscardReason::kNoTarget;
};

/// Keep the packet until the search for its flow ends (packets/search.h).
struct AwaitSearch {};

using BalancerVerdict = std::variant<ForwardToAgent, RefuseOpening, AwaitSearch, Discard>;

/// Decides on one packet of a client.
auto RoutePacket(Balancer& balancer, const Packet& packet, base::TimePoint now) -> BalancerVerdict;

/// The stamp of a packet of the service; `refusable` as in Stamp.
auto StampFor(const Balancer& balancer, base::ServiceId service, bool refusable = false) -> Stamp;

/// Whether the platform's records of agents are as new as can be. Without them nobody can say that
/// no agent is missing.
auto RecordsAreFresh(const Balancer& balancer, base::TimePoint now) -> bool;

/// Drops hints of flows that have been quiet for long.
auto ForgetHints(Balancer& balancer, base::TimePoint now) -> void;

/// Puts a configuration in force unless it is older than the one that is. False when it is older.
/// New flows go by it; open flows of routes that stay are left where they are.
auto ApplyRoutes(Balancer& balancer, Routes routes, base::TimePoint now) -> bool;

}  // namespace anvildrum::packets
