#include "balancer/balancer.h"
#include "balancer/internal/established_filter.h"
#include "balancer/internal/tables.h"
#include "wire/convert.h"

namespace anvildrum::balancer {
namespace {

constexpr auto kTraceStep = std::uint64_t{0x9e3779b97f4a7c15};  // odd: visits every 64-bit number

auto SampleTrace(Balancer& state, Route& route) -> void {
  if (state.policy.trace_one_in == 0) return;
  if (state.packets_until_trace > 1) {
    --state.packets_until_trace;
    return;
  }
  state.packets_until_trace = state.policy.trace_one_in;
  state.next_trace += kTraceStep;
  route.trace_id = state.next_trace == 0 ? 1 : state.next_trace;
  route.span_id = route.trace_id ^ state.instance.value;
}

// Returns the target of the flow's hint, if the hint is still valid.
auto FollowHint(Balancer& state, const ServiceRoute& service,
                const steering::Fingerprint& fingerprint) -> const ServiceRoute::Target* {
  const auto* hint = steering::Find(state.flows, fingerprint);
  if (hint == nullptr) return nullptr;
  const auto* target = FindTarget(service, *hint);
  if (target == nullptr) {
    ++state.counters.stale_hints;
    steering::Erase(state.flows, fingerprint);
    return nullptr;
  }
  // The home or the second home may still reach a target that this balancer suspects. Safeguard: a
  // draining target hands its flows over and ends. If a hint that names it were followed, packets
  // would be lost until its record is removed here. The home knows the flow's owner.
  return target->suspect || target->draining ? nullptr : target;
}

// Safeguard: during a flood of new flows, agents would open an unlimited number of flows. A
// balancer cannot distinguish a new flow from one that it has not seen yet. It forwards every
// packet, but packets over the limit cannot open a flow. No state is kept for them.
auto MayOpen(Balancer& state, const steering::Fingerprint& fingerprint, base::TimePoint now)
    -> bool {
  if (IsEstablished(state.established, fingerprint)) return true;
  const auto& policy = state.policy;
  return steering::TakeToken(state.openings, policy.openings_per_second, policy.openings_burst,
                             now);
}

auto RouteToHome(Balancer& state, const ServiceRoute& service, Route& route) -> void {
  auto hash = base::HashFlow(route.flow);
  auto index = steering::FindFirstHome(service.candidates, hash);
  if (index == steering::kNone) {
    ++state.counters.no_target;
    return;
  }
  auto is_first = !service.targets[index].suspect;
  if (!is_first) index = steering::FindActingHome(service.candidates, hash);
  route.kind = is_first ? RouteKind::kHome : RouteKind::kSecond;
  route.to = service.targets[index].tunnel;
  ++(is_first ? state.counters.to_home : state.counters.to_second);
}

}  // namespace

auto RoutePacket(Balancer& state, const base::Endpoint& service_address,
                 const base::Endpoint& client, base::TimePoint now) -> Route {
  ++state.counters.client_packets;
  auto route = Route{};
  if (state.phase == Phase::kStarting || state.phase == Phase::kStopped) {
    ++state.counters.not_ready;
    route.kind = RouteKind::kNotReady;
    return route;
  }
  auto found = state.service_at.find(service_address);
  if (found == state.service_at.end()) {
    ++state.counters.unknown_address;
    route.kind = RouteKind::kUnknownAddress;
    return route;
  }
  const auto& service = state.routes[found->second];
  route.flow = {client, service.service};
  route.service_address = service_address;
  auto fingerprint = steering::FingerprintOf(route.flow);
  SampleTrace(state, route);
  const auto* owner = FollowHint(state, service, fingerprint);
  if (owner != nullptr) {
    ++state.counters.to_owner;
    route.kind = RouteKind::kOwner;
    route.to = owner->tunnel;
    return route;
  }
  RouteToHome(state, service, route);
  if (route.kind == RouteKind::kNoTarget) return route;
  route.may_open = MayOpen(state, fingerprint, now);
  if (!route.may_open) ++state.counters.over_limit;
  return route;
}

auto WritePacketHeader(const Balancer& state, const Route& route, wire::pb::TunnelHeader& header)
    -> void {
  header.set_sender(state.instance.value);
  header.set_incarnation(state.incarnation);
  auto& packet = *header.mutable_packet();
  wire::WriteFlow(route.flow, *packet.mutable_flow());
  wire::WriteEndpoint(state.tunnel, *packet.mutable_balancer());
  packet.set_hops(0);
  packet.set_trace_id(route.trace_id);
  packet.set_span_id(route.span_id);
  packet.set_may_open(route.may_open);
  packet.set_opening(false);
  wire::WriteEndpoint(route.service_address, *packet.mutable_service_address());
  packet.set_config_number(state.config_number);
}

auto ServiceAddress(const Balancer& state, base::ServiceId service) -> const base::Endpoint* {
  const auto* route = FindRoute(state, service);
  return route == nullptr || route->addresses.empty() ? nullptr : &route->addresses.front();
}

}  // namespace anvildrum::balancer
