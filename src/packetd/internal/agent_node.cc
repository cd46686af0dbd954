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

constexpr auto kOk = 200U;
constexpr auto kBadRequest = 400U;
constexpr auto kConflict = 409U;

// Longest part of a path in a log line, in characters; the sender chooses the path's length.
constexpr auto kLoggedPath = std::size_t{80};

auto JsonReply(unsigned status) -> net::OperatorResponse {
  return {.status = status, .content_type = "application/json", .body = "{}"};
}

auto PlainReply(unsigned status) -> net::OperatorResponse {
  auto response = net::OperatorResponse{};
  response.status = status;
  return response;
}

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

// A target with a higher heartbeat sequence number started before this process, so an earlier
// process has written the record.
constexpr auto kMaxStartupHeartbeats = std::uint64_t{2};

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
      registrar(io, {this->client, this->stale_client}, MembersKey(adapter, settings),
                StartSeed(settings)),
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
  this->LogShortage(now);
  const auto state = packets::StateOf(this->core, now);
  if (std::exchange(this->told_state, state) != state) this->ReportToAll();
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
                         [this](const base::Endpoint&, std::span<const std::uint8_t> data) {
                           this->OnPeerPacket(data);
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

auto AgentNode::OpenHeartbeats() -> base::Result<void> {
  auto readiness = net::OperatorPort::Open(this->io, {.local = this->settings.readiness});
  if (!readiness) return readiness.error();
  this->readiness_port = std::move(readiness.value());
  this->readiness_port->Route("GET", std::string(this->adapter.readiness_path),
                              [](const net::OperatorRequest&) { return PlainReply(kOk); });
  auto heartbeats = net::OperatorPort::Open(this->io, {.local = this->settings.heartbeats});
  if (!heartbeats) return heartbeats.error();
  this->heartbeat_port = std::move(heartbeats.value());
  const auto path = std::string(this->adapter.heartbeat_path);
  this->heartbeat_port->Route("PUT", path, [this](const net::OperatorRequest& request) {
    return this->OnHeartbeat(request);
  });
  this->heartbeat_port->Route(
      "GET", this->configuration.Path(),
      [this](const net::OperatorRequest&) { return this->configuration.Answer(); });
  this->heartbeat_port->Route("DELETE", path, [this](const net::OperatorRequest& request) {
    return this->OnLeave(request);
  });
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

auto AgentNode::OnPeerPacket(std::span<const std::uint8_t> datagram) -> void {
  const auto packet = this->adapter.decode_packet(datagram);
  if (!packet) {
    ++this->malformed;
    return;
  }
  this->ApplyVerdict(datagram, *packet, packets::FromPeer(this->core, *packet, base::Now()));
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
      base::Overloaded{[&](const packets::DeliverToTarget& deliver) {
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
                         this->packet_port->Send(
                             base::EndpointFromV4(packet.destination.address, port), datagram);
                       },
                       [&](const packets::ForwardToAgent& forward) {
                         ForwardPacket(*this->packet_port, this->adapter,
                                       base::EndpointFromV4(forward.agent, port), datagram,
                                       forward.stamp);
                       },
                       [&](const packets::RefuseOpening& refuse) {
                         this->Refuse(packet);
                         this->LogDecision("opening_refused", packet, NameOf(refuse.reason));
                       },
                       [&](const packets::ReturnToBalancer& back) {
                         this->SendBack(datagram, packet, back.by_target);
                       },
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

auto AgentNode::TargetIdOf(std::string_view path) const -> std::string_view {
  return path.substr(std::min(path.size(), this->adapter.heartbeat_path.size()));
}

auto AgentNode::OnHeartbeat(const net::OperatorRequest& request) -> net::OperatorResponse {
  const auto heartbeat =
      this->adapter.decode_heartbeat(this->TargetIdOf(request.path), request.body);
  if (!heartbeat) {
    ++this->malformed;
    this->LogInvalidInput("heartbeat_unreadable", request.path);
    return JsonReply(kBadRequest);
  }
  auto outcome = packets::TakeHeartbeat(this->core, *heartbeat, base::Now());
  if (outcome == packets::HeartbeatOutcome::kOtherService) {
    this->reload();
    outcome = packets::TakeHeartbeat(this->core, *heartbeat, base::Now());
  }
  // A stale heartbeat is not acknowledged, because a target assumes that a departure is known once
  // it is acknowledged.
  if (outcome == packets::HeartbeatOutcome::kStale) {
    this->LogInvalidInput("heartbeat_not_believed", request.path);
    return JsonReply(kConflict);
  }
  this->target_watch.OnTargetAlive();
  if (outcome != packets::HeartbeatOutcome::kChanged || this->core.stopping) return JsonReply(kOk);
  this->told_state = packets::StateOf(this->core, base::Now());
  Log(LogLevel::kInfo, "target_state",
      {{"target", heartbeat->incarnation.id},
       {"started_ms", heartbeat->incarnation.started_ms.value_or(0)},
       {"sequence", heartbeat->sequence},
       {"draining", heartbeat->draining}});
  this->ReportToAll();
  this->AnnounceToSeeds();
  if (heartbeat->sequence > kMaxStartupHeartbeats) this->registrar.ExpectObject();
  this->registrar.Keep(EncodeRecord({this->core.own, this->settings.agent->service}));
  return JsonReply(kOk);
}

auto AgentNode::OnLeave(const net::OperatorRequest& request) -> net::OperatorResponse {
  const auto id = this->adapter.target_id(this->TargetIdOf(request.path));
  if (!packets::TakeLeave(this->core, id, base::Now())) return JsonReply(kOk);
  const auto doubtful = this->core.target.leave_doubtful;
  Log(LogLevel::kInfo, "target_left", {{"target", id}, {"doubtful", doubtful}});
  this->ReportToAll();
  if (!doubtful) this->registrar.Remove();
  return JsonReply(kOk);
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
                         bool by_target) -> void {
  auto back = packets::GivenBack{this->core.own, by_target, packets::FlowFromClient(packet)};
  if (!packet.stamp.refusable) {
    back.packet = std::vector<std::uint8_t>{datagram.begin(), datagram.end()};
  }
  for (const auto balancer : packets::BalancersOf(this->core, packet.stamp.origin)) {
    this->SendControl(balancer, back);
  }
}

auto AgentNode::ReportToAll() -> void {
  for (const auto& [balancer, heard] : this->core.balancers) this->Report(balancer);
}

auto AgentNode::ObserveWork(base::Duration took) -> void {
  telemetry::Observe(this->work_seconds, std::chrono::duration<double>(took).count());
}

auto AgentNode::LogDecision(std::string_view event, const packets::Packet& packet,
                            std::string_view reason) -> void {
  this->operators.LogDecision(event, packet, reason,
                              {this->core.peers.size(), this->core.flows.size(), 0});
}

auto AgentNode::Counts() const -> std::vector<NamedCount> {
  auto counts = CountsOf(this->core, base::Now());
  const auto calls = CountsOf(CallsByFreshness{this->client.Counts(), this->stale_client.Counts()});
  counts.insert(counts.end(), calls.begin(), calls.end());
  counts.push_back({"classed_routes", "Routes of the target's service whose class is known",
                    this->core.route_classes.classes.size(), true});
  counts.push_back(
      {"malformed_total", "Datagrams and heartbeats rejected as malformed", this->malformed});
  return counts;
}

auto AgentNode::LogTraffic() -> void {
  const auto& counters = this->core.counters;
  if (counters.delivered == this->logged_counters.delivered &&
      counters.refused == this->logged_counters.refused) {
    return;
  }
  const auto work = packets::SummarizeWork(this->core);
  Log(LogLevel::kInfo, "traffic",
      {{"delivered", counters.delivered - this->logged_counters.delivered},
       {"replies", counters.replies - this->logged_counters.replies},
       {"returned", counters.returned - this->logged_counters.returned},
       {"passed_on", counters.passed_on - this->logged_counters.passed_on},
       {"over_limit", counters.over_limit - this->logged_counters.over_limit},
       {"wrong_service", counters.wrong_service - this->logged_counters.wrong_service},
       {"none_left", counters.none_left - this->logged_counters.none_left},
       {"given_back", counters.given_back - this->logged_counters.given_back},
       {"queried", counters.queried - this->logged_counters.queried},
       {"refused", counters.refused - this->logged_counters.refused},
       {"flows", this->core.flows.size()},
       {"at_work", this->core.at_work},
       {"work_offered", work.offered},
       {"work_assumed", work.assumed},
       {"work_open", work.open},
       {"work_repeated", work.repeated},
       {"work_quiet", this->core.quiet_work},
       {"peers", this->core.peers.size()}});
  this->logged_counters = counters;
}

auto AgentNode::LogShortage(base::TimePoint now) -> void {
  const auto& admission = this->core.admission;
  const auto turned_away = TurnedAway(this->core.counters.shortage);
  const auto line =
      NextShortageLine(this->shortage_log, admission::IsShort(admission, now), turned_away, now);
  if (line == ShortageLine::kNone) return;
  using Milliseconds = std::chrono::duration<double, std::milli>;
  Log(LogLevel::kInfo, line == ShortageLine::kBegan ? "shortage_began" : "shortage_ended",
      {{"in_flight", this->core.at_work},
       {"slots", this->core.target.last.slots},
       {"most_urgent", admission.most_urgent},
       {"least_urgent", admission.least_urgent},
       {"service_time_ms", Milliseconds(admission.mix.mean).count()},
       {"turned_away", turned_away - this->shortage_log.turned_away}});
}

// Removes the record after a doubtful leave once the target has stayed silent, which shows that the
// leave was genuine.
auto AgentNode::RemoveRecordOfSilent(base::TimePoint now) -> void {
  if (!this->core.target.leave_doubtful) return;
  if (packets::StateOf(this->core, now) != packets::TargetState::kAbsent) return;
  this->registrar.Remove();
}

auto AgentNode::LogInvalidInput(std::string_view event, std::string_view path) -> void {
  this->operators.LogInvalidInput(event, path.substr(0, kLoggedPath));
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
