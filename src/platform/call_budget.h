#pragma once

#include <array>
#include <cstdint>

#include "base/types/time.h"
#include "platform/types/platform_error.h"

namespace anvildrum::platform {

enum class CallKind : std::uint8_t { kGet, kList, kPut, kDelete, kWatch };
inline constexpr auto kCallKinds = std::size_t{5};

/// A token bucket: `burst` calls at once, `per_second` in the long run.
struct BucketPolicy {
  double per_second = 1;
  double burst = 10;
};

/// What one instance may ask of the platform. Safeguard: a fault in this instance (a retry without
/// backoff, a watch that is answered at once for ever) would take the whole fleet's share of the
/// platform and show as refused calls everywhere; the buckets hold that to this instance's share.
struct BudgetPolicy {
  BucketPolicy reads{2, 20};
  BucketPolicy writes{1, 10};
  BucketPolicy watches{4, 20};
};

struct TokenBucket {
  double tokens = 0;
  base::TimePoint filled{};
};

/// Calls by kind since the start, and the watches that wait at this moment.
struct CallCounts {
  std::array<std::uint64_t, kCallKinds> sent{};
  std::array<std::uint64_t, kCallKinds> refused{};  ///< by the budget, never sent
  /// Calls that ended in an error, by PlatformErrorCode.
  std::array<std::uint64_t, kPlatformErrorCodes> failed{};
  std::uint64_t cut_short = 0;  ///< of these: given up while their answer was coming
  std::uint64_t waiting_watches = 0;
};

struct CallBudget {
  BudgetPolicy policy;
  TokenBucket reads;
  TokenBucket writes;
  TokenBucket watches;
  CallCounts counts;
};

/// A budget with full buckets.
auto MakeCallBudget(const BudgetPolicy& policy, base::TimePoint now) -> CallBudget;

/// Takes one call out of the budget and counts it as sent, or counts it as refused and returns
/// false. A watch that was taken counts as waiting until FinishCall.
auto TakeCall(CallBudget& budget, CallKind kind, base::TimePoint now) -> bool;

/// To be called once for each call that TakeCall admitted, at its end.
auto FinishCall(CallBudget& budget, CallKind kind) -> void;

}  // namespace anvildrum::platform
