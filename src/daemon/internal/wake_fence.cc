#include "daemon/internal/wake_fence.h"

#include <algorithm>

namespace anvildrum::daemon {
namespace {

// Timers fire twenty times a second; a machine that is merely busy does not hold them up for so
// long, and no configuration comes into force in less.
constexpr auto kStoppedAfter = base::seconds(3);
// By then all that waited in the sockets has been read, also what a parent sent during the stop.
constexpr auto kCatchUp = base::seconds(1);
constexpr auto kLimit = base::seconds(10);

auto HeardOfParent(const relay::State& relay, base::TimePoint since) -> bool {
  return std::ranges::any_of(relay.parents, [&](const auto& entry) {
    return entry.second.answered && entry.second.heard_at >= since;
  });
}

// The platform answers a watch at once when there is news, so one that waits has none.
auto WatchWaits(const relay::State& relay, base::TimePoint woken, base::TimePoint now) -> bool {
  const auto& watch = relay.watch;
  return watch.active && watch.failures == 0 && watch.started_at >= woken &&
         now - watch.started_at >= kCatchUp;
}

}  // namespace

auto NoteRun(WakeFence& fence, base::TimePoint now) -> bool {
  auto first = fence.last_run == base::TimePoint{};
  if (!first && now - fence.last_run >= kStoppedAfter) {
    fence.woken = now;
    ++fence.stops;
  }
  fence.last_run = now;
  return fence.woken.has_value();
}

auto LiftFence(WakeFence& fence, const relay::State& relay, base::TimePoint now) -> void {
  if (!fence.woken || now - *fence.woken < kCatchUp) return;
  auto current = relay.root ? WatchWaits(relay, *fence.woken, now)
                            : HeardOfParent(relay, *fence.woken + kCatchUp);
  if (current || now - *fence.woken >= kLimit) fence.woken.reset();
}

}  // namespace anvildrum::daemon
