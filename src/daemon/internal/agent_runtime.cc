#include "daemon/internal/agent_runtime.h"

#include "config/configuration.h"
#include "daemon/internal/records.h"
#include "daemon/internal/status.h"
#include "membership/codec.h"
#include "telemetry/log.h"

namespace anvildrum::daemon {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

// A platform that answers takes an announcement in well under this.
constexpr auto kWaitForPlatform = base::seconds(3);

auto MakePolicy(const Runtime& runtime) -> agent::AgentPolicy {
  auto policy = agent::AgentPolicy{};
  policy.drain_limit = base::seconds(runtime.settings.agent.drain_seconds);
  return policy;
}

auto InSeconds(base::Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace

AgentRuntime::AgentRuntime(std::unique_ptr<Runtime> runtime)
    : runtime(std::move(runtime)),
      request_seconds(telemetry::AddSummary(this->runtime->metrics, "anvildrum_request_seconds",
                                            "Time from sending a request to its target's answer")),
      timer(this->runtime->io),
      restart_timer(this->runtime->io) {}

auto AgentRuntime::MakeRecord() const -> membership::TargetRecord {
  const auto& settings = this->runtime->settings;
  const auto& target = settings.agent.target;
  auto record = membership::TargetRecord{};
  record.name = target.name;
  record.id = base::TargetIdOf(target.name);
  record.service_name = target.service;
  record.service = base::ServiceIdOf(target.service);
  record.instance = this->runtime->instance;
  record.tunnel = this->tunnel->LocalEndpoint();
  record.operator_port = this->runtime->operator_port->LocalEndpoint();
  record.failure_domain = settings.failure_domain;
  record.slots = target.slots;
  record.connections = target.connections;
  return record;
}

auto AgentRuntime::Open() -> base::Result<void> {
  const auto& settings = this->runtime->settings;
  auto on_message = [this](const base::Endpoint& from, const wire::Opened& opened) {
    this->Step(agent::TunnelMessage{from, &opened.header, opened.payload});
  };
  BOOST_LEAF_ASSIGN(this->tunnel, TunnelPort::Open(this->runtime->io, settings.tunnel,
                                                   settings.tunnel_keys, on_message));
  this->record = this->MakeRecord();
  auto callbacks = RelayRuntime::Callbacks{
      [this](const auto& records) { this->OnRecords(records); },
      [this] { this->OnReady(); },
  };
  auto relay_settings = MakeRelaySettings(*this->runtime, {}, this->record.service);
  this->relay = std::make_unique<RelayRuntime>(*this->runtime, relay_settings, callbacks);
  this->AddRoutes();
  return {};
}

auto AgentRuntime::Run() -> void {
  auto key = membership::KeyOf(this->record);
  auto compose = [this](base::Incarnation incarnation) {
    auto record = this->record;
    record.incarnation = incarnation;
    record.draining = this->stopping;
    return membership::Serialize(record);
  };
  auto incarnation_of = [key](const std::string& text) { return IncarnationOfTarget(key, text); };
  auto announced = [this](const auto& result) { this->Announced(result); };
  this->announcer = std::make_unique<Announcer>(
      *this->runtime, Announcer::Parts{key, compose, incarnation_of, announced});
  this->relay->Start();
  this->stop_signal =
      std::make_unique<net::StopSignal>(this->runtime->io, [this](int) { this->BeginDrain(); });
  Log(LogLevel::kInfo, "started", {{"role", "agent"}, {"target", this->record.name}});
  this->runtime->io.run();
  Log(LogLevel::kInfo, "stopped");
}

// Safeguard: announced before it knows its peers, a target is the home of flows that it cannot
// place yet, and their packets are lost until it has found a live peer to learn from.
auto AgentRuntime::OnReady() -> void {
  Log(LogLevel::kInfo, "ready");
  this->announcer->Announce();
  this->ArmRestart();
}

auto AgentRuntime::ArmRestart() -> void {
  this->restart_timer.expires_after(kWaitForPlatform);
  this->restart_timer.async_wait([this](const auto& error) {
    if (error || this->agent || this->stopping) return;
    this->ServeUnderEarlierRecord();
    if (!this->agent) this->ArmRestart();
  });
}

auto AgentRuntime::ServeUnderEarlierRecord() -> void {
  auto found = this->records.find(membership::KeyOf(this->record));
  if (found == this->records.end() || found->second.deleted) return;
  const auto& object = found->second;
  auto in_force = membership::ParseTargetRecord(object.key, object.revision, object.value);
  if (!in_force) return;
  auto record = agent::RestartOf(*in_force, this->record, this->announcer->Incarnation());
  if (!record) return;
  Log(LogLevel::kWarning, "serving_before_the_platform_knows",
      {{"revision", record->revision}, {"incarnation", record->incarnation}});
  this->record = *record;
  this->provisional = true;
  this->announcer->ServesUnder(record->incarnation, record->revision);
  this->StartCore(true);
}

auto AgentRuntime::Announced(const Announcer::Announced& result) -> void {
  this->provisional = false;
  this->record.incarnation = result.incarnation;
  this->record.revision = result.revision;
  auto current = this->agent && this->agent->record.incarnation == result.incarnation;
  if (!current) this->StartCore(result.predecessor_lost);
}

auto AgentRuntime::StartCore(bool predecessor_lost) -> void {
  // Nothing of an earlier incarnation goes on in the new one.
  this->sockets.clear();
  this->spans.clear();
  auto secret = requests::EchoSecret{};
  FillRandom(secret);
  this->agent = agent::AgentBuilder{}
                    .WithPolicy(MakePolicy(*this->runtime))
                    .WithRecord(this->record)
                    .WithEchoSecret(secret)
                    .WithPredecessorLost(predecessor_lost)
                    .WithProvisional(this->provisional)
                    .WithSeed(this->runtime->seed)
                    .Build();
  // The own record last: with it the core serves.
  auto own = membership::KeyOf(this->record);
  for (const auto& [key, record] : this->records) {
    if (key != own) this->ApplyRecord(record);
  }
  if (this->records.contains(own)) this->ApplyRecord(this->records.at(own));
  this->UpdateRelayPeers();
  if (this->stopping) this->Step(agent::DrainRequested{});
  this->ArmTimer();
}

auto AgentRuntime::OnRecords(const std::vector<relay::PlatformObject>& records) -> void {
  for (const auto& record : records) {
    this->records[record.key] = record;
    this->ApplyRecord(record);
  }
  this->UpdateRelayPeers();
}

auto AgentRuntime::ApplyRecord(const relay::PlatformObject& record) -> void {
  if (record.key == membership::KeyOf(this->record)) {
    this->announcer->Recorded(record.deleted ? nullptr : &record.value);
  }
  if (!this->agent) return;
  if (record.key == relay::kConfigKey) return this->ApplyConfig(record);
  if (record.key.starts_with(membership::kTargetPrefix)) return this->ApplyTarget(record);
  if (record.key.starts_with(membership::kBalancerPrefix)) return this->ApplyBalancer(record);
}

auto AgentRuntime::ApplyTarget(const relay::PlatformObject& record) -> void {
  if (record.deleted) {
    auto id = base::TargetIdOf(NameOfKey(record.key));
    const auto* known = membership::FindTarget(this->agent->view, id);
    if (known == nullptr) return;
    return this->Step(agent::TargetRecordRemoved{id, known->record.incarnation, record.revision});
  }
  auto parsed = membership::ParseTargetRecord(record.key, record.revision, record.value);
  if (parsed) return this->Step(agent::TargetRecordChanged{*parsed});
  this->RefuseRecord(record);
}

auto AgentRuntime::ApplyBalancer(const relay::PlatformObject& record) -> void {
  if (record.deleted) {
    auto instance = base::InstanceIdOf(NameOfKey(record.key));
    for (const auto& known : this->agent->view.balancers) {
      if (known.instance != instance) continue;
      return this->Step(agent::BalancerRecordRemoved{instance, known.incarnation});
    }
    return;
  }
  auto parsed = membership::ParseBalancerRecord(record.key, record.revision, record.value);
  if (parsed) return this->Step(agent::BalancerRecordChanged{*parsed});
  this->RefuseRecord(record);
}

auto AgentRuntime::RefuseRecord(const relay::PlatformObject& record) -> void {
  CountRefused(this->records_refused, record.key);
  Log(LogLevel::kWarning, "record_refused", {{"key", record.key}, {"revision", record.revision}});
}

auto AgentRuntime::ApplyConfig(const relay::PlatformObject& record) -> void {
  auto configuration = config::ParseConfiguration(record.value);
  if (!configuration) {
    CountRefused(this->records_refused, record.key);
    Log(LogLevel::kError, "configuration_malformed", {{"revision", record.revision}});
    return;
  }
  this->Step(agent::ConfigChanged{&*configuration});
  Log(LogLevel::kInfo, "configuration_in_force", {{"number", this->agent->config_number}});
}

auto AgentRuntime::UpdateRelayPeers() -> void {
  auto peers = std::vector<relay::RelayPeer>{};
  for (const auto& [key, record] : this->records) {
    if (!key.starts_with(membership::kBalancerPrefix) || record.deleted) continue;
    auto parsed = membership::ParseBalancerRecord(key, record.revision, record.value);
    if (parsed) peers.push_back(ToRelayPeer(*parsed));
  }
  this->relay->PeersChanged(std::move(peers));
}

auto AgentRuntime::Step(const agent::Event& event) -> void {
  if (!this->agent) return;
  auto effects = agent::Step(*this->agent, event, Now());
  for (const auto& effect : effects) this->Carry(effect);
}

auto AgentRuntime::Carry(const agent::Effect& effect) -> void {
  if (const auto* send = std::get_if<agent::SendTunnel>(&effect)) {
    return this->tunnel->Send(send->to, send->header, send->payload);
  }
  if (const auto* send = std::get_if<agent::SendTarget>(&effect)) return this->SendTarget(*send);
  if (const auto* close = std::get_if<agent::CloseTarget>(&effect)) {
    this->sockets.erase(close->flow);
    return;
  }
  if (std::holds_alternative<agent::AnnounceDraining>(effect)) return this->announcer->Announce();
  if (std::holds_alternative<agent::Drained>(effect)) return this->Withdraw();
  if (const auto* answered = std::get_if<agent::RequestAnswered>(&effect)) {
    return telemetry::Observe(this->request_seconds, InSeconds(answered->taken));
  }
  if (const auto* hop = std::get_if<agent::HopPassed>(&effect)) return this->WriteHop(*hop);
  if (const auto* mark = std::get_if<agent::SpanMark>(&effect)) return this->WriteSpan(*mark);
}

auto AgentRuntime::SendTarget(const agent::SendTarget& send) -> void {
  auto* socket = this->SocketOf(send.flow);
  if (socket != nullptr) socket->Send(send.payload);
}

auto AgentRuntime::SocketOf(const base::FlowKey& flow) -> net::ConnectedUdp* {
  auto found = this->sockets.find(flow);
  if (found != this->sockets.end()) return found->second.get();
  auto handlers = net::ConnectedUdp::Handlers{
      [this, flow](wire::BytesView payload) {
        this->Step(agent::TargetDatagram{flow, payload});
      },
      [this, flow] { this->Step(agent::TargetUnreachable{flow}); },
  };
  const auto& target = this->runtime->settings.agent.target.address;
  auto socket = net::ConnectedUdp::Open(this->runtime->io, target, handlers);
  if (!socket) {
    Log(LogLevel::kError, "target_socket_failed", {{"open", this->sockets.size()}});
    return nullptr;
  }
  return this->sockets.emplace(flow, std::move(*socket)).first->second.get();
}

auto AgentRuntime::ArmTimer() -> void {
  auto now = Now();
  this->timer.expires_after(agent::NextWakeUp(*this->agent, now) - now);
  this->timer.async_wait([this](const auto& error) {
    if (error) return;
    this->Step(agent::Timer{});
    this->ArmTimer();
  });
}

auto AgentRuntime::BeginDrain() -> void {
  if (this->stopping) return;
  this->stopping = true;
  this->record.draining = true;
  Log(LogLevel::kInfo, "draining", {{"target", this->record.name}});
  if (!this->agent) return this->Withdraw();
  this->Step(agent::DrainRequested{});
}

auto AgentRuntime::Withdraw() -> void {
  Log(LogLevel::kInfo, "drained", {{"target", this->record.name}});
  this->relay->Stop();
  this->announcer->Withdraw([this] { this->runtime->io.stop(); });
}

}  // namespace anvildrum::daemon
