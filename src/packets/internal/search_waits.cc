#include "packets/internal/search_waits.h"

#include <algorithm>
#include <iterator>

namespace anvildrum::packets {
namespace {

// Whether the conclusion has to wait for a read of the agents' records: nothing else is missing for
// a reset, or there are agents that this balancer does not know, one of which may hold the flow.
auto AwaitsRecords(const Balancer& balancer, const FlowSearch& search,
                   const std::optional<MissingPremise>& missing, base::TimePoint now) -> bool {
  if (KnowsAllAgents(balancer, search) || !search.expects_answer) return false;
  if (now - search.since >= balancer.policy.search.records_timeout) return false;
  if (!missing || missing->reason == SearchFailure::kNoTarget) return true;
  return missing->reason == SearchFailure::kUnsettled && search.disagrees;
}

// Whether the flow's packet waits for an agent that is away and may hold the flow.
auto AwaitsAgent(const Balancer& balancer, const FlowSearch& search,
                 const std::optional<MissingPremise>& missing, base::TimePoint now) -> bool {
  if (!missing || !search.expects_answer) return false;
  if (now - search.since >= balancer.policy.search.away_timeout) return false;
  switch (missing->reason) {
    case SearchFailure::kNoAnswer:
    case SearchFailure::kAgentMissing:
    case SearchFailure::kUnsettled:
      return AwayAgent(balancer, search.services, now) != 0;
    default:
      return false;
  }
}

// Returns when the last of the services' agents came or returned.
auto LatestPresence(const Balancer& balancer, const Services& services, base::TimePoint now)
    -> base::TimePoint {
  auto latest = base::TimePoint{};
  for (const auto& place : AgentsOf(balancer, services, now)) {
    latest = std::max(latest, balancer.view.members.at(place.agent).present_since);
  }
  return latest;
}

// Returns the agents of the services that have come or returned since `since`.
auto AgentsSince(const Balancer& balancer, const Services& services, base::TimePoint since,
                 base::TimePoint now) -> std::vector<Place> {
  auto agents = AgentsOf(balancer, services, now);
  std::erase_if(agents, [&](const Place& place) {
    return balancer.view.members.at(place.agent).present_since <= since;
  });
  return agents;
}

}  // namespace

auto AwayAgent(const Balancer& balancer, const Services& services, base::TimePoint now) -> Address {
  for (const auto service : services) {
    const auto away = FirstAway(balancer.view, service, balancer.stall.running_since, now);
    if (away != 0) return away;
  }
  return 0;
}

auto KnowsAllAgents(const Balancer& balancer, const FlowSearch& search) -> bool {
  return balancer.records_read_at != base::TimePoint{} && balancer.records_read_at >= search.since;
}

auto RecordsTimeoutOf(const SearchPolicy& policy, const FlowSearch& search) -> base::Duration {
  return search.disagrees ? policy.probe_timeout : policy.records_timeout;
}

auto Postpone(Balancer& balancer, FlowSearch& search, const std::optional<MissingPremise>& missing,
              base::TimePoint now) -> bool {
  search.awaits_records = AwaitsRecords(balancer, search, missing, now);
  if (!search.awaits_records && !AwaitsAgent(balancer, search, missing, now)) return false;
  search.awaited = missing;
  search.awaits_since = now;
  search.stage = SearchStage::kAwaitsAgents;
  balancer.records_wanted |= search.awaits_records;
  return true;
}

auto HaveAgentsCome(const Balancer& balancer, const FlowSearch& search, base::TimePoint now)
    -> bool {
  return LatestPresence(balancer, search.services, now) > search.asked_all_at;
}

auto AskReturned(Balancer& balancer, const Services& services, const std::vector<FlowId>& flows,
                 base::TimePoint now, SearchStep& step) -> void {
  if (now < balancer.searches.next_query_at) return;
  auto due = std::vector<FlowId>{};
  const auto asked_at = [&](const FlowId& flow) {
    return balancer.searches.flows.at(flow).asked_at;
  };
  const auto latest = LatestPresence(balancer, services, now);
  std::copy_if(flows.begin(), flows.end(), std::back_inserter(due),
               [&](const FlowId& flow) { return asked_at(flow) < latest; });
  if (due.empty()) return;
  auto since = latest;
  for (const auto& flow : due) since = std::min(since, asked_at(flow));
  AskSome(balancer, AgentsSince(balancer, services, since, now), due, now, step);
}

}  // namespace anvildrum::packets
