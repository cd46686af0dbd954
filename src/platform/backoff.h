#pragma once

#include <cstdint>
#include <random>

#include "base/types/time.h"

namespace anvildrum::platform {

/// Exponential backoff with full jitter: the n-th delay in a row is drawn evenly from nothing to
/// first * 2^n, at most cap.
struct BackoffPolicy {
  base::Duration first = base::seconds(1);
  base::Duration cap = base::seconds(10);
};

/// Safeguard: when the platform comes back, instances that all failed at the same moment would call
/// again at the same moment and bring it down anew. Delays that are drawn from the whole range
/// leave no common moment, however the failures began.
struct Backoff {
  BackoffPolicy policy;
  std::mt19937_64 generator;
  unsigned failures = 0;  ///< in a row
};

auto MakeBackoff(const BackoffPolicy& policy, std::uint64_t seed) -> Backoff;

/// Counts a failure and draws how long to wait after it.
auto NextDelay(Backoff& backoff) -> base::Duration;

/// To be called after a success.
auto Reset(Backoff& backoff) -> void;

/// Drawn evenly from nothing to `range`.
auto Jitter(Backoff& backoff, base::Duration range) -> base::Duration;

}  // namespace anvildrum::platform
