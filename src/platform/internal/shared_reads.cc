#include "platform/shared_reads.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace anvildrum::platform {
namespace {

// Over which the reads of instances that hear of something newer are spread: hundreds of them stay
// within the platform's rate, and each has it long before it must be in force.
constexpr auto kHaste = base::milliseconds{100};

auto Confirm(SharedReads& reads, base::TimePoint as_of) -> void {
  if (reads.confirmed_at && as_of <= *reads.confirmed_at) return;
  reads.confirmed_at = as_of;
  const auto spread = reads.policy.spread;
  const auto fresh_until = as_of + reads.policy.fresh_for;
  if (reads.backoff.failures == 0) {
    reads.due_at = fresh_until + Jitter(reads.backoff, spread);
    return;
  }
  // One whose last read failed leaves the first half of the spread to the others, and waits for its
  // turn however often they tell.
  const auto after_others = fresh_until + spread / 2 + Jitter(reads.backoff, spread / 2);
  reads.due_at = std::max(reads.due_at, after_others);
}

// Drawn from nothing on: all instances fail at about the same moment, and some of them have to ask
// soon after, or the end of a short outage would be noticed late.
auto DrawTurn(SharedReads& reads) -> base::Duration {
  reads.turn_among = reads.instances;
  return Jitter(reads.backoff, 2 * TurnInOutage(reads));
}

}  // namespace

auto MakeSharedReads(const SharedReadsPolicy& policy, std::uint64_t seed) -> SharedReads {
  auto reads = SharedReads{};
  reads.policy = policy;
  reads.backoff = MakeBackoff(policy.backoff, seed);
  return reads;
}

auto Begin(SharedReads& reads, base::TimePoint now) -> void {
  reads.due_at = now + Jitter(reads.backoff, reads.policy.spread);
}

auto SetInstances(SharedReads& reads, std::size_t instances, base::TimePoint now) -> void {
  reads.instances = std::max<std::size_t>(instances, 1);
  const auto far_fewer = reads.instances < reads.turn_among / 2;
  if (!far_fewer || reads.backoff.failures == 0) return;
  reads.due_at = std::min(reads.due_at, now + std::max(DrawTurn(reads), reads.policy.backoff.cap));
}

auto TurnInOutage(const SharedReads& reads) -> base::Duration {
  const auto seconds = static_cast<double>(reads.instances) / reads.policy.attempts_per_second;
  return std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>(seconds));
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
  reads.due_at = now + std::max(NextDelay(reads.backoff), DrawTurn(reads));
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
