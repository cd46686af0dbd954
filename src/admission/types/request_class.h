#pragma once

#include <cstdint>
#include <limits>

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

/// Longest latency objective and timeout of a known class.
inline constexpr auto kMaxRequestTime = base::Duration{base::hours{1}};

/// Returns a known class, or the default if `priority` exceeds the range of Priority or a time is
/// not positive or longer than kMaxRequestTime.
inline auto MakeRequestClass(std::uint64_t priority, base::milliseconds objective,
                             base::milliseconds timeout, bool repeatable) -> RequestClass {
  const auto is_time = [](base::milliseconds time) {
    return time > base::milliseconds{0} && time <= kMaxRequestTime;
  };
  const auto is_priority = priority <= std::numeric_limits<Priority>::max();
  if (!is_priority || !is_time(objective) || !is_time(timeout)) return {};
  return {.known = true,
          .priority = static_cast<Priority>(priority),
          .objective = objective,
          .timeout = timeout,
          .repeatable = repeatable};
}

}  // namespace anvildrum::admission
