#include "daemon/internal/balancer_runtime.h"

#include <algorithm>

#include "config/configuration.h"
#include "daemon/internal/records.h"
#include "daemon/internal/status.h"
#include "membership/codec.h"
#include "telemetry/log.h"

namespace anvildrum::daemon {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

constexpr auto kTickPeriod = base::milliseconds(50);
// A stopping balancer goes on forwarding until the fabric has sent it nothing for a while: flows
// whose packets are still sprayed here would otherwise lose them. The limit bounds a stop under a
// fabric that never lets go.
constexpr auto kQuietTime = base::seconds(2);
constexpr auto kLetGoLimit = base::seconds(60);

auto MakeBalancer(const Runtime& runtime) -> balancer::Balancer {
  const auto& settings = runtime.settings.balancer;
  auto policy = balancer::BalancerPolicy{};
  policy.flow_table_capacity = settings.flow_table_entries;
  policy.openings_per_second = settings.new_flows_per_second;
  policy.openings_burst = 2.0 * settings.new_flows_per_second;
  auto permille = runtime.settings.trace.sample_permille;
  policy.trace_one_in = permille == 0 ? 0 : std::max<std::uint64_t>(1, 1000 / permille);
  return balancer::BalancerBuilder{}
      .WithPolicy(policy)
      .WithInstance(runtime.instance, runtime.incarnation)
      .WithSeed(runtime.seed)
      .Build();
}

auto MakeMonitor(const Runtime& runtime) -> balancer::Monitor {
  auto monitor = balancer::Monitor{};
  monitor.self = runtime.instance;
  monitor.incarnation = runtime.incarnation;
  return monitor;
}

auto AddPort(ServiceDatagrams& sum, const net::UdpPortCounts& counts) -> void {
  sum.oversized += counts.oversized;
  sum.send_drops += counts.send_drops;
}

}  // namespace

BalancerRuntime::BalancerRuntime(std::unique_ptr<Runtime> runtime)
    : runtime(std::move(runtime)),
      balancer(MakeBalancer(*this->runtime)),
      monitor(MakeMonitor(*this->runtime)) {}

auto BalancerRuntime::Open() -> base::Result<void> {
  const auto& settings = this->runtime->settings;
  auto on_message = [this](const auto& from, const auto& opened) { this->OnTunnel(from, opened); };
  BOOST_LEAF_ASSIGN(this->tunnel, TunnelPort::Open(this->runtime->io, settings.tunnel,
                                                   settings.tunnel_keys, on_message));
  this->balancer.tunnel = this->tunnel->LocalEndpoint();
  auto callbacks = RelayRuntime::Callbacks{
      [this](const auto& records) { this->OnRecords(records); },
      [] { Log(LogLevel::kInfo, "ready"); },
  };
  auto relay_settings = MakeRelaySettings(*this->runtime, settings.balancer.control, {});
  this->relay = std::make_unique<RelayRuntime>(*this->runtime, relay_settings, callbacks);
  BOOST_LEAF_AUTO(control, this->relay->Listen(settings.balancer.control));
  this->record = {settings.name,
                  this->runtime->instance,
                  this->runtime->incarnation,
                  this->tunnel->LocalEndpoint(),
                  control,
                  this->runtime->operator_port->LocalEndpoint(),
                  settings.failure_domain,
                  0};
  this->AddRoutes();
  return {};
}

auto BalancerRuntime::Run() -> void {
  auto key = membership::KeyOf(this->record);
  auto compose = [this](base::Incarnation incarnation) {
    this->record.incarnation = incarnation;
    return membership::Serialize(this->record);
  };
  auto incarnation_of = [key](const std::string& text) { return IncarnationOfBalancer(key, text); };
  auto announced = [this](const Announcer::Announced& result) {
    this->balancer.incarnation = result.incarnation;
    this->monitor.incarnation = result.incarnation;
  };
  this->announcer = std::make_unique<Announcer>(
      *this->runtime, Announcer::Parts{key, compose, incarnation_of, announced});
  this->announcer->Announce();
  this->relay->Start();
  this->tick = std::make_unique<net::PeriodicTimer>(
      this->runtime->io, kTickPeriod, [this](base::TimePoint now) { this->OnTick(now); });
  this->stop_signal =
      std::make_unique<net::StopSignal>(this->runtime->io, [this](int) { this->BeginStop(); });
  Log(LogLevel::kInfo, "started", {{"role", "balancer"}});
  this->runtime->io.run();
  Log(LogLevel::kInfo, "stopped");
}

