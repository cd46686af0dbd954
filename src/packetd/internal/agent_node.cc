#include "packetd/agent_node.h"

#include <algorithm>
#include <random>
#include <utility>

#include "base/clock.h"
#include "base/overloaded.h"
#include "packetd/addresses.h"
#include "packetd/internal/common.h"
#include "packetd/record.h"
#include "packetd/shortage_policy.h"
#include "packets/control.h"
#include "telemetry/log.h"

namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

// Time from SIGTERM to the end of the process. It covers the one-way delay to every balancer, so
// that openings in flight are still forwarded. It is short because the flows of a live target
// stall while the agent is not running.
constexpr auto kShutdownDelay = base::milliseconds{100};

// A target counts as silent after two and a half heartbeat periods, so that one heartbeat may be
// lost, but at the latest when its address may serve another service. The time is at least
// kMinHeartbeats periods; a shorter one withholds openings from a healthy target.
constexpr auto kSilentHeartbeats = 2.5;
constexpr auto kMinHeartbeats = 1.5;

auto HeartbeatsOf(const AgentSettings& settings, double count) -> base::Duration {
  const auto period = std::chrono::duration<double>(settings.heartbeat_period);
  return std::chrono::duration_cast<base::Duration>(period * count);
}

auto SilentFor(const AgentSettings& settings) -> base::Duration {
  const auto missed =
      std::min(HeartbeatsOf(settings, kSilentHeartbeats), settings.address_reused_after);
  return std::max(missed, HeartbeatsOf(settings, kMinHeartbeats));
}

// Shortest time between two requests for a newer configuration, so that an agent does not fetch
// every revision of a rapid series.
constexpr auto kMinAskInterval = base::milliseconds{500};

// Period and number of the reports to silent balancers. After a restart of all balancers, each one
// knows some agents within half a second and announces them to the other balancers.
constexpr auto kRemindPeriod = base::milliseconds{500};
constexpr auto kMaxReminded = std::size_t{8};

auto MembersKey(const Adapter& adapter, const Settings& settings) -> std::string {
  return std::string(adapter.members_prefix) + "/" + RecordName(AddressOf(settings.packets));
}

}  // namespace

AgentNode::AgentNode(boost::asio::io_context& io, const Adapter& adapter, const Settings& settings,
                     std::function<void()> reload)
    : io(io),
      adapter(adapter),
      settings(settings),
      reload(std::move(reload)),
      client(MakeClient(io, settings, *adapter.dialect)),
      stale_client(MakeClient(io, settings, *adapter.stale_dialect)),
      work_seconds(
          telemetry::AddSummary(this->operators.registry, "anvildrum_packets_work_seconds",
                                "Time from a request's last packet to its answer's first packet")),
      registrar(
          io, {this->client, this->stale_client}, MembersKey(adapter, settings),
          StartSeed(settings),
          [this](std::string_view value, bool written) { this->OnRecordKept(value, written); }),
      target_watch(io, settings.agent->target,
                   [this](base::TimePoint began) { this->OnRefused(began); }),
      configuration(io, adapter, settings,
                    [this](const platform::Object& object) { this->configuration.Keep(object); }) {
  this->core.own = AddressOf(settings.packets);
  this->core.domain = packets::DomainTagOf(settings.failure_domain);
  this->core.policy.silent_for = SilentFor(*settings.agent);
  this->core.policy.never_heard_timeout = HeartbeatsOf(*settings.agent, kMinHeartbeats);
  this->core.policy.heartbeat_every = settings.agent->heartbeat_period;
  this->core.policy.confirmation_interval = settings.agent->heartbeat_period / 2;
  this->core.admission.policy = ShortagePolicyOf(settings, adapter.shortage_contract);
  this->core.service = base::ServiceIdOf(settings.agent->service);
  this->core.start = StartSeed(settings);
  this->core.callers.seed = std::random_device{}();
}

