#include "platform/backoff.h"

#include <algorithm>

namespace anvildrum::platform {

auto MakeBackoff(const BackoffPolicy& policy, std::uint64_t seed) -> Backoff {
  return {policy, std::mt19937_64(seed), 0};
}

auto NextDelay(Backoff& backoff) -> base::Duration {
  auto range = backoff.policy.first;
  for (auto i = 0U; i < backoff.failures && range < backoff.policy.cap; ++i) range *= 2;
  ++backoff.failures;
  return Jitter(backoff, std::min(range, backoff.policy.cap));
}

auto Reset(Backoff& backoff) -> void { backoff.failures = 0; }

auto Jitter(Backoff& backoff, base::Duration range) -> base::Duration {
  auto draw = std::uniform_int_distribution<base::Duration::rep>(0, range.count());
  return base::Duration(draw(backoff.generator));
}

}  // namespace anvildrum::platform
