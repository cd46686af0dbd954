#include "packets/reach.h"

#include <algorithm>

namespace anvildrum::packets {
namespace {

auto IsSilent(const View& view, const ReachPolicy& policy, const Member& member,
              base::TimePoint running_since, base::TimePoint now) -> bool {
  const auto silent_for = std::max<base::Duration>(policy.silent_for, view.hello_interval * 3 / 2);
  return now - std::max({member.heard, member.known_since, running_since}) > silent_for;
}

}  // namespace

auto DueProbes(View& view, const ReachPolicy& policy, std::size_t most,
               base::TimePoint running_since, base::TimePoint now) -> std::vector<Address> {
  auto due = std::vector<Member*>{};
  view.isolated = true;
  for (auto& [agent, member] : view.members) {
    if (IsAlive(view, member, now)) view.isolated = false;
    const auto asked =
        member.probed_at != base::TimePoint{} && now - member.probed_at < policy.every;
    const auto expected = member.report.state != TargetState::kAbsent;
    if (expected && !asked && IsSilent(view, policy, member, running_since, now)) {
      due.push_back(&member);
    }
  }
  std::sort(due.begin(), due.end(),
            [](const Member* a, const Member* b) { return a->probed_at < b->probed_at; });
  due.resize(std::min(due.size(), most));
  auto agents = std::vector<Address>{};
  for (auto* member : due) {
    member->probed_at = now;
    agents.push_back(member->agent);
  }
  return agents;
}

auto RecordProbeResult(View& view, Address agent, base::TimePoint began, bool answered) -> void {
  const auto entry = view.members.find(agent);
  if (entry == view.members.end()) return;
  auto& member = entry->second;
  if (answered) {
    member.unreachable_at = {};
    member.reached_at = began;
  } else if (member.unreachable_at <= member.heard) {
    member.unreachable_at = began;
  }
}

}  // namespace anvildrum::packets
