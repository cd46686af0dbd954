#include "packets/view.h"

#include <algorithm>
#include <array>
#include <optional>
#include <utility>

#include "packets/route_set.h"

namespace anvildrum::packets {
namespace {

auto WasHeard(const Member& member) -> bool { return member.heard != base::TimePoint{}; }

auto IsSuspected(const Member& member) -> bool { return member.suspected_at != base::TimePoint{}; }

auto Find(View& view, Address agent, base::ServiceId service, base::TimePoint now) -> Member& {
  auto [entry, added] = view.members.try_emplace(agent);
  auto& member = entry->second;
  if (added) {
    member.agent = agent;
    member.service = service;
    member.known_since = now;
    ++view.changes;
  }
  return member;
}

auto PlaceOf(const Member& member) -> Place { return {member.agent, member.report.domain}; }

// Order of preference of members for an opening, best first.
enum class Tier : std::uint8_t {
  kUsable,
  kSuspected,  ///< reports, but left an opening or a query unanswered
  kUnheard,    ///< has never reported, or is starting
  kSilent,     ///< was ready in its last report, which is too old
};

auto TierOf(const View& view, const Member& member, base::TimePoint now) -> std::optional<Tier> {
  if (IsDrained(view.drained, member.report.domain)) return std::nullopt;
  if (IsUsable(view, member, now)) return Tier::kUsable;
  const auto starts = member.report.state == TargetState::kStarting;
  if (!WasHeard(member) || (starts && IsAlive(view, member, now))) return Tier::kUnheard;
  if (member.report.state != TargetState::kReady) return std::nullopt;
  return IsAlive(view, member, now) ? Tier::kSuspected : Tier::kSilent;
}

// Whether the member may hold flows but does not currently report whether it does.
auto IsAway(const View& view, const Member& member, base::TimePoint running_since,
            base::TimePoint now) -> bool {
  if (IsOutOfReach(view, member, running_since, now)) return false;
  const auto last = std::max({member.heard, member.known_since, running_since});
  const auto counts =
      member.report.state != TargetState::kAbsent && (member.listed || WasHeard(member));
  const auto stopping = member.report.state == TargetState::kStopping;
  const auto away_for = stopping ? view.policy.restart_timeout : view.policy.silence_timeout;
  return counts && !MayHoldFlows(view, member, now) && now - last <= away_for;
}

// Whether the member's target may hold flows, as far as reports tell. A member that has never
// reported is awaited for ViewPolicy::silence_timeout, with or without a record.
auto IsAwayOrAlive(const View& view, const Member& member, base::TimePoint running_since,
                   base::TimePoint now) -> bool {
  if (MayHoldFlows(view, member, now) || IsAway(view, member, running_since, now)) return true;
  const auto known_for = now - std::max(member.known_since, running_since);
  return !WasHeard(member) && known_for <= view.policy.silence_timeout &&
         !IsOutOfReach(view, member, running_since, now);
}

}  // namespace

// Another service may reuse an address while an old record of it is still in transit. The agent
// itself knows the service of its target, so its report takes precedence over the record.
auto AddRecord(View& view, Address agent, base::ServiceId service, base::TimePoint now) -> void {
  auto& member = Find(view, agent, service, now);
  member.listed = true;
  if (!WasHeard(member)) member.service = service;
}

auto RemoveRecord(View& view, Address agent) -> void {
  auto entry = view.members.find(agent);
  if (entry != view.members.end()) entry->second.listed = false;
}

auto AddUnverified(View& view, Address agent, base::ServiceId service, base::TimePoint now)
    -> void {
  Find(view, agent, service, now);
}

auto TakeReport(View& view, const TargetReport& report, base::TimePoint now) -> bool {
  auto& member = Find(view, report.agent, report.service, now);
  const auto same_start = WasHeard(member) && member.report.start == report.start;
  if (same_start && report.sequence <= member.report.sequence) return false;
  const auto restarted = WasHeard(member) && !same_start;
  if (restarted) member.restarted_at = now;
  const auto held_flows = MayHoldFlows(view, member, now);
  const auto moved = member.service != report.service || member.report.domain != report.domain;
  member.service = report.service;
  member.report = report;
  member.heard = now;
  member.suspected_at = {};
  member.offered = 0;
  const auto holds_flows = MayHoldFlows(view, member, now);
  if (holds_flows && (moved || restarted || !held_flows)) member.present_since = now;
  if (moved || restarted || held_flows != holds_flows) ++view.changes;
  return true;
}

auto TakeDrained(View& view, const DrainedDomains& told) -> bool {
  const auto changed = TakeDrained(view.drained, told);
  if (changed) ++view.changes;
  return changed;
}

auto IsHeldBack(const View& view, base::ServiceId service, base::TimePoint now) -> bool {
  return std::any_of(view.members.begin(), view.members.end(), [&](const auto& entry) {
    const auto& member = entry.second;
    return member.service == service && IsDrained(view.drained, member.report.domain) &&
           IsUsable(view, member, now);
  });
}

auto Suspect(Member& member, base::TimePoint now) -> void {
  if (member.suspected_at == base::TimePoint{}) member.suspected_at = now;
}

auto Forget(View& view, base::TimePoint now) -> void {
  std::erase_if(view.told_out_of_reach,
                [&](const auto& told) { return now - told.second > view.policy.peer_report_ttl; });
  std::erase_if(view.members, [&](const auto& entry) {
    const auto& member = entry.second;
    const auto last = WasHeard(member) ? member.heard : member.known_since;
    return !member.listed && now - last > view.policy.forget_after;
  });
}

auto IsAlive(const View& view, const Member& member, base::TimePoint now) -> bool {
  if (IsSuspected(member) && now - member.suspected_at > view.policy.suspect_timeout) return false;
  const auto alive_timeout =
      std::max(view.policy.alive_timeout, kReportsMissed * view.hello_interval);
  return WasHeard(member) && now - member.heard <= alive_timeout;
}

auto IsUsable(const View& view, const Member& member, base::TimePoint now) -> bool {
  return IsAlive(view, member, now) && member.report.state == TargetState::kReady &&
         !IsSuspected(member);
}

auto IsOutOfReach(const View& view, const Member& member, base::TimePoint running_since,
                  base::TimePoint now) -> bool {
  if (view.isolated || IsAlive(view, member, now)) return false;
  const auto told = view.told_out_of_reach.find(member.agent);
  const auto was_told = told != view.told_out_of_reach.end() &&
                        now - told->second < view.policy.peer_report_ttl &&
                        told->second > std::max(member.heard, member.reached_at);
  return was_told || FoundOutOfReach(view, member, running_since, now);
}

auto FoundOutOfReach(const View& view, const Member& member, base::TimePoint running_since,
                     base::TimePoint now) -> bool {
  const auto last = std::max({member.heard, member.known_since, running_since});
  const auto out_of_reach = !view.isolated && member.unreachable_at > last;
  return out_of_reach && now - last > view.policy.unreachable_timeout &&
         !IsAlive(view, member, now);
}

auto TakeOutOfReach(View& view, Address agent, base::TimePoint now) -> void {
  view.told_out_of_reach[agent] = now;
}

auto MayHoldFlows(const View& view, const Member& member, base::TimePoint now) -> bool {
  const auto state = member.report.state;
  const auto stays = state != TargetState::kAbsent && state != TargetState::kStopping;
  return stays && IsAlive(view, member, now);
}

auto IsComplete(const View& view, base::ServiceId service, base::TimePoint running_since,
                base::TimePoint now) -> bool {
  return FirstAway(view, service, running_since, now) == 0;
}

auto FirstAway(const View& view, base::ServiceId service, base::TimePoint running_since,
               base::TimePoint now) -> Address {
  for (const auto& [agent, member] : view.members) {
    if (member.service == service && IsAway(view, member, running_since, now)) return agent;
  }
  return 0;
}

auto IsAwaited(const View& view, const Member& member, base::TimePoint running_since,
               base::TimePoint now) -> bool {
  const auto last =
      std::max({member.heard, member.known_since, member.suspected_at, running_since});
  if (now - last > view.policy.frequent_hello_time) return false;
  return IsSuspected(member) || !IsAlive(view, member, now);
}

auto SearchSet(const View& view, base::ServiceId service, base::TimePoint now)
    -> std::vector<Place> {
  auto alive = std::vector<Place>{};
  auto known = std::vector<Place>{};
  for (const auto& [agent, member] : view.members) {
    if (member.service != service) continue;
    known.push_back(PlaceOf(member));
    if (MayHoldFlows(view, member, now)) alive.push_back(PlaceOf(member));
  }
  return alive.empty() ? known : alive;
}

auto FindOtherHolders(const View& view, const End& route, std::span<const base::ServiceId> services,
                      bool services_known, base::TimePoint running_since, base::TimePoint now)
    -> OtherHolders {
  auto others = OtherHolders{};
  const auto set = SetOf(route);
  for (const auto& [agent, member] : view.members) {
    const auto& routes = member.report.routes;
    const auto tells = routes != kAllRoutes;
    if (tells ? !Overlap(routes, set) : services_known) continue;
    if (std::find(services.begin(), services.end(), member.service) != services.end()) continue;
    if (tells && MayHoldFlows(view, member, now)) {
      others.agents.push_back(PlaceOf(member));
    } else if (IsAwayOrAlive(view, member, running_since, now)) {
      others.undecided = agent;
    }
  }
  std::sort(others.agents.begin(), others.agents.end());
  return others;
}

auto PlacementSet(const View& view, base::ServiceId service, base::TimePoint now)
    -> std::vector<Place> {
  auto tiers = std::array<std::vector<Place>, 4>{};
  for (const auto& [agent, member] : view.members) {
    if (member.service != service) continue;
    const auto tier = TierOf(view, member, now);
    if (tier) tiers.at(static_cast<std::size_t>(*tier)).push_back(PlaceOf(member));
  }
  for (auto& tier : tiers) {
    if (!tier.empty()) return std::move(tier);
  }
  return {};
}

}  // namespace anvildrum::packets