auto AgentNode::Start() -> base::Result<void> {
  this->core.started_at = base::Now();
  packets::NoteEvent(this->core.stall, this->core.started_at);
  auto opened = this->OpenPorts();
  if (!opened) return opened.error();
  auto heartbeats = this->OpenHeartbeats();
  if (!heartbeats) return heartbeats.error();
  auto metrics =
      this->operators.Serve(this->io, this->settings.metrics, [this] { return this->Counts(); });
  if (!metrics) return metrics.error();
  this->target_watch.Start();
  this->check_timer = std::make_unique<net::PeriodicTimer>(
      this->io, packets::kStallCheck, [this](base::TimePoint now) { this->Check(now); });
  this->sweep_timer =
      std::make_unique<net::PeriodicTimer>(this->io, kSweepPeriod, [this](base::TimePoint now) {
        packets::DropIdleState(this->core, now);
        if (!this->IsKnown()) this->AnnounceToSeeds();
        this->RemoveRecordOfSilent(now);
        this->LogTraffic();
        this->operators.LogCalls({this->client.Counts(), this->stale_client.Counts()}, now);
      });
  return {};
}

// A change of the target's state is reported to all balancers at once, for example when the target
// falls silent, so that packets waiting for it do not have to wait for the next hello.
auto AgentNode::Check(base::TimePoint now) -> void {
  packets::NoteEvent(this->core.stall, now);
  packets::RefreshPeers(this->core, now);
  this->RemindBalancers(now);
  this->StepAwaiting(now);
  this->LogShortage(now);
  this->ReportChange(now);
}

auto AgentNode::ReportChange(base::TimePoint now) -> void {
  const auto state = packets::ReportedState(this->core, now);
  if (std::exchange(this->told_state, state) == state) return;
  this->ReportToAll();
  if (state == packets::TargetState::kReady) this->AnnounceToSeeds();
}

// Safeguard: if all balancers end at once during a platform outage, they find the configuration
// nowhere after a restart, and no packet is forwarded until the platform is back. Copies at agents
// prevent this.
auto AgentNode::KeepConfiguration(packets::Address balancer, std::uint64_t revision) -> void {
  const auto now = base::Now();
  const auto newer = revision > this->configuration.Revision();
  if (!newer || now - this->asked_at < kMinAskInterval) return;
  if (!packets::HoldsConfigurationCopy(this->core)) return;
  this->asked_at = now;
  this->configuration.AskFor(balancer);
}

auto AgentNode::RemindBalancers(base::TimePoint now) -> void {
  if (now - this->reminded_at < kRemindPeriod) return;
  this->reminded_at = now;
  for (const auto balancer : packets::SilentBalancers(this->core, kMaxReminded, now)) {
    this->Report(balancer);
  }
}

auto AgentNode::OnRefused(base::TimePoint began) -> void {
  if (!packets::TakeRefusal(this->core, began, base::Now())) return;
  Log(LogLevel::kInfo, "target_ended", {{"target", this->core.target.last.incarnation.id}});
  this->told_state = packets::TargetState::kAbsent;
  this->ReportToAll();
}

auto AgentNode::OpenPorts() -> base::Result<void> {
  auto packet_opened =
      net::UdpPort::Open(this->io, PacketPortOptions(this->settings.packets),
                         [this](const base::Endpoint& from, std::span<const std::uint8_t> data) {
                           this->OnPeerPacket(AddressOf(from), data);
                         });
  if (!packet_opened) return packet_opened.error();
  this->packet_port = std::move(packet_opened.value());
  auto target_opened =
      net::UdpPort::Open(this->io, PacketPortOptions(this->settings.agent->from_target),
                         [this](const base::Endpoint&, std::span<const std::uint8_t> data) {
                           this->OnTargetPacket(data);
                         });
  if (!target_opened) return target_opened.error();
  this->target_port = std::move(target_opened.value());
  auto control_opened = net::UdpPort::Open(
      this->io, PacketPortOptions(ControlEndpoint(this->settings, this->core.own)),
      [this](const base::Endpoint& from, std::span<const std::uint8_t> data) {
        this->OnControl(from, data);
      });
  if (!control_opened) return control_opened.error();
  this->control_port = std::move(control_opened.value());
  return {};
}

