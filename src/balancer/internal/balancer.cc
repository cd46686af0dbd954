#include "balancer/balancer.h"

#include "balancer/internal/established_filter.h"
#include "balancer/internal/life_cycle.h"
#include "balancer/internal/tables.h"
#include "wire/convert.h"

namespace anvildrum::balancer {
namespace {

auto BecomeReady(Balancer& state) -> void {
  if (state.phase != Phase::kStarting) return;
  if (state.config_number == 0 || !HasTargets(state)) return;
  state.phase = NextPhase(state.phase, LifeEvent::kConfigured);
}

auto Handle(Balancer& state, const ClientPacket& event, base::TimePoint now, Effects& effects)
    -> void {
  auto route = RoutePacket(state, event.service_address, event.client, now);
  if (route.to.port == 0) return;
  effects.tunnel.push_back({route.to, {}, event.payload});
  WritePacketHeader(state, route, effects.tunnel.back().header);
}

auto HandleReply(Balancer& state, const TunnelMessage& event, Effects& effects) -> void {
  auto flow = wire::ReadFlow(event.header->reply().flow());
  if (!flow) {
    ++state.counters.malformed;
    return;
  }
  const auto* address = ServiceAddress(state, flow->service);
  if (address == nullptr) {
    ++state.counters.wrong_service;
    return;
  }
  ++state.counters.replies;
  AddEstablished(state.established, steering::FingerprintOf(*flow));
  effects.client.push_back({*address, flow->client, event.payload});
}

auto HandleHint(Balancer& state, const wire::pb::Hint& hint) -> void {
  auto flow = wire::ReadFlow(hint.flow());
  if (!flow) {
    ++state.counters.malformed;
    return;
  }
  const auto* service = FindRoute(state, flow->service);
  auto owner = steering::FlowHint{{hint.owner().target()}, hint.owner().incarnation()};
  // Safeguard: a hint for a target of another service would send packets across services.
  if (service == nullptr || FindTarget(*service, owner) == nullptr) {
    ++state.counters.stale_hints;
    return;
  }
  ++state.counters.hints;
  steering::Insert(state.flows, steering::FingerprintOf(*flow), owner);
}

auto RefusedCounter(BalancerCounters& counters, wire::pb::Refused::Reason reason)
    -> std::uint64_t& {
  switch (reason) {
    case wire::pb::Refused::REASON_WRONG_SERVICE:
      return counters.refused_wrong_service;
    case wire::pb::Refused::REASON_FULL:
      return counters.refused_full;
    case wire::pb::Refused::REASON_UNKNOWN_FLOW:
      return counters.refused_unknown_flow;
    case wire::pb::Refused::REASON_HOP_LIMIT:
      return counters.refused_hop_limit;
    case wire::pb::Refused::REASON_DRAINING:
      return counters.refused_draining;
    default:
      return counters.malformed;
  }
}

// Whatever the reason, the hint by which the packet was sent is no longer valid.
auto HandleRefused(Balancer& state, const wire::pb::Refused& refused) -> void {
  auto flow = wire::ReadFlow(refused.flow());
  if (!flow) {
    ++state.counters.malformed;
    return;
  }
  ++RefusedCounter(state.counters, refused.reason());
  steering::Erase(state.flows, steering::FingerprintOf(*flow));
}

auto HandleDrainNotice(Balancer& state, const wire::pb::DrainNotice& notice, Effects& effects)
    -> void {
  const auto& target = notice.target();
  auto applied = membership::ApplyDrain(state.view, {target.target()}, target.incarnation());
  if (applied != membership::Applied::kChanged) return;
  effects.view_changed = true;
  UpdateTargets(state);
}

auto HandleRestartNotice(Balancer& state, const TunnelMessage& event, base::TimePoint now,
                         Effects& effects) -> void {
  const auto& notice = event.header->restart_notice();
  const auto& target = notice.target();
  auto restart = membership::Restart{
      {target.target()}, {notice.service()}, target.incarnation(), notice.revision(), event.from};
  if (membership::ApplyRestart(state.view, restart, now) != membership::Applied::kChanged) return;
  effects.view_changed = true;
  UpdateTargets(state);
}

auto Handle(Balancer& state, const TunnelMessage& event, base::TimePoint now, Effects& effects)
    -> void {
  using wire::pb::TunnelHeader;
  switch (event.header->body_case()) {
    case TunnelHeader::kReply:
      return HandleReply(state, event, effects);
    case TunnelHeader::kHint:
      return HandleHint(state, event.header->hint());
    case TunnelHeader::kRefused:
      return HandleRefused(state, event.header->refused());
    case TunnelHeader::kDrainNotice:
      return HandleDrainNotice(state, event.header->drain_notice(), effects);
    case TunnelHeader::kProbe:
    case TunnelHeader::kProbeAnswer:
      return;  // handled by the monitor
    case TunnelHeader::kRestartNotice:
      return HandleRestartNotice(state, event, now, effects);
    default:
      ++state.counters.misdirected;
  }
}

auto Handle(Balancer& state, const ViewChanged& event, base::TimePoint, Effects&) -> void {
  state.view = *event.view;
  UpdateTargets(state);
  BecomeReady(state);
}

auto Handle(Balancer& state, const ConfigChanged& event, base::TimePoint, Effects&) -> void {
  // Safeguard: a stale peer or a delayed read offers an older configuration. The configuration in
  // force never reverts.
  if (event.configuration->number <= state.config_number) return;
  UpdateServices(state, *event.configuration);
  BecomeReady(state);
}

auto Handle(Balancer& state, const Timer&, base::TimePoint now, Effects&) -> void {
  if (now < state.next_tick) return;
  state.next_tick = now + state.policy.table_tick;
  steering::Tick(state.flows);
  RotateFilter(state.established, state.policy.established_period, now);
}

auto Handle(Balancer& state, const StopRequested&, base::TimePoint, Effects&) -> void {
  state.phase = NextPhase(state.phase, LifeEvent::kStop);
}

auto Handle(Balancer& state, const FabricWithdrawn&, base::TimePoint, Effects&) -> void {
  state.phase = NextPhase(state.phase, LifeEvent::kWithdrawn);
}

}  // namespace

auto BalancerBuilder::WithPolicy(const BalancerPolicy& parameters) -> BalancerBuilder& {
  this->policy = parameters;
  return *this;
}

auto BalancerBuilder::WithInstance(base::InstanceId id, base::Incarnation start)
    -> BalancerBuilder& {
  this->instance = id;
  this->incarnation = start;
  return *this;
}

auto BalancerBuilder::WithTunnel(const base::Endpoint& endpoint) -> BalancerBuilder& {
  this->tunnel = endpoint;
  return *this;
}

auto BalancerBuilder::WithSeed(std::uint64_t value) -> BalancerBuilder& {
  this->seed = value;
  return *this;
}

auto BalancerBuilder::Build() const -> Balancer {
  auto state = Balancer{};
  state.policy = this->policy;
  state.instance = this->instance;
  state.incarnation = this->incarnation;
  state.tunnel = this->tunnel;
  state.next_trace = this->seed;
  state.flows = steering::MakeFlowTable(this->policy.flow_table_capacity);
  state.established = MakeEstablishedFilter(this->policy.established_bits);
  return state;
}

auto Step(Balancer& state, const Event& event, base::TimePoint now) -> Effects {
  auto effects = Effects{};
  std::visit([&](const auto& concrete) { Handle(state, concrete, now, effects); }, event);
  return effects;
}

}  // namespace anvildrum::balancer
