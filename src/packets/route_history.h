#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/types/time.h"
#include "packets/balancer.h"
#include "packets/routes.h"
#include "packets/types/route_query.h"

/// Which services may hold flows of each route: the present ones, and those that it has left within
/// BalancerPolicy::former_service_ttl. Balancers keep it in memory and at the platform, so
/// that it outlasts all of their processes.
///
/// Safeguard: a balancer that starts after a route was given another service would search only
/// there, and reset the flows that are open at the former one. All balancers may start at once. The
/// stored history names the present services too, so that it need not be written in the moment
/// between a change and the end of the processes that know of it.
namespace anvildrum::packets {

/// Replaces the balancer's routes, and keeps the services that the new ones lack as former ones.
auto ReplaceRoutes(Balancer& balancer, Routes routes, base::TimePoint now) -> void;

/// Returns the services that may hold an open flow: first the one that a new flow would go to, then
/// the other services of its route, then those that the route has left.
auto HoldersOf(const Balancer& balancer, const FlowId& flow, base::TimePoint now)
    -> std::vector<base::ServiceId>;

/// Answers an agent's question by the routes in force; nullopt if there are none yet.
auto AnswerRouteQuery(const Balancer& balancer, const RouteQuery& query, base::TimePoint now)
    -> std::optional<RouteAnswer>;

/// Notes that the service may hold flows of the route, by KeyOf. Unless the route has it now, it is
/// searched for the route's flows like one that the route has just left.
auto NoteFormerService(Balancer& balancer, std::uint64_t route, base::ServiceId service,
                       base::TimePoint now) -> void;

/// Number of parts in which the history is stored, so that a change rewrites only one of them.
inline constexpr auto kHistoryParts = std::size_t{8};

/// The part in which a route is recorded, by KeyOf.
auto HistoryPartOf(std::uint64_t route) -> std::size_t;

/// Returns the services that may hold flows of the routes of one part, each list sorted.
auto HistoryPart(const Balancer& balancer, std::size_t part, base::TimePoint now) -> RouteServices;

/// Takes the whole stored history, as read by a call that began at `read_at`. Services that a route
/// does not have any longer count as left just now, since the history has no times.
auto TakeHistory(Balancer& balancer, RouteServices recorded, base::TimePoint read_at,
                 base::TimePoint now) -> void;

/// A balancer that applies a configuration records it within this time, so that others which
/// skipped that version can read it.
inline constexpr auto kRecordedWithin = base::milliseconds{1000};

/// Whether the balancer knows every service that may hold flows of the route, by KeyOf: it has read
/// the stored history, which has the route, within BalancerPolicy::history_fresh_for and after its
/// configuration took effect, kRecordedWithin later unless the process has just started; or the
/// configuration is in force for longer than any flow of an earlier one is kept. In both cases it
/// must know of no newer one.
///
/// Safeguard: a history without the route shows nothing about it. A fleet may be restarted before
/// its first balancer has recorded anything.
auto KnowsFormerServices(const Balancer& balancer, std::uint64_t route, base::TimePoint now)
    -> bool;

}  // namespace anvildrum::packets
