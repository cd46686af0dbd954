#include "balancer/internal/monitors.h"

#include <algorithm>
#include <iterator>
#include <map>
#include <string_view>

namespace anvildrum::balancer {
namespace {

using membership::PeerRef;

constexpr auto kMix = std::uint64_t{0x9e3779b97f4a7c15};

using Balancers = std::vector<base::InstanceId>;
using Domains = std::map<std::string, Balancers>;

/// Balancers that may monitor the instances of one failure domain.
struct Pools {
  Balancers inside;
  Balancers outside;       ///< in the nearest domains, as many as may be needed
  bool is_inside = false;  ///< this balancer is in `inside`
  bool is_outside = false;
};

auto MonitorRank(base::InstanceId balancer, base::InstanceId agent) -> std::uint64_t {
  auto mixed = (balancer.value ^ (agent.value * kMix)) * kMix;
  return mixed ^ (mixed >> 29U);
}

auto DomainsOf(const membership::View& view) -> Domains {
  auto domains = Domains{};
  for (const auto& balancer : view.balancers) {
    domains[balancer.failure_domain].push_back(balancer.instance);
  }
  return domains;
}

auto CommonPrefixLength(std::string_view left, std::string_view right) -> std::size_t {
  auto ends = std::ranges::mismatch(left, right);
  return static_cast<std::size_t>(ends.in1 - left.begin());
}

// Returns the other failure domains, nearest first. Safeguard: monitors in a region that is
// disconnected from the target's region would consider all its targets dead and, being a quorum,
// have their records deleted. The names of a region's domains have a common prefix (boston-1,
// boston-2), so those domains come first.
auto NearestDomains(const Domains& domains, const std::string& name)
    -> std::vector<Domains::const_iterator> {
  auto order = std::vector<Domains::const_iterator>{};
  auto append = [&](auto from, auto to) {
    for (; from != to; ++from) {
      if (from->first != name) order.push_back(from);
    }
  };
  auto start = domains.lower_bound(name);
  append(start, domains.end());
  append(domains.begin(), start);
  std::ranges::stable_sort(order, std::ranges::greater{},
                           [&](auto domain) { return CommonPrefixLength(domain->first, name); });
  return order;
}

auto Contains(const Balancers& pool, base::InstanceId balancer) -> bool {
  return std::ranges::find(pool, balancer) != pool.end();
}

auto PoolsOf(const Domains& domains, const std::string& name, const Monitor& monitor) -> Pools {
  auto pools = Pools{};
  if (auto own = domains.find(name); own != domains.end()) pools.inside = own->second;
  for (auto domain : NearestDomains(domains, name)) {
    if (pools.outside.size() >= monitor.policy.monitors) break;
    std::ranges::copy(domain->second, std::back_inserter(pools.outside));
  }
  pools.is_inside = Contains(pools.inside, monitor.self);
  pools.is_outside = Contains(pools.outside, monitor.self);
  return pools;
}

auto IsAmongTopRanked(const Balancers& pool, std::size_t count, base::InstanceId self,
                      base::InstanceId observed) -> bool {
  auto own = MonitorRank(self, observed);
  auto better = std::ranges::count_if(pool, [&](base::InstanceId balancer) {
    return balancer != observed && MonitorRank(balancer, observed) < own;
  });
  return static_cast<std::size_t>(better) < count;
}

// Safeguard: a failure domain may be lost with all its balancers. If its targets were monitored
// from inside only, nobody would suspect them, their records would stay, and each of their clients
// would wait for its timeout. A quorum of the monitors is therefore outside. The others are inside,
// where the round trip to a balancer is short. If one side has too few balancers, the other side
// provides more.
auto IsMonitorOf(const Monitor& monitor, const Pools& pools, base::InstanceId observed) -> bool {
  if (!pools.is_inside && !pools.is_outside) return false;
  const auto& policy = monitor.policy;
  auto inside = pools.inside.size() - (Contains(pools.inside, observed) ? 1 : 0);
  auto outside = std::min(pools.outside.size(), policy.monitors_outside);
  inside = std::min(inside, policy.monitors - outside);
  outside = std::min(pools.outside.size(), policy.monitors - inside);
  if (pools.is_inside) return IsAmongTopRanked(pools.inside, inside, monitor.self, observed);
  return IsAmongTopRanked(pools.outside, outside, monitor.self, observed);
}

auto CountInstances(const membership::View& view) -> std::size_t {
  auto count = view.balancers.size();
  for (const auto& service : view.services) count += service.targets.size();
  return count;
}

// Calls `use` for every balancer and target of the view except the monitor itself.
template <typename Use>
auto ForEachInstance(const Monitor& monitor, const Use& use) -> void {
  for (const auto& balancer : monitor.view.balancers) {
    if (balancer.instance != monitor.self) use(balancer);
  }
  for (const auto& service : monitor.view.services) {
    for (const auto& target : service.targets) use(target.record);
  }
}

}  // namespace

auto PeersToProbe(const Monitor& monitor) -> std::vector<PeerRef> {
  auto all = CountInstances(monitor.view) <= monitor.policy.probe_all_limit;
  auto domains = DomainsOf(monitor.view);
  auto pools = std::map<std::string, Pools>{};
  auto peers = std::vector<PeerRef>{};
  ForEachInstance(monitor, [&](const auto& record) {
    const auto& domain = record.failure_domain;
    auto [place, is_new] = pools.try_emplace(domain);
    if (is_new && !all) place->second = PoolsOf(domains, domain, monitor);
    if (!all && !IsMonitorOf(monitor, place->second, record.instance)) return;
    peers.push_back({record.instance, record.incarnation});
  });
  return peers;
}

}  // namespace anvildrum::balancer
