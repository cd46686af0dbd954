#include "packets/flow_denials.h"

#include <algorithm>

namespace anvildrum::packets {

auto NoteDenial(Balancer& balancer, const FlowId& flow, Address agent, base::TimePoint now)
    -> void {
  auto& denials = balancer.searches.denials;
  if (denials.size() >= balancer.policy.search.max_searches && !denials.contains(flow)) return;
  auto& entry = denials[flow];
  entry.at = now;
  const auto known = std::find(entry.agents.begin(), entry.agents.end(), agent);
  if (known == entry.agents.end()) entry.agents.push_back(agent);
}

auto HasDenied(const Balancer& balancer, const FlowId& flow, Address agent) -> bool {
  const auto entry = balancer.searches.denials.find(flow);
  if (entry == balancer.searches.denials.end()) return false;
  const auto& agents = entry->second.agents;
  return std::find(agents.begin(), agents.end(), agent) != agents.end();
}

auto ForgetDenials(Balancer& balancer, base::TimePoint now) -> void {
  std::erase_if(balancer.searches.denials, [&](const auto& entry) {
    return now - entry.second.at > balancer.policy.search.denial_ttl;
  });
}

}  // namespace anvildrum::packets
