#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "base/types/time.h"
#include "packets/types/route_query.h"

namespace anvildrum::packets {

/// A balancer's last answer about a route that the known set of route classes does not contain.
struct ConfirmedRoute {
  base::TimePoint at{};   ///< when the answer arrived
  bool openings = false;  ///< as in RouteAnswer
};

/// The routes whose packets the agent's service may receive, as balancers have confirmed them.
struct ConfirmedRoutes {
  std::unordered_map<std::uint64_t, ConfirmedRoute> confirmed;  ///< by KeyOf(route)
  std::unordered_map<std::uint64_t, base::TimePoint> asked;     ///< last queries, by KeyOf(route)
  std::optional<End> due;                                       ///< a route to ask for now
};

/// Maximum number of routes in each map, some 60 bytes each. Packets of further routes await an
/// answer each time.
inline constexpr auto kMaxConfirmedRoutes = std::size_t{10'000};

}  // namespace anvildrum::packets
