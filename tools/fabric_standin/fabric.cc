#include "tools/fabric_standin/fabric.h"

#include <algorithm>

namespace anvildrum::fabric {
namespace {

constexpr auto kPercent = 100U;

auto Chance(Fabric& fabric, unsigned percent) -> bool {
  if (percent == 0) return false;
  return std::uniform_int_distribution<unsigned>(0, kPercent - 1)(fabric.random) < percent;
}

auto Serves(const Balancer& balancer, std::string_view service) -> bool {
  return balancer.sprayed && balancer.addresses.contains(service);
}

auto PickBalancer(Fabric& fabric, std::string_view service) -> const Balancer* {
  auto candidates = std::vector<const Balancer*>{};
  for (const auto& balancer : fabric.balancers) {
    if (Serves(balancer, service)) candidates.push_back(&balancer);
  }
  if (candidates.empty()) return nullptr;
  auto pick = std::uniform_int_distribution<std::size_t>(0, candidates.size() - 1);
  return candidates[pick(fabric.random)];
}

auto DelayOfPacket(Fabric& fabric) -> base::Duration {
  const auto& faults = fabric.faults;
  auto delay = faults.client_delay + faults.balancer_delay;
  if (!Chance(fabric, faults.reorder_percent)) return delay;
  ++fabric.counts.reordered;
  return delay + faults.reorder_delay;
}

auto ApplyFaults(Fabric& fabric, const base::Endpoint& to) -> std::vector<Delivery> {
  if (Chance(fabric, fabric.faults.drop_percent)) {
    ++fabric.counts.dropped;
    return {};
  }
  auto deliveries = std::vector<Delivery>{{to, DelayOfPacket(fabric)}};
  if (Chance(fabric, fabric.faults.duplicate_percent)) {
    ++fabric.counts.duplicated;
    deliveries.push_back({to, DelayOfPacket(fabric)});
  }
  return deliveries;
}

auto FindSender(const Fabric& fabric, const base::Endpoint& sender) -> const Balancer* {
  for (const auto& balancer : fabric.balancers) {
    for (const auto& [service, address] : balancer.addresses) {
      if (address == sender) return &balancer;
    }
  }
  return nullptr;
}

}  // namespace

auto SprayToBalancers(Fabric& fabric, std::string_view service) -> std::vector<Delivery> {
  const auto* balancer = PickBalancer(fabric, service);
  if (balancer == nullptr) {
    ++fabric.counts.no_balancer;
    return {};
  }
  if (balancer->cut) {
    ++fabric.counts.cut;
    return {};
  }
  ++fabric.counts.to_balancers;
  ++fabric.counts.by_balancer[balancer->id];
  return ApplyFaults(fabric, balancer->addresses.find(service)->second);
}

auto ReturnToClient(Fabric& fabric, const base::Endpoint& sender, const base::Endpoint& client)
    -> std::vector<Delivery> {
  const auto* balancer = FindSender(fabric, sender);
  if (balancer == nullptr) ++fabric.counts.unknown_sender;
  if (balancer != nullptr && balancer->cut) {
    ++fabric.counts.cut;
    return {};
  }
  ++fabric.counts.to_clients;
  return ApplyFaults(fabric, client);
}

auto FindBalancer(Fabric& fabric, std::string_view id) -> Balancer* {
  auto found = std::find_if(fabric.balancers.begin(), fabric.balancers.end(),
                            [&](const Balancer& balancer) { return balancer.id == id; });
  return found == fabric.balancers.end() ? nullptr : &*found;
}

}  // namespace anvildrum::fabric