// The agent may have a different target from now on, possibly of another service.
auto AgentNode::Reload(const Settings& changed) -> void {
  this->settings.seeds = changed.seeds;
  this->core.admission.policy = ShortagePolicyOf(changed, this->adapter.shortage_contract);
  if (!changed.agent || *changed.agent == *this->settings.agent) return;
  this->settings.agent->target = changed.agent->target;
  this->target_watch.SetTarget(changed.agent->target);
  if (changed.agent->service == this->settings.agent->service) return;
  Log(LogLevel::kInfo, "service_changed",
      {{"before", this->settings.agent->service}, {"after", changed.agent->service}});
  this->settings.agent->service = changed.agent->service;
  packets::ChangeService(this->core, base::ServiceIdOf(changed.agent->service), base::Now());
}

auto AgentNode::Stop() -> base::Duration {
  this->core.stopping = true;
  this->ReportToAll();
  return std::min<base::Duration>(kShutdownDelay, this->settings.grace / 2);
}

auto AgentNode::OnTargetPacket(std::span<const std::uint8_t> datagram) -> void {
  const auto packet = this->adapter.decode_packet(datagram);
  if (!packet) {
    ++this->malformed;
    return;
  }
  this->ApplyVerdict(datagram, *packet, packets::FromTarget(this->core, *packet, base::Now()));
}

auto AgentNode::ApplyVerdict(std::span<const std::uint8_t> datagram, const packets::Packet& packet,
                             const packets::AgentVerdict& verdict) -> void {
  const auto port = this->settings.packets.port;
  std::visit(
      base::Overloaded{
          [&](const packets::DeliverToTarget& deliver) {
            this->packet_port->Send(this->settings.agent->target, datagram);
            if (deliver.located) {
              this->SendLocated(packets::FlowFromClient(packet), packet.stamp.origin);
            }
          },
          [&](const packets::SendToClient& reply) {
            if (reply.answered_after) {
              this->ObserveWork(*reply.answered_after);
            }
            if (reply.located_for) {
              this->SendLocated(packets::FlowFromTarget(packet), *reply.located_for);
            }
            this->packet_port->Send(base::EndpointFromV4(packet.destination.address, port),
                                    datagram);
          },
          [&](const packets::ForwardToAgent& forward) {
            ForwardPacket(*this->packet_port, this->adapter,
                          base::EndpointFromV4(forward.agent, port), datagram, forward.stamp);
          },
          [&](const packets::RefuseOpening& refuse) {
            this->Refuse(packet);
            this->LogDecision("opening_refused", packet, NameOf(refuse.reason));
          },
          [&](const packets::ReturnToBalancer& back) { this->SendBack(datagram, packet, back); },
          [](const packets::AwaitRoute&) {},  // held by OnPeerPacket
          [&](const packets::Discard& discard) {
            this->LogDecision("packet_dropped", packet, NameOf(discard.reason));
          }},
      verdict);
}

auto AgentNode::Refuse(const packets::Packet& packet) -> void {
  const auto flow = packets::FlowFromClient(packet);
  this->packet_port->Send(base::EndpointFromV4(flow.client.address, this->settings.packets.port),
                          this->adapter.make_reset(flow, 0));
}

