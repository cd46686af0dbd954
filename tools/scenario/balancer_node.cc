#include <algorithm>

#include "config/configuration.h"
#include "membership/codec.h"
#include "relay/store.h"
#include "scenario/nodes.h"
#include "scenario/records.h"
#include "scenario/world.h"

namespace anvildrum::scenario {
namespace {

constexpr auto kTick = base::milliseconds(50);
constexpr auto kQuietTime = base::seconds(2);
constexpr auto kLetGoLimit = base::seconds(60);

auto ProcessOf(BalancerNode& node) -> Process& { return node.world->processes.at(node.name); }
auto Now(const BalancerNode& node) -> base::TimePoint { return node.world->clock.now; }

auto Send(BalancerNode& node, const base::Endpoint& to, const wire::pb::TunnelHeader& header,
          wire::BytesView payload) -> void {
  SendTunnel(*node.world, node.name, node.record.tunnel, to, header, payload);
}

auto Carry(BalancerNode& node, const balancer::Effects& effects) -> void {
  for (const auto& send : effects.tunnel) Send(node, send.to, send.header, send.payload);
  for (const auto& send : effects.client) {
    ToClient(*node.world, node.name, send.service_address, send.client, send.payload);
  }
}

template <typename Record>
auto ReportSuspicion(BalancerNode& node, const Record& record, bool suspect) -> void {
  auto key = membership::KeyOf(record);
  Trace(*node.world, node.name + (suspect ? " suspects " : " hears again ") + key);
  if (suspect) {
    Feed(node.relay, relay::RecordSuspected{key, record.revision, record.failure_domain});
  } else {
    Feed(node.relay, relay::RecordAlive{key});
  }
}

auto ApplyMonitor(BalancerNode& node, const balancer::MonitorEffects& effects) -> void {
  for (const auto& send : effects.sends) Send(node, send.to, send.header, {});
  for (const auto& change : effects.balancer_changes) {
    ReportSuspicion(node, change.record, change.suspect);
  }
  if (effects.changes.empty()) return;
  auto view = node.balancer.view;
  for (const auto& change : effects.changes) {
    membership::SetSuspect(view, change.record.id, change.suspect);
    ReportSuspicion(node, change.record, change.suspect);
  }
  Carry(node, balancer::Step(node.balancer, balancer::ViewChanged{&view}, Now(node)));
  node.monitor.view = node.balancer.view;
}

auto OnConfig(BalancerNode& node, const relay::PlatformObject& record) -> void {
  auto configuration = config::ParseConfiguration(record.value);
  if (!configuration) return;
  auto event = balancer::ConfigChanged{&*configuration};
  Carry(node, balancer::Step(node.balancer, event, Now(node)));
}

auto OnRecord(BalancerNode& node, const relay::PlatformObject& record, membership::View& view)
    -> void {
  if (record.key == relay::kConfigKey) return OnConfig(node, record);
  if (record.key == membership::KeyOf(node.record)) {
    Recorded(node.announcer, record.deleted ? nullptr : &record.value);
  }
  ApplyObject(record, view, Now(node));
}

auto OnRecords(BalancerNode& node, const std::vector<relay::PlatformObject>& records) -> void {
  auto view = node.balancer.view;
  for (const auto& record : records) OnRecord(node, record, view);
  Carry(node, balancer::Step(node.balancer, balancer::ViewChanged{&view}, Now(node)));
  ApplyMonitor(node, balancer::Step(node.monitor, balancer::MonitorView{&view}, Now(node)));
  auto peers = std::vector<relay::RelayPeer>{};
  for (const auto& peer : view.balancers) peers.push_back(ToRelayPeer(peer));
  Feed(node.relay, relay::PeersChanged{std::move(peers)});
}

auto OnTunnel(BalancerNode& node, const base::Endpoint& from, const wire::pb::TunnelHeader& header,
              wire::BytesView payload) -> void {
  auto heard = balancer::MonitorMessage{from, &header};
  ApplyMonitor(node, balancer::Step(node.monitor, heard, Now(node)));
  auto message = balancer::TunnelMessage{from, &header, payload};
  auto effects = balancer::Step(node.balancer, message, Now(node));
  Carry(node, effects);
  if (!effects.view_changed) return;
  auto view = node.balancer.view;
  ApplyMonitor(node, balancer::Step(node.monitor, balancer::MonitorView{&view}, Now(node)));
}

auto EndStop(BalancerNode& node) -> void {
  Carry(node, balancer::Step(node.balancer, balancer::FabricWithdrawn{}, Now(node)));
  Trace(*node.world, node.name + " stopped");
  EndProcess(ProcessOf(node));
}

auto Tick(BalancerNode& node) -> void {
  Carry(node, balancer::Step(node.balancer, balancer::Timer{}, Now(node)));
  ApplyMonitor(node, balancer::Step(node.monitor, balancer::MonitorTimer{}, Now(node)));
  AfterIn(node.world->clock, ProcessOf(node), kTick, [&node] { Tick(node); });
  if (node.balancer.phase != balancer::Phase::kStopping) return;
  auto quiet = Now(node) - std::max(node.stop_begun, node.last_client_packet);
  if (quiet >= kQuietTime || Now(node) - node.stop_begun >= kLetGoLimit) EndStop(node);
}

auto MakeAnnouncer(BalancerNode& node) -> Announcer {
  auto announcer = Announcer{};
  announcer.world = node.world;
  announcer.process = node.name;
  announcer.key = membership::KeyOf(node.record);
  announcer.incarnation = node.record.incarnation;
  announcer.seed = node.world->random();
  announcer.compose = [&node](base::Incarnation incarnation) {
    node.record.incarnation = incarnation;
    return membership::Serialize(node.record);
  };
  announcer.incarnation_of = [key = announcer.key](const std::string& text) {
    auto record = membership::ParseBalancerRecord(key, 0, text);
    return record ? record->incarnation : 0;
  };
  announcer.on_announced = [&node](base::Incarnation incarnation, std::uint64_t) {
    node.balancer.incarnation = incarnation;
    node.monitor.incarnation = incarnation;
  };
  return announcer;
}

auto MakeRelay(BalancerNode& node) -> void {
  auto settings = relay::RelaySettings{};
  settings.self = ToRelayPeer(node.record);
  settings.seed = node.world->random();
  for (const auto& [name, other] : node.world->balancers) {
    if (name != node.name) settings.seeds.push_back(other->record.control);
  }
  node.relay.world = node.world;
  node.relay.process = node.name;
  node.relay.state = relay::MakeState(settings);
  node.relay.on_records = [&node](const auto& records) { OnRecords(node, records); };
}

auto MakeCores(BalancerNode& node) -> void {
  node.balancer = balancer::BalancerBuilder{}
                      .WithInstance(node.record.instance, node.record.incarnation)
                      .WithTunnel(node.record.tunnel)
                      .WithSeed(node.world->random())
                      .Build();
  node.monitor.self = node.record.instance;
  node.monitor.incarnation = node.record.incarnation;
}

}  // namespace

auto StartBalancer(World& world, const std::string& name) -> void {
  auto& process = world.processes.at(name);
  if (process.up) return;
  auto record = world.balancers.at(name)->record;
  auto fresh = std::make_unique<BalancerNode>();
  auto& node = *fresh;
  node.world = &world;
  node.name = name;
  node.record = record;
  node.record.incarnation = IncarnationAt(world, name);
  world.balancers.at(name) = std::move(fresh);
  StartProcess(process);
  MakeCores(node);
  MakeRelay(node);
  node.announcer = MakeAnnouncer(node);
  auto receive = [&node](const auto& from, const auto& header, auto payload) {
    OnTunnel(node, from, header, payload);
  };
  world.tunnel_ports[record.tunnel] = {name, receive};
  Announce(node.announcer);
  Feed(node.relay, relay::Started{});
  Tick(node);
}

auto StopBalancer(World& world, const std::string& name) -> void {
  if (!world.processes.at(name).up) return;
  auto& node = *world.balancers.at(name);
  Carry(node, balancer::Step(node.balancer, balancer::StopRequested{}, Now(node)));
  Withdraw(node.announcer, [] {});
  Feed(node.relay, relay::StopRequested{});
  node.stop_begun = Now(node);
}

auto FromFabric(BalancerNode& node, const base::Endpoint& service, const base::Endpoint& client,
                wire::BytesView payload) -> void {
  auto route = balancer::RoutePacket(node.balancer, service, client, Now(node));
  node.last_client_packet = Now(node);
  if (route.to == base::Endpoint{}) return;
  auto header = wire::pb::TunnelHeader{};
  balancer::WritePacketHeader(node.balancer, route, header);
  Send(node, route.to, header, payload);
}

}  // namespace anvildrum::scenario
