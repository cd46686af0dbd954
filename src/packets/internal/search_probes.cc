#include "packets/internal/search_probes.h"

#include <algorithm>

#include "packets/flow_denials.h"
#include "packets/internal/search_waits.h"

namespace anvildrum::packets {

AwayAgents::AwayAgents(const Balancer& balancer, base::TimePoint now)
    : balancer(balancer), now(now) {}

auto AwayAgents::Of(const Services& services) -> Address {
  const auto [entry, added] = this->by_services.try_emplace(services);
  if (added) entry->second = AwayAgent(this->balancer, services, this->now);
  return entry->second;
}

auto UnsureOf(const Balancer& balancer, const QueryRound& round, std::size_t place,
              base::TimePoint now) -> std::vector<Candidate> {
  auto unsure = round.unsure[place];
  std::erase_if(unsure, [&](const Candidate& candidate) {
    return HasDenied(balancer, round.flows[place], candidate.agent);
  });
  if (round.all_agents || unsure.size() <= balancer.policy.search.likely) return unsure;
  const auto agents = AgentsOf(balancer, round.services, now);
  const auto likely = LikelyAgents(balancer, round.flows[place], agents);
  std::erase_if(unsure, [&](const Candidate& candidate) {
    const auto same = [&](const Place& place) { return place.agent == candidate.agent; };
    return std::none_of(likely.begin(), likely.end(), same);
  });
  return unsure;
}

auto HasProbed(const Balancer& balancer, const FlowSearch& search, AwayAgents& away,
               base::TimePoint now) -> bool {
  if (search.stage != SearchStage::kProbing) return false;
  const auto& policy = balancer.policy.search;
  const auto waited = now - search.probed_at;
  if (waited >= (search.all_agents ? policy.probe_timeout : policy.response_timeout)) return true;
  const auto single = search.probed.size() == 1 && search.probed.front().agent != search.withheld;
  return single && waited >= policy.return_timeout && away.Of(search.services) == 0;
}

auto KeepsPacket(const Balancer& balancer, const FlowSearch& search, Address agent,
                 base::TimePoint now) -> bool {
  const auto member = balancer.view.members.find(agent);
  return agent != search.withheld && member != balancer.view.members.end() &&
         MayHoldFlows(balancer.view, member->second, now) &&
         member->second.restarted_at < search.probed_at;
}

}  // namespace anvildrum::packets
