#include <algorithm>

#include "config/configuration.h"
#include "membership/codec.h"
#include "relay/store.h"
#include "scenario/nodes.h"
#include "scenario/records.h"
#include "scenario/world.h"

namespace anvildrum::scenario {
namespace {

constexpr auto kWaitForPlatform = base::seconds(3);

auto ProcessOf(AgentNode& node) -> Process& { return node.world->processes.at(node.process); }
auto Now(const AgentNode& node) -> base::TimePoint { return node.world->clock.now; }

auto BeginWithdraw(AgentNode& node) -> void {
  Feed(node.relay, relay::StopRequested{});
  Withdraw(node.announcer, [&node] {
    Trace(*node.world, node.process + " drained");
    EndProcess(ProcessOf(node));
  });
}

auto Carry(AgentNode& node, const agent::Effect& effect) -> void {
  if (const auto* send = std::get_if<agent::SendTunnel>(&effect)) {
    return SendTunnel(*node.world, node.process, node.record.tunnel, send->to, send->header,
                      send->payload);
  }
  if (const auto* send = std::get_if<agent::SendTarget>(&effect)) {
    return ToTarget(*node.world, node.name, send->flow, send->payload);
  }
  if (const auto* close = std::get_if<agent::CloseTarget>(&effect)) {
    auto client = node.world->client_at.find(close->flow.client);
    auto name = client == node.world->client_at.end() ? std::string("?") : client->second;
    return Trace(*node.world, node.process + " lets go of the flow of " + name);
  }
  if (std::holds_alternative<agent::AnnounceDraining>(effect)) return Announce(node.announcer);
  if (std::holds_alternative<agent::Drained>(effect)) return BeginWithdraw(node);
}

auto ApplyTarget(AgentNode& node, const relay::PlatformObject& record) -> void {
  if (!record.deleted) {
    auto parsed = membership::ParseTargetRecord(record.key, record.revision, record.value);
    if (parsed) Feed(node, agent::TargetRecordChanged{*parsed});
    return;
  }
  auto id = base::TargetIdOf(record.key.substr(record.key.rfind('/') + 1));
  const auto* known = membership::FindTarget(node.agent->view, id);
  if (known == nullptr) return;
  Feed(node, agent::TargetRecordRemoved{id, known->record.incarnation, record.revision});
}

auto ApplyBalancer(AgentNode& node, const relay::PlatformObject& record) -> void {
  if (!record.deleted) {
    auto parsed = membership::ParseBalancerRecord(record.key, record.revision, record.value);
    if (parsed) Feed(node, agent::BalancerRecordChanged{*parsed});
    return;
  }
  auto instance = base::InstanceIdOf(record.key.substr(record.key.rfind('/') + 1));
  for (const auto& known : node.agent->view.balancers) {
    if (known.instance != instance) continue;
    return Feed(node, agent::BalancerRecordRemoved{instance, known.incarnation});
  }
}

auto ApplyRecord(AgentNode& node, const relay::PlatformObject& record) -> void {
  if (record.key == membership::KeyOf(node.record)) {
    Recorded(node.announcer, record.deleted ? nullptr : &record.value);
  }
  if (!node.agent) return;
  if (record.key.starts_with(membership::kTargetPrefix)) return ApplyTarget(node, record);
  if (record.key.starts_with(membership::kBalancerPrefix)) return ApplyBalancer(node, record);
  if (record.key != relay::kConfigKey) return;
  auto configuration = config::ParseConfiguration(record.value);
  if (configuration) Feed(node, agent::ConfigChanged{&*configuration});
}

auto UpdateRelayPeers(AgentNode& node) -> void {
  auto peers = std::vector<relay::RelayPeer>{};
  for (const auto& [key, record] : node.records) {
    if (!key.starts_with(membership::kBalancerPrefix) || record.deleted) continue;
    auto parsed = membership::ParseBalancerRecord(key, record.revision, record.value);
    if (parsed) peers.push_back(ToRelayPeer(*parsed));
  }
  Feed(node.relay, relay::PeersChanged{std::move(peers)});
}

auto OnRecords(AgentNode& node, const std::vector<relay::PlatformObject>& records) -> void {
  for (const auto& record : records) {
    node.records[record.key] = record;
    ApplyRecord(node, record);
  }
  UpdateRelayPeers(node);
}

auto ArmTimer(AgentNode& node) -> void {
  auto at = agent::NextWakeUp(*node.agent, Now(node));
  auto delay = std::max(at - Now(node), base::Duration{});
  AfterIn(node.world->clock, ProcessOf(node), delay, [&node, core = node.core] {
    if (core != node.core) return;
    Feed(node, agent::Timer{});
    ArmTimer(node);
  });
}

auto ForgetCore(AgentNode& node) -> void {
  node.agent.reset();
  ++node.core;
}

auto StartCore(AgentNode& node) -> void {
  auto secret = requests::EchoSecret{};
  for (auto& byte : secret) byte = static_cast<std::uint8_t>(node.world->random());
  node.agent = agent::AgentBuilder{}
                   .WithRecord(node.record)
                   .WithEchoSecret(secret)
                   .WithPredecessorLost(node.announcer.provisional.has_value())
                   .WithProvisional(node.announcer.provisional.has_value())
                   .WithSeed(node.world->random())
                   .Build();
  auto records = node.records;
  auto own = membership::KeyOf(node.record);
  for (const auto& [key, record] : records) {
    if (key != own) ApplyRecord(node, record);
  }
  if (records.contains(own)) ApplyRecord(node, records.at(own));
  UpdateRelayPeers(node);
  if (node.stopping) Feed(node, agent::DrainRequested{});
  ArmTimer(node);
}

auto MakeAnnouncer(AgentNode& node) -> Announcer {
  auto announcer = Announcer{};
  announcer.world = node.world;
  announcer.process = node.process;
  announcer.key = membership::KeyOf(node.record);
  announcer.incarnation = node.record.incarnation;
  announcer.seed = node.world->random();
  announcer.compose = [&node](base::Incarnation incarnation) {
    auto record = node.record;
    record.incarnation = incarnation;
    record.draining = node.stopping;
    return membership::Serialize(record);
  };
  announcer.incarnation_of = [key = announcer.key](const std::string& text) {
    auto record = membership::ParseTargetRecord(key, 0, text);
    return record ? record->incarnation : 0;
  };
  announcer.on_announced = [&node](base::Incarnation incarnation, std::uint64_t revision) {
    if (incarnation != node.record.incarnation) ForgetCore(node);
    node.record.incarnation = incarnation;
    node.record.revision = revision;
    if (!node.agent) StartCore(node);
  };
  return announcer;
}

auto ServeUnderEarlierRecord(AgentNode& node) -> void {
  auto found = node.records.find(membership::KeyOf(node.record));
  if (found == node.records.end() || found->second.deleted) return;
  const auto& object = found->second;
  auto in_force = membership::ParseTargetRecord(object.key, object.revision, object.value);
  if (!in_force) return;
  auto record = agent::RestartOf(*in_force, node.record, node.announcer.incarnation);
  if (!record) return;
  Trace(*node.world, node.process + " serves before the platform knows");
  node.record = *record;
  node.announcer.incarnation = record->incarnation;
  node.announcer.provisional = record->revision;
  StartCore(node);
}

auto ArmRestart(AgentNode& node) -> void {
  AfterIn(node.world->clock, ProcessOf(node), kWaitForPlatform, [&node] {
    if (node.agent || node.stopping) return;
    ServeUnderEarlierRecord(node);
    if (!node.agent) ArmRestart(node);
  });
}

auto MakeRelay(AgentNode& node) -> void {
  auto settings = relay::RelaySettings{};
  settings.role = relay::RelayRole::kAgent;
  settings.self = {
      node.process, node.record.instance, node.record.incarnation, {}, node.record.failure_domain};
  settings.service = node.record.service;
  settings.seed = node.world->random();
  for (const auto& [name, balancer] : node.world->balancers) {
    settings.seeds.push_back(balancer->record.control);
  }
  node.relay.world = node.world;
  node.relay.process = node.process;
  node.relay.state = relay::MakeState(settings);
  node.relay.on_records = [&node](const auto& records) { OnRecords(node, records); };
}

}  // namespace

auto SocketsOf(const World& world, const std::string& target) -> Sockets {
  const auto& node = *world.agents.at(target);
  return {world.processes.at(node.process).life, node.core};
}

auto Feed(AgentNode& node, const agent::Event& event) -> void {
  if (!node.agent) return;
  auto effects = agent::Step(*node.agent, event, Now(node));
  for (const auto& effect : effects) Carry(node, effect);
}

auto StartAgent(World& world, const std::string& name) -> void {
  auto& process = world.processes.at("agent-" + name);
  if (process.up) return;
  auto fresh = std::make_unique<AgentNode>();
  auto& node = *fresh;
  node.world = &world;
  node.name = name;
  node.process = process.name;
  node.record = world.agents.at(name)->record;
  node.record.incarnation = IncarnationAt(world, node.process);
  node.record.draining = false;
  world.agents.at(name) = std::move(fresh);
  StartProcess(process);
  MakeRelay(node);
  node.announcer = MakeAnnouncer(node);
  auto receive = [&node](const auto& from, const auto& header, auto payload) {
    Feed(node, agent::TunnelMessage{from, &header, payload});
  };
  world.tunnel_ports[node.record.tunnel] = {node.process, receive};
  node.relay.on_ready = [&node] {
    Announce(node.announcer);
    ArmRestart(node);
  };
  Feed(node.relay, relay::Started{});
}

auto DrainAgent(World& world, const std::string& name) -> void {
  auto& node = *world.agents.at(name);
  if (!ProcessOf(node).up || node.stopping) return;
  node.stopping = true;
  node.record.draining = true;
  if (!node.agent) return BeginWithdraw(node);
  Feed(node, agent::DrainRequested{});
}

}  // namespace anvildrum::scenario
