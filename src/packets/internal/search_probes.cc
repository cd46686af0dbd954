#include "packets/internal/search_probes.h"

#include "packets/internal/search_waits.h"

namespace anvildrum::packets {

AwayAgents::AwayAgents(const Balancer& balancer, base::TimePoint now)
    : balancer(balancer), now(now) {}

auto AwayAgents::Of(const Services& services) -> Address {
  const auto [entry, added] = this->by_services.try_emplace(services);
  if (added) entry->second = AwayAgent(this->balancer, services, this->now);
  return entry->second;
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
