#pragma once

#include <cstddef>
#include <cstdint>

#include "packets/types/packet.h"

namespace anvildrum::packets {

inline constexpr auto kRouteSetBits = std::size_t{64};

/// A set of routes in constant space: a Bloom filter with one hash. It contains every route that
/// was added, and may contain others.
struct RouteSet {
  std::uint64_t bits = 0;
  auto operator==(const RouteSet&) const -> bool = default;
};

inline constexpr auto kAllRoutes = RouteSet{~std::uint64_t{0}};

}  // namespace anvildrum::packets
