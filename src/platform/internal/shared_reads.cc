#include "platform/shared_reads.h"

#include <algorithm>
#include <utility>

namespace anvildrum::platform {
namespace {

// Over which the reads of instances that hear of something newer are spread: hundreds of them stay
// within the platform's rate, and each has it long before it must be in force.
constexpr auto kHaste = base::milliseconds{100};

auto Confirm(SharedReads& reads, base::TimePoint as_of) -> void {
  if (reads.confirmed_at && as_of <= *reads.confirmed_at) return;
  reads.confirmed_at = as_of;
  reads.due_at = as_of + reads.policy.fresh_for + Jitter(reads.backoff, reads.policy.spread);
}

}  // namespace

auto MakeSharedReads(const SharedReadsPolicy& policy, std::uint64_t seed) -> SharedReads {
  auto reads = SharedReads{};
  reads.policy = policy;
  reads.backoff = MakeBackoff(policy.backoff, seed);
  return reads;
}

auto IsReadDue(const SharedReads& reads, base::TimePoint now) -> bool {
  return !reads.began_at && now >= reads.due_at;
}

auto BeginRead(SharedReads& reads, base::TimePoint now) -> void { reads.began_at = now; }

auto EndRead(SharedReads& reads, base::TimePoint now) -> void {
  if (!reads.began_at) return;
  const auto began = *reads.began_at;
  reads.began_at.reset();
  Reset(reads.backoff);
  Confirm(reads, began);
  if (std::exchange(reads.outdated, false)) reads.due_at = now;
}

auto FailRead(SharedReads& reads, base::TimePoint now) -> void {
  reads.began_at.reset();
  reads.outdated = false;
  reads.due_at = now + NextDelay(reads.backoff);
}

auto TakeConfirmation(SharedReads& reads, base::TimePoint as_of, base::TimePoint now) -> void {
  Confirm(reads, std::min(as_of, now));
}

auto HastenRead(SharedReads& reads, base::TimePoint now) -> void {
  reads.outdated = reads.began_at.has_value();
  reads.due_at = std::min(reads.due_at, now + Jitter(reads.backoff, kHaste));
}

auto AgeOf(const SharedReads& reads, base::TimePoint now) -> std::optional<base::Duration> {
  if (!reads.confirmed_at) return std::nullopt;
  return std::max(now - *reads.confirmed_at, base::Duration{});
}

}  // namespace anvildrum::platform
