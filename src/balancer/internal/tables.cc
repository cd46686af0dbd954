#include "balancer/internal/tables.h"

#include <algorithm>

namespace anvildrum::balancer {
namespace {

auto MakeTarget(const membership::Target& target) -> ServiceRoute::Target {
  const auto& record = target.record;
  return {record.id, record.incarnation, record.tunnel, target.suspect, target.draining};
}

auto FillTargets(const membership::View& view, ServiceRoute& route) -> void {
  route.targets.clear();
  route.candidates = {};
  const auto* service = membership::FindService(view, route.service);
  if (service == nullptr) return;
  for (const auto& target : service->targets) route.targets.push_back(MakeTarget(target));
  route.candidates = steering::MakeCandidates(*service);
}

}  // namespace

auto UpdateTargets(Balancer& state) -> void {
  for (auto& route : state.routes) FillTargets(state.view, route);
}

auto UpdateServices(Balancer& state, const config::Configuration& configuration) -> void {
  state.config_number = configuration.number;
  state.routes.clear();
  state.service_at.clear();
  for (const auto& service : configuration.services) {
    state.routes.push_back({});
    state.routes.back().service = service.id;
    state.routes.back().addresses = service.addresses;
  }
  std::ranges::sort(state.routes, {}, &ServiceRoute::service);
  for (auto i = std::uint32_t{0}; i < state.routes.size(); ++i) {
    for (const auto& address : state.routes[i].addresses) state.service_at[address] = i;
  }
  UpdateTargets(state);
}

auto FindTarget(const ServiceRoute& route, const steering::FlowHint& hint)
    -> const ServiceRoute::Target* {
  auto found = std::ranges::lower_bound(route.targets, hint.target, {}, &ServiceRoute::Target::id);
  if (found == route.targets.end() || found->id != hint.target) return nullptr;
  return found->incarnation == hint.incarnation ? &*found : nullptr;
}

auto FindRoute(const Balancer& state, base::ServiceId service) -> const ServiceRoute* {
  auto found = std::ranges::lower_bound(state.routes, service, {}, &ServiceRoute::service);
  return found != state.routes.end() && found->service == service ? &*found : nullptr;
}

auto HasTargets(const Balancer& state) -> bool {
  return std::ranges::any_of(state.routes,
                             [](const auto& route) { return !route.targets.empty(); });
}

}  // namespace anvildrum::balancer