auto BalancerRuntime::OnRecords(const std::vector<relay::PlatformObject>& records) -> void {
  auto view = this->balancer.view;
  for (const auto& record : records) this->OnRecord(record, view);
  this->ApplyView(view);
  auto peers = std::vector<relay::RelayPeer>{};
  for (const auto& peer : view.balancers) peers.push_back(ToRelayPeer(peer));
  this->relay->PeersChanged(std::move(peers));
}

auto BalancerRuntime::OnRecord(const relay::PlatformObject& record, membership::View& view)
    -> void {
  if (record.key == relay::kConfigKey) return this->OnConfig(record);
  if (record.key == membership::KeyOf(this->record)) {
    this->announcer->Recorded(record.deleted ? nullptr : &record.value);
  }
  if (!ApplyObject(record, view, Now())) {
    CountRefused(this->records_refused, record.key);
    Log(LogLevel::kWarning, "record_refused", {{"key", record.key}, {"revision", record.revision}});
  }
}

auto BalancerRuntime::OnConfig(const relay::PlatformObject& record) -> void {
  auto configuration = config::ParseConfiguration(record.value);
  if (!configuration) {
    CountRefused(this->records_refused, record.key);
    Log(LogLevel::kError, "configuration_malformed", {{"revision", record.revision}});
    return;
  }
  auto before = this->balancer.config_number;
  this->Carry(balancer::Step(this->balancer, balancer::ConfigChanged{&*configuration}, Now()));
  if (this->balancer.config_number == before) return;
  Log(LogLevel::kInfo, "configuration_in_force", {{"number", this->balancer.config_number}});
  this->BindServices();
}

auto BalancerRuntime::ApplyView(const membership::View& view) -> void {
  this->Carry(balancer::Step(this->balancer, balancer::ViewChanged{&view}, Now()));
  this->ApplyMonitor(balancer::Step(this->monitor, balancer::MonitorView{&view}, Now()));
}

template <typename Record>
auto BalancerRuntime::ReportSuspicion(const Record& record, bool suspect) -> void {
  auto key = membership::KeyOf(record);
  Log(LogLevel::kWarning, suspect ? "instance_suspect" : "instance_alive", {{"key", key}});
  if (suspect) {
    this->relay->Suspect({key, record.revision, record.failure_domain});
  } else {
    this->relay->Alive(key);
  }
}

auto BalancerRuntime::ApplyMonitor(const balancer::MonitorEffects& effects) -> void {
  for (const auto& send : effects.sends) this->tunnel->Send(send.to, send.header, {});
  for (const auto& change : effects.balancer_changes) {
    this->ReportSuspicion(change.record, change.suspect);
  }
  if (effects.changes.empty()) return;
  auto view = this->balancer.view;
  for (const auto& change : effects.changes) {
    membership::SetSuspect(view, change.record.id, change.suspect);
    this->ReportSuspicion(change.record, change.suspect);
  }
  this->Carry(balancer::Step(this->balancer, balancer::ViewChanged{&view}, Now()));
  this->monitor.view = this->balancer.view;
}

auto BalancerRuntime::OnTunnel(const base::Endpoint& from, const wire::Opened& opened) -> void {
  auto now = Now();
  this->ApplyMonitor(
      balancer::Step(this->monitor, balancer::MonitorMessage{from, &opened.header}, now));
  auto message = balancer::TunnelMessage{from, &opened.header, opened.payload};
  auto effects = balancer::Step(this->balancer, message, now);
  this->Carry(effects);
  if (!effects.view_changed) return;
  auto view = this->balancer.view;
  this->ApplyMonitor(balancer::Step(this->monitor, balancer::MonitorView{&view}, now));
}

