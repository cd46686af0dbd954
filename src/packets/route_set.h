#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/types/time.h"
#include "packets/types/packet.h"
#include "packets/types/route_set.h"

/// The routes of which a target may hold flows, as its agent reports them.
namespace anvildrum::packets {

/// Returns the set that contains this route only.
auto SetOf(const End& route) -> RouteSet;

/// Whether the sets may have a route in common. It is also true for about one pair in 64 of single
/// routes that differ.
auto Overlap(const RouteSet& a, const RouteSet& b) -> bool;

/// When a packet of each route was last delivered to the target.
struct RecentRoutes {
  std::optional<End> last;   ///< route of the last packet, so that most packets compute no digest
  std::size_t last_bit = 0;  ///< of `last`
  std::array<base::TimePoint, kRouteSetBits> seen{};  ///< by bit of RouteSet; the epoch: never
};

/// Notes a packet of the route. Returns true if none was noted within `window` before.
auto NoteRoute(RecentRoutes& recent, const End& route, base::Duration window, base::TimePoint now)
    -> bool;

/// Returns the routes of which a packet was noted within `window`.
auto RoutesWithin(const RecentRoutes& recent, base::Duration window, base::TimePoint now)
    -> RouteSet;

}  // namespace anvildrum::packets