auto AgentNode::OnControl(const base::Endpoint& from, std::span<const std::uint8_t> datagram)
    -> void {
  const auto sender = AddressOf(from);
  const auto control = packets::DecodeControl(datagram, sender);
  const auto* hello = control ? std::get_if<packets::Hello>(&*control) : nullptr;
  const auto* query = control ? std::get_if<packets::FlowQuery>(&*control) : nullptr;
  const auto* part = control ? std::get_if<packets::RouteClassesPart>(&*control) : nullptr;
  const auto* answer = control ? std::get_if<packets::RouteAnswer>(&*control) : nullptr;
  if (hello != nullptr) {
    this->OnHello(sender, *hello);
    this->KeepConfiguration(sender, hello->revision);
    this->registrar.SetPlatformAnswers(!hello->platform_silent);
    return this->Report(sender);
  }
  if (query != nullptr) {
    return this->SendControl(sender, packets::AnswerQuery(this->core, *query, base::Now()));
  }
  if (part != nullptr) return this->OnRouteClasses(*part);
  if (answer != nullptr) return this->OnRouteAnswer(sender, *answer);
  ++this->malformed;
}

auto AgentNode::OnRouteClasses(const packets::RouteClassesPart& part) -> void {
  if (!packets::TakeRouteClasses(this->core, part, base::Now())) return;
  const auto& known = this->core.route_classes;
  Log(LogLevel::kInfo, "route_classes",
      {{"version", known.version}, {"routes", known.classes.size()}});
}

auto AgentNode::OnHello(packets::Address balancer, const packets::Hello& hello) -> void {
  const auto was_drained = packets::IsDrained(this->core.drained, this->core.domain);
  packets::TakeHello(this->core, balancer, hello, base::Now());
  const auto is_drained = packets::IsDrained(this->core.drained, this->core.domain);
  if (was_drained == is_drained) return;
  Log(LogLevel::kInfo, is_drained ? "domain_drained" : "domain_taken_back",
      {{"domain", this->settings.failure_domain},
       {"revision", this->core.drained.revision},
       {"flows", this->core.flows.size()}});
}

auto AgentNode::SendControl(packets::Address balancer, const packets::Control& control) -> void {
  const auto text = packets::EncodeControl(control);
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(text.data());
  this->control_port->Send(ControlEndpoint(this->settings, balancer), {bytes, text.size()});
}

auto AgentNode::Report(packets::Address balancer) -> void {
  auto report = packets::MakeReport(this->core, balancer, base::Now());
  report.revision = this->configuration.Revision();
  this->SendControl(balancer, report);
}

auto AgentNode::SendLocated(const packets::FlowId& flow, std::uint16_t origin) -> void {
  const auto located = packets::Located{this->core.own, flow};
  for (const auto balancer : packets::BalancersOf(this->core, origin)) {
    this->SendControl(balancer, located);
  }
}

auto AgentNode::SendBack(std::span<const std::uint8_t> datagram, const packets::Packet& packet,
                         const packets::ReturnToBalancer& back) -> void {
  auto given_back = packets::GivenBack{.agent = this->core.own,
                                       .by_target = back.by_target,
                                       .packet = packets::FlowFromClient(packet),
                                       .denied = back.denied};
  if (!packet.stamp.refusable) {
    given_back.packet = std::vector<std::uint8_t>{datagram.begin(), datagram.end()};
  }
  for (const auto balancer : packets::BalancersOf(this->core, packet.stamp.origin)) {
    this->SendControl(balancer, given_back);
  }
}

auto AgentNode::ReportToAll() -> void {
  for (const auto& [balancer, heard] : this->core.balancers) this->Report(balancer);
}

auto AgentNode::IsKnown() const -> bool {
  return !this->core.balancers.empty() && this->registrar.IsSettled();
}

// If the platform rejects this instance's calls, seeds learn of the agent from these reports and
// announce it to the other balancers.
auto AgentNode::AnnounceToSeeds() -> void {
  const auto state = this->core.target.state;
  if (state == packets::TargetState::kAbsent || state == packets::TargetState::kUnknown) return;
  for (const auto& seed : this->settings.seeds) this->Report(AddressOf(seed));
}

}  // namespace anvildrum::packetd
