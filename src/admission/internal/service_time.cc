#include "admission/service_time.h"

#include <algorithm>

namespace anvildrum::admission {
namespace {

auto Moved(base::Duration average, base::Duration observed, double weight) -> base::Duration {
  const auto change = static_cast<double>((observed - average).count()) * weight;
  return average + base::Duration(static_cast<base::Duration::rep>(change));
}

}  // namespace

auto StartingAt(base::Duration mean) -> ServiceTime { return {.mean = mean, .started = true}; }

auto Observe(ServiceTime& estimate, base::Duration taken, double weight, base::TimePoint now)
    -> void {
  estimate.observed = now;
  if (!estimate.started) {
    estimate.started = true;
    estimate.mean = taken;
    return;
  }
  const auto distance = std::chrono::abs(taken - estimate.mean);
  estimate.deviation = Moved(estimate.deviation, distance, weight);
  estimate.mean = Moved(estimate.mean, taken, weight);
}

auto UpperBound(const ServiceTime& estimate) -> base::Duration {
  return estimate.mean + 2 * estimate.deviation;
}

auto WithoutWait(base::Duration taken, std::uint32_t ahead, std::uint32_t slots) -> base::Duration {
  const auto all = static_cast<base::Duration::rep>(std::max<std::uint32_t>(slots, 1));
  return taken * all / (all + static_cast<base::Duration::rep>(ahead));
}

}  // namespace anvildrum::admission
