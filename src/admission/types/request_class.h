#pragma once

#include <cstdint>

#include "base/types/time.h"

namespace anvildrum::admission {

/// Urgency of a request; 0 is the most urgent.
using Priority = std::uint8_t;

/// What the configuration states about the requests of a route.
struct RequestClass {
  /// False: the route's properties are unknown, and its openings are admitted as if all requests
  /// were equal.
  bool known = false;
  Priority priority = 0;
  base::Duration objective{};  ///< answers are wanted within this time; zero: unknown
  base::Duration timeout{};    ///< the client gives up after this time; zero: unknown
  bool repeatable = false;     ///< running the request twice does no harm
  auto operator==(const RequestClass&) const -> bool = default;
};

}  // namespace anvildrum::admission
