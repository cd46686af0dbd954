#include "packets/cold.h"

#include <algorithm>

namespace anvildrum::packets {
namespace {

// The burst on top of the rate is a quarter of the openings per second plus two, so that services
// with a low rate get a usable burst.
constexpr auto kBurstShare = 4U;
constexpr auto kLeastBurst = 2U;

auto Interval(std::uint32_t per_second) -> base::Duration {
  return base::Duration{base::seconds{1}} / per_second;
}

}  // namespace

auto MayAdmitCold(const ColdAllowance& allowance, std::uint32_t per_second, base::TimePoint now)
    -> bool {
  const auto burst = per_second / kBurstShare + kLeastBurst;
  return allowance.used_until - now <= (burst - 1) * Interval(per_second);
}

auto CountColdOpening(ColdAllowance& allowance, std::uint32_t per_second, base::TimePoint now)
    -> void {
  allowance.used_until = std::max(allowance.used_until, now) + Interval(per_second);
}

}  // namespace anvildrum::packets
