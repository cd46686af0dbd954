#include <algorithm>

#include "admission/controller.h"
#include "admission/internal/decisions.h"

// Search for a target with capacity. Load: most targets of the service are at their limit, and each
// refused opening visits several of them.
namespace anvildrum::admission {
namespace {

// Hops of a less urgent opening that a target has turned away: nearly all other targets are at
// their limit too.
constexpr auto kHopsUnderShortage = std::uint8_t{1};

}  // namespace

auto MaxHops(const Controller& controller, const Candidate& candidate, std::uint8_t ordinary,
             base::TimePoint now) -> std::uint8_t {
  const auto urgent = !candidate.request.known || IsUrgent(controller, candidate.request);
  const auto last = IsLastCopy(controller, candidate, now);
  if (urgent || last || !IsShort(controller, now)) return ordinary;
  return std::min(ordinary, kHopsUnderShortage);
}

}  // namespace anvildrum::admission
