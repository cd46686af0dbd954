#include <algorithm>

#include "relay/tests/fake_platform.h"

namespace anvildrum::relay::fleet {

auto AllHold(const Fleet& fleet, std::uint64_t number) -> bool {
  return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                     [&](const Node& node) { return !node.up || node.number == number; });
}

auto AllAgree(const Fleet& fleet) -> bool {
  return std::all_of(fleet.nodes.begin(), fleet.nodes.end(), [&](const Node& node) {
    if (!node.up) return true;
    Store truth;
    for (const auto& [key, object] : fleet.platform.objects) {
      if (object.deleted) continue;
      if (!IsTakenBy(ServiceOfKey(key), node.state.settings.service)) continue;
      Offer(truth, ToObject(key, object), true, fleet.now);
    }
    return truth.all_digest == node.state.store.all_digest;
  });
}

auto Watchers(const Fleet& fleet) -> std::size_t {
  return static_cast<std::size_t>(
      std::count_if(fleet.nodes.begin(), fleet.nodes.end(),
                    [](const Node& node) { return node.up && node.state.watch.active; }));
}

auto PeakCalls(const Fleet& fleet, base::TimePoint from) -> std::uint64_t {
  const auto first = std::chrono::duration_cast<base::seconds>(from.time_since_epoch()).count();
  std::uint64_t peak = 0;
  for (const auto& [second, calls] : fleet.platform.calls_by_second) {
    if (second >= first) peak = std::max(peak, calls);
  }
  return peak;
}

}  // namespace anvildrum::relay::fleet
