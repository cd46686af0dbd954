#pragma once

#include <algorithm>

namespace anvildrum::requests {

/// Token bucket that limits retries to a share of the traffic: each admitted request earns `share`
/// of a retry. Safeguard: when all targets shed load, every refusal would become an extra request
/// to the others and double the load. With the bucket, the extra requests of any period are at most
/// share x admitted + burst.
struct RetryBudget {
  double tokens = 0;
};

inline auto EarnRetry(RetryBudget& budget, double share, double burst) -> void {
  budget.tokens = std::min(budget.tokens + share, burst);
}

/// Takes one retry from the bucket. Returns false if there is none.
inline auto SpendRetry(RetryBudget& budget) -> bool {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

}  // namespace anvildrum::requests
