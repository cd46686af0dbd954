#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "admission/types/request_class.h"
#include "base/types/ids.h"

namespace anvildrum::packets {

/// Routes of a service whose requests are of the same class.
struct RouteGroup {
  admission::RequestClass request_class;
  std::vector<std::uint64_t> routes;  ///< by KeyOf
  auto operator==(const RouteGroup&) const -> bool = default;
};

/// A part of the classes of a service's routes, as a balancer sends it to an agent.
struct RouteClassesPart {
  base::ServiceId service{};
  std::uint64_t version = 0;  ///< of the configuration, see Routes::version
  std::uint32_t digest = 0;   ///< of the whole set, see ServiceClasses::digest
  std::uint32_t part = 0;     ///< index of this part of the set, from 0
  std::uint32_t parts = 1;    ///< number of parts of the set
  std::vector<RouteGroup> groups{};
};

/// Maximum number of routes in one part, 8 bytes each, so that the datagram stays below 1,300
/// bytes.
inline constexpr auto kRoutesInPart = std::size_t{120};

/// Maximum number of parts of a set. Together they hold 7,680 routes.
inline constexpr auto kMaxClassParts = std::uint32_t{64};

}  // namespace anvildrum::packets