auto BalancerRuntime::OnClient(const base::Endpoint& address, const base::Endpoint& client,
                               wire::BytesView payload) -> void {
  auto now = Now();
  this->last_client_packet = now;
  if (NoteRun(this->fence, now)) {
    ++this->fence.dropped;
    return;
  }
  auto route = balancer::RoutePacket(this->balancer, address, client, now);
  if (route.to == base::Endpoint{}) return;
  balancer::WritePacketHeader(this->balancer, route, this->scratch_header);
  this->tunnel->Send(route.to, this->scratch_header, payload);
  if (route.trace_id != 0) this->WriteClientSpan(route);
}

auto BalancerRuntime::WriteClientSpan(const balancer::Route& route) -> void {
  auto span = telemetry::Span{};
  span.context = {route.trace_id, route.span_id};
  span.name = "client_edge";
  span.start = Now();
  telemetry::AddAttribute(span, "client", base::FormatEndpoint(route.flow.client));
  telemetry::AddAttribute(span, "to", base::FormatEndpoint(route.to));
  telemetry::RecordSpan(*this->runtime->tracer, span, Now());
}

auto BalancerRuntime::Carry(const balancer::Effects& effects) -> void {
  for (const auto& send : effects.tunnel) this->tunnel->Send(send.to, send.header, send.payload);
  for (const auto& send : effects.client) {
    auto port = this->service_ports.find(send.service_address);
    if (port != this->service_ports.end()) port->second->Send(send.client, send.payload);
  }
}

auto BalancerRuntime::LocalOf(const base::Endpoint& address) const -> base::Endpoint {
  for (const auto& bind : this->runtime->settings.balancer.bind) {
    if (bind.address == address) return bind.bind;
  }
  return address;
}

auto BalancerRuntime::BindServices() -> void {
  auto wanted = std::vector<base::Endpoint>{};
  for (const auto& [address, index] : this->balancer.service_at) wanted.push_back(address);
  std::erase_if(this->service_ports, [&](const auto& port) {
    auto gone = std::find(wanted.begin(), wanted.end(), port.first) == wanted.end();
    if (gone) AddPort(this->closed_ports, port.second->Counts());
    return gone;
  });
  for (const auto& address : wanted) this->BindService(address);
}

auto BalancerRuntime::Datagrams() const -> ServiceDatagrams {
  auto sum = this->closed_ports;
  for (const auto& [address, port] : this->service_ports) AddPort(sum, port->Counts());
  return sum;
}

auto BalancerRuntime::BindService(const base::Endpoint& address) -> void {
  if (this->service_ports.contains(address)) return;
  auto options = net::UdpPortOptions{};
  options.local = this->LocalOf(address);
  options.max_datagram = wire::kMaxDatagram;
  auto receive = [this, address](const base::Endpoint& client, wire::BytesView payload) {
    this->OnClient(address, client, payload);
  };
  auto port = net::UdpPort::Open(this->runtime->io, options, receive);
  if (!port) {
    Log(LogLevel::kError, "service_address_not_bound",
        {{"address", base::FormatEndpoint(address)},
         {"local", base::FormatEndpoint(options.local)}});
    return;
  }
  this->service_ports.emplace(address, std::move(*port));
}

auto BalancerRuntime::OnTick(base::TimePoint now) -> void {
  NoteRun(this->fence, now);
  LiftFence(this->fence, this->relay->State(), now);
  this->Carry(balancer::Step(this->balancer, balancer::Timer{}, now));
  this->ApplyMonitor(balancer::Step(this->monitor, balancer::MonitorTimer{}, now));
  if (this->balancer.phase != balancer::Phase::kStopping) return;
  auto quiet = now - std::max(this->stop_begun, this->last_client_packet);
  if (quiet >= kQuietTime || now - this->stop_begun >= kLetGoLimit) this->EndStop();
}

auto BalancerRuntime::BeginStop() -> void {
  Log(LogLevel::kInfo, "stopping");
  this->Carry(balancer::Step(this->balancer, balancer::StopRequested{}, Now()));
  this->announcer->Withdraw([] {});
  this->relay->Stop();
  this->stop_begun = Now();
}

auto BalancerRuntime::EndStop() -> void {
  this->Carry(balancer::Step(this->balancer, balancer::FabricWithdrawn{}, Now()));
  this->runtime->io.stop();
}

}  // namespace anvildrum::daemon
