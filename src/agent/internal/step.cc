#include <algorithm>

#include "agent/internal/parts.h"

namespace anvildrum::agent {
namespace {

auto FindService(const config::Configuration& configuration, base::ServiceId id)
    -> const config::Service* {
  const auto& services = configuration.services;
  auto found = std::find_if(services.begin(), services.end(),
                            [&](const auto& service) { return service.id == id; });
  return found == services.end() ? nullptr : &*found;
}

auto ApplyLimits(Agent& agent, const config::Service& service) -> void {
  auto& parameters = agent.policy.requests;
  parameters.queue_limit = base::milliseconds(service.limits.queue_ms);
  parameters.client_in_flight = service.limits.client_in_flight;
  requests::SetParameters(*agent.requests, parameters);
  auto& directory = agent.directory.policy;
  directory.flow_idle = base::seconds(service.limits.flow_idle_seconds);
  directory.placement.flow_margin = service.spread.load_margin;
  directory.placement.slow_start = base::seconds(service.spread.slow_start_seconds);
  directory.placement.prefer_domain = service.spread.local_failure_domain_first;
}

auto StoreWeights(Agent& agent, const config::Service& service) -> void {
  agent.weights.clear();
  for (const auto& weight : service.weights) {
    agent.weights.push_back({base::TargetIdOf(weight.target), weight.weight});
  }
}

auto ApplyStoredWeights(Agent& agent) -> void {
  membership::ApplyWeights(agent.view, agent.record.service, agent.weights);
}

auto Handle(Context& context, const TunnelMessage& event) -> void {
  OnTunnelMessage(context, event);
}

auto Handle(Context& context, const TargetDatagram& event) -> void {
  OnTargetHeard(context);
  if (event.flow == PingFlow(context.agent)) return;
  RunRequests(context, requests::TargetDatagram{event.flow, event.payload});
}

auto Handle(Context& context, const TargetUnreachable& event) -> void {
  RunRequests(context, requests::TargetUnreachable{event.flow});
  OnTargetRefused(context);
}

auto Handle(Context& context, const TargetRecordChanged& event) -> void {
  auto record = ResolveOwnRecord(context.agent, event.record);
  RecordReplaced(context, record);
  auto applied = membership::ApplyRecord(context.agent.view, record, context.now);
  if (applied != membership::Applied::kChanged) return;
  ApplyStoredWeights(context.agent);
  OnViewChange(context);
}

auto Handle(Context& context, const TargetRecordRemoved& event) -> void {
  RecordRemoved(context, event);
  auto applied =
      membership::RemoveRecord(context.agent.view, event.id, event.incarnation, event.revision);
  if (applied == membership::Applied::kChanged) OnViewChange(context);
}

auto Handle(Context& context, const BalancerRecordChanged& event) -> void {
  auto applied = membership::ApplyBalancer(context.agent.view, event.record);
  if (applied == membership::Applied::kChanged) OnViewChange(context);
}

auto Handle(Context& context, const BalancerRecordRemoved& event) -> void {
  auto applied = membership::RemoveBalancer(context.agent.view, event.instance, event.incarnation);
  if (applied == membership::Applied::kChanged) OnViewChange(context);
}

auto Handle(Context& context, const ConfigChanged& event) -> void {
  auto& agent = context.agent;
  if (event.configuration->number < agent.config_number) {
    ++agent.counters.stale_config;
    return;
  }
  agent.config_number = event.configuration->number;
  agent.addresses.clear();
  const auto* service = FindService(*event.configuration, agent.record.service);
  if (service == nullptr) return;
  agent.addresses = service->addresses;
  ApplyLimits(agent, *service);
  StoreWeights(agent, *service);
  ApplyStoredWeights(agent);
  OnViewChange(context);
}

auto RunDueRequestTimer(Context& context) -> void {
  auto& due = context.agent.request_timer;
  if (!due || *due > context.now) return;
  due.reset();
  RunRequests(context, requests::Timer{});
}

auto Handle(Context& context, const Timer&) -> void {
  ObservePeers(context, membership::SuspicionTimer{});
  ProbeReplyBalancer(context);
  PingTarget(context);
  ExpireLost(context);
  RefreshOwnLoad(context);
  SendNextRestartNotice(context);
  RunDirectory(context, steering::DirectoryTimer{});
  RunDueRequestTimer(context);
  OfferFlows(context);
  CopyStreams(context);
  CheckDrain(context);
}

auto Handle(Context& context, const DrainRequested&) -> void {
  auto& agent = context.agent;
  if (agent.phase >= Phase::kDraining) return;
  agent.phase = Advance(agent.phase, LifeEvent::kDrainRequested);
  agent.drain_started = context.now;
  agent.record.draining = true;
  membership::ApplyDrain(agent.view, agent.record.id, agent.record.incarnation);
  RunRequests(context, requests::Drain{});
  OnViewChange(context);
  context.effects.emplace_back(AnnounceDraining{});
  CheckDrain(context);
}

}  // namespace

auto AgentBuilder::WithPolicy(const AgentPolicy& policy) -> AgentBuilder& {
  this->policy = policy;
  return *this;
}
auto AgentBuilder::WithRecord(const membership::TargetRecord& record) -> AgentBuilder& {
  this->record = record;
  return *this;
}
auto AgentBuilder::WithEchoSecret(const requests::EchoSecret& secret) -> AgentBuilder& {
  this->secret = secret;
  return *this;
}
auto AgentBuilder::WithSeed(std::uint64_t seed) -> AgentBuilder& {
  this->seed = seed;
  return *this;
}
auto AgentBuilder::WithPredecessorLost(bool lost) -> AgentBuilder& {
  this->predecessor_lost = lost;
  return *this;
}
auto AgentBuilder::WithProvisional(bool value) -> AgentBuilder& {
  this->provisional = value;
  return *this;
}

auto AgentBuilder::Build() const -> Agent {
  auto agent = Agent{};
  agent.policy = this->policy;
  agent.policy.requests.slots = this->record.slots;
  agent.record = this->record;
  agent.suspicion.policy = this->policy.suspicion;
  agent.directory = steering::DirectoryBuilder{}
                        .WithTarget(this->record)
                        .WithPolicy(this->policy.directory)
                        .WithSeed(static_cast<std::uint32_t>(this->seed))
                        .Build();
  agent.requests = requests::RequestsBuilder{}
                       .WithParameters(agent.policy.requests)
                       .WithIncarnation(this->record.incarnation)
                       .WithEchoSecret(this->secret)
                       .WithSeed(this->seed)
                       .Build();
  agent.predecessor_lost = this->predecessor_lost;
  agent.provisional = this->provisional;
  return agent;
}

auto Step(Agent& agent, const Event& event, base::TimePoint now) -> Effects {
  auto context = Context{agent, now, {}};
  std::visit([&](const auto& kind) { Handle(context, kind); }, event);
  return std::move(context.effects);
}

auto NextWakeUp(const Agent& agent, base::TimePoint now) -> base::TimePoint {
  auto tick = now + kTick;
  return agent.request_timer ? std::min(tick, *agent.request_timer) : tick;
}

}  // namespace anvildrum::agent
