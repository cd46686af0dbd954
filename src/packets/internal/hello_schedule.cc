#include "packets/hello_schedule.h"

#include <algorithm>
#include <tuple>

namespace anvildrum::packets {
namespace {

auto PeriodFor(const HelloPolicy& policy, std::size_t agents) -> base::Duration {
  const auto count = static_cast<std::int64_t>(agents);
  const auto round =
      base::Duration{base::seconds{count}} / static_cast<std::int64_t>(policy.idle_per_second);
  return std::max(policy.period, round);
}

// Sort key; the smallest comes first. Suspected members precede the others, because each check
// without their answer delays the decision about them.
auto HelloPriority(const Member& member) -> std::tuple<bool, base::TimePoint, Address> {
  return {member.suspected_at == base::TimePoint{}, member.hello_sent_at, member.agent};
}

}  // namespace

auto DueHellos(View& view, const HelloPolicy& policy, base::TimePoint running_since,
               base::TimePoint now) -> std::vector<Address> {
  view.hello_interval = PeriodFor(policy, view.members.size());
  auto due = std::vector<Member*>{};
  for (auto& [agent, member] : view.members) {
    const auto told =
        member.told_changes == view.changes && member.hello_sent_at != base::TimePoint{};
    const auto calm = told && now - member.hello_sent_at < view.hello_interval;
    if (calm && !IsAwaited(view, member, running_since, now)) continue;
    due.push_back(&member);
  }
  std::sort(due.begin(), due.end(),
            [](const Member* a, const Member* b) { return HelloPriority(*a) < HelloPriority(*b); });
  if (due.size() > policy.max_per_check) due.resize(policy.max_per_check);
  auto agents = std::vector<Address>{};
  for (auto* member : due) {
    member->hello_sent_at = now;
    member->told_changes = view.changes;
    agents.push_back(member->agent);
  }
  return agents;
}

}  // namespace anvildrum::packets
