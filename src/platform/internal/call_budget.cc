#include "platform/call_budget.h"

#include <algorithm>
#include <chrono>

namespace anvildrum::platform {
namespace {

auto Refill(TokenBucket& bucket, const BucketPolicy& policy, base::TimePoint now) -> void {
  auto elapsed = std::chrono::duration<double>(now - bucket.filled).count();
  bucket.tokens = std::min(policy.burst, bucket.tokens + elapsed * policy.per_second);
  bucket.filled = now;
}

auto TakeToken(TokenBucket& bucket, const BucketPolicy& policy, base::TimePoint now) -> bool {
  Refill(bucket, policy, now);
  if (bucket.tokens < 1) return false;
  bucket.tokens -= 1;
  return true;
}

auto TakeToken(CallBudget& budget, CallKind kind, base::TimePoint now) -> bool {
  switch (kind) {
    case CallKind::kPut:
    case CallKind::kDelete:
      return TakeToken(budget.writes, budget.policy.writes, now);
    case CallKind::kWatch:
      return TakeToken(budget.watches, budget.policy.watches, now);
    default:
      return TakeToken(budget.reads, budget.policy.reads, now);
  }
}

}  // namespace

auto MakeCallBudget(const BudgetPolicy& policy, base::TimePoint now) -> CallBudget {
  auto budget = CallBudget{policy, {}, {}, {}, {}};
  budget.reads = {policy.reads.burst, now};
  budget.writes = {policy.writes.burst, now};
  budget.watches = {policy.watches.burst, now};
  return budget;
}

auto TakeCall(CallBudget& budget, CallKind kind, base::TimePoint now) -> bool {
  auto index = static_cast<std::size_t>(kind);
  if (!TakeToken(budget, kind, now)) {
    ++budget.counts.refused[index];
    return false;
  }
  ++budget.counts.sent[index];
  if (kind == CallKind::kWatch) ++budget.counts.waiting_watches;
  return true;
}

auto FinishCall(CallBudget& budget, CallKind kind) -> void {
  if (kind == CallKind::kWatch) --budget.counts.waiting_watches;
}

}  // namespace anvildrum::platform
