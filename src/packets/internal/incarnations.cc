#include "packets/internal/incarnations.h"

#include <algorithm>

namespace anvildrum::packets {
namespace {

auto Covers(const Incarnation& retired, const Incarnation& incarnation) -> bool {
  return retired == incarnation || (!retired.started_ms && retired.id == incarnation.id);
}

auto IsRetired(const LocalTarget& target, const Incarnation& incarnation) -> bool {
  return std::any_of(target.retired.begin(), target.retired.end(),
                     [&](const Incarnation& retired) { return Covers(retired, incarnation); });
}

}  // namespace

auto WasHeard(const LocalTarget& target) -> bool { return target.heard != base::TimePoint{}; }

auto ClassifyHeartbeat(const LocalTarget& target, const Heartbeat& heartbeat) -> HeartbeatClass {
  if (IsRetired(target, heartbeat.incarnation)) return HeartbeatClass::kDoubtful;
  if (!WasHeard(target)) return HeartbeatClass::kNext;
  const auto& before = target.last.incarnation;
  const auto& after = heartbeat.incarnation;
  if (before == after) {
    return heartbeat.sequence > target.last.sequence ? HeartbeatClass::kCurrent
                                                     : HeartbeatClass::kDoubtful;
  }
  if (before.started_ms && after.started_ms) {
    return *after.started_ms > *before.started_ms ? HeartbeatClass::kNext
                                                  : HeartbeatClass::kDoubtful;
  }
  return before.id == after.id ? HeartbeatClass::kDoubtful : HeartbeatClass::kNext;
}

auto ConfirmHeartbeat(LocalTarget& target, const Heartbeat& heartbeat, base::Duration apart,
                      base::TimePoint now) -> bool {
  auto& first = target.doubtful;
  if (first && first->incarnation == heartbeat.incarnation &&
      heartbeat.sequence > first->sequence) {
    return now - first->heard >= apart;
  }
  first = DoubtfulHeartbeat{heartbeat.incarnation, heartbeat.sequence, now};
  return false;
}

auto Retire(LocalTarget& target, const Incarnation& incarnation) -> void {
  if (IsRetired(target, incarnation)) return;
  target.retired.push_back(incarnation);
  if (target.retired.size() > kMaxRetired) target.retired.pop_front();
}

auto IsFormerId(const LocalTarget& target, std::uint64_t id) -> bool {
  return std::any_of(target.retired.begin(), target.retired.end(),
                     [&](const Incarnation& retired) { return retired.id == id; });
}

auto Reinstate(LocalTarget& target, const Incarnation& incarnation) -> void {
  std::erase_if(target.retired,
                [&](const Incarnation& retired) { return Covers(retired, incarnation); });
}

}  // namespace anvildrum::packets
