#include "base/echo.h"

#include <algorithm>

namespace anvildrum::base {

auto MarkAt(const MarkClock& clock, TimePoint now) -> std::uint32_t {
  const auto since = std::chrono::floor<milliseconds>(now - clock.started).count();
  return clock.origin + static_cast<std::uint32_t>(since);
}

auto EchoOf(const HeardMark& heard, TimePoint now) -> std::optional<Echo> {
  const auto held = now - heard.at;
  if (held > kMarkFor) return std::nullopt;
  return Echo{.mark = heard.mark, .held = held};
}

auto SentNotBefore(const MarkClock& clock, const Echo& echo, TimePoint now)
    -> std::optional<TimePoint> {
  // Marks go round after 49 days: the age is worked out backwards from the present one.
  const auto age = milliseconds{MarkAt(clock, now) - echo.mark};
  const auto made = std::chrono::floor<milliseconds>(now - clock.started) - age;
  if (age > kMarkFor || made < milliseconds{0} || echo.held < Duration{}) return std::nullopt;
  return std::min(clock.started + made + echo.held, now);
}

}  // namespace anvildrum::base
