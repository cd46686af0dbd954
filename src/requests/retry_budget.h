#pragma once

#include <algorithm>

namespace anvildrum::requests {

/// Token bucket that holds retries to a share of the traffic: each admitted request earns `share`
/// of a retry. Safeguard: when all targets shed, every refusal would become an extra request to
/// the others and the load would double just then; with the bucket, the extra work of any period
/// is at most share x admitted + burst.
struct RetryBudget {
  double tokens = 0;
};

inline auto EarnRetry(RetryBudget& budget, double share, double burst) -> void {
  budget.tokens = std::min(budget.tokens + share, burst);
}

/// Takes a whole retry from the bucket, if there is one.
inline auto SpendRetry(RetryBudget& budget) -> bool {
  if (budget.tokens < 1) return false;
  budget.tokens -= 1;
  return true;
}

}  // namespace anvildrum::requests
