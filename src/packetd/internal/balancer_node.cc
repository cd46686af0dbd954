#include "packetd/balancer_node.h"

#include <algorithm>
#include <utility>

#include "base/clock.h"
#include "base/overloaded.h"
#include "packetd/addresses.h"
#include "packetd/internal/common.h"
#include "packetd/shortage_policy.h"
#include "packets/reach.h"
#include "packets/route_history.h"

namespace anvildrum::packetd {
namespace {

// Period of the requests to other balancers while no configuration is known.
constexpr auto kAskPeriod = base::milliseconds{250};

// Time from SIGTERM to the end of the process. The fabric probes readiness twice a second and
// removes a balancer after two failed probes; until then it sends client packets here.
constexpr auto kShutdownDelay = base::milliseconds{2000};

}  // namespace

BalancerNode::BalancerNode(boost::asio::io_context& io, const Adapter& adapter,
                           const Settings& settings)
    : io(io),
      adapter(adapter),
      settings(settings),
      searcher(io, this->core, this->MakeSearchCallbacks()),
      client(MakeClient(io, settings, *adapter.dialect)),
      stale_client(MakeClient(io, settings, *adapter.stale_dialect)),
      peers(io, adapter, settings,
            [this](const platform::Object& object) { this->OnConfiguration(object, "peer"); }),
      reads({this->client, this->stale_client}, adapter, settings, this->MakeReadCallbacks()),
      route_history_store(this->client, adapter, this->core),
      record_reader(this->client, adapter, this->core),
      probes(io, settings.heartbeats.port,
             [this](packets::Address machine, base::TimePoint began, bool answered) {
               packets::RecordProbeResult(this->core.view, machine, began, answered);
             }) {
  this->core.view.policy = this->core.policy.view;
  this->core.policy.avoid_failing_targets = settings.avoid_failing_targets;
  this->core.policy.place_by_completion = settings.place_by_completion;
  this->core.policy.copies_awaited =
      ShortagePolicyOf(settings, adapter.shortage_contract).await_copies;
  this->core.own = AddressOf(settings.packets);
  this->core.domain = packets::DomainTagOf(settings.failure_domain);
  this->core.drains_unknown = settings.drains_within.has_value();
}

auto BalancerNode::Start() -> base::Result<void> {
  this->started_at = base::Now();
  this->mark_clock = {.origin = static_cast<std::uint32_t>(StartSeed(this->settings)),
                      .started = this->started_at};
  packets::NoteEvent(this->core.stall, this->started_at);
  auto opened = this->OpenPorts();
  if (!opened) return opened.error();
  this->Watch();
  this->SendPeriodicHellos(base::Now());  // the replies list the known agents
  this->ask_timer =
      std::make_unique<net::PeriodicTimer>(this->io, kAskPeriod, [this](base::TimePoint /*now*/) {
        if (!this->core.routes && !this->IsConfigurationComing()) this->peers.Ask();
      });
  this->check_timer = std::make_unique<net::PeriodicTimer>(
      this->io, packets::kStallCheck, [this](base::TimePoint now) {
        packets::NoteEvent(this->core.stall, now);
        this->PaceCalls(now);
        this->reads.Check(now);
        this->AskForNewer(now);
        this->KeepRouteHistory(now);
        this->LogFreshness(now);
        this->ReviewDrains(now);
        this->ProbeSilentAgents(now);
        this->SendDueHellos(now);
        this->RefreshVerdicts(now);
      });
  this->sweep_timer =
      std::make_unique<net::PeriodicTimer>(this->io, kSweepPeriod, [this](base::TimePoint now) {
        packets::ForgetHints(this->core, now);
        packets::Forget(this->core.view, now);
        this->SendPeriodicHellos(now);
        this->LogTraffic();
        this->operators.LogCalls({this->client.Counts(), this->stale_client.Counts()}, now);
      });
  return {};
}

auto BalancerNode::OpenPorts() -> base::Result<void> {
  auto packet_opened = net::UdpPort::Open(
      this->io, PacketPortOptions(this->settings.packets),
      [this](const base::Endpoint&, std::span<const std::uint8_t> data) { this->OnPacket(data); });
  if (!packet_opened) return packet_opened.error();
  this->packet_port = std::move(packet_opened.value());
  const auto own = AddressOf(this->settings.packets);
  auto control_opened =
      net::UdpPort::Open(this->io, PacketPortOptions(ControlEndpoint(this->settings, own)),
                         [this](const base::Endpoint& from, std::span<const std::uint8_t> data) {
                           this->OnControl(from, data);
                         });
  if (!control_opened) return control_opened.error();
  this->control_port = std::move(control_opened.value());
  auto readiness_opened = net::OperatorPort::Open(this->io, {.local = this->settings.readiness});
  if (!readiness_opened) return readiness_opened.error();
  this->readiness_port = std::move(readiness_opened.value());
  this->readiness_port->Route("GET", std::string(this->adapter.readiness_path),
                              [this](const net::OperatorRequest&) {
                                auto response = net::OperatorResponse{};
                                response.status = this->IsReady() ? 200U : 503U;
                                return response;
                              });
  auto peers_opened = this->peers.Open();
  if (!peers_opened) return peers_opened.error();
  return this->operators.Serve(this->io, this->settings.metrics, [this] { return this->Counts(); });
}

auto BalancerNode::Reload(const Settings& changed) -> void {
  if (this->settings.seeds == changed.seeds) return;
  this->settings.seeds = changed.seeds;
  this->peers.SetSeeds(changed.seeds);
  this->WatchAsSeed();
}

auto BalancerNode::Stop() -> base::Duration {
  this->stopping = true;
  return std::min<base::Duration>(kShutdownDelay, this->settings.grace / 2);
}

auto BalancerNode::IsReady() const -> bool {
  if (this->stopping || !this->core.routes) return false;
  return this->records_read || !this->core.view.members.empty();
}

auto BalancerNode::OnPacket(std::span<const std::uint8_t> datagram) -> void {
  const auto packet = this->adapter.decode_packet(datagram);
  if (!packet) {
    ++this->malformed;
    return;
  }
  this->ApplyVerdict(datagram, *packet, packets::RoutePacket(this->core, *packet, base::Now()));
}

auto BalancerNode::ApplyVerdict(std::span<const std::uint8_t> datagram,
                                const packets::Packet& packet,
                                const packets::BalancerVerdict& verdict) -> void {
  const auto port = this->settings.packets.port;
  std::visit(base::Overloaded{[&](const packets::ForwardToAgent& forward) {
                                ForwardPacket(*this->packet_port, this->adapter,
                                              base::EndpointFromV4(forward.agent, port), datagram,
                                              forward.stamp);
                              },
                              [&](const packets::RefuseOpening& refuse) {
                                const auto flow = packets::FlowFromClient(packet);
                                this->packet_port->Send(
                                    base::EndpointFromV4(flow.client.address, port),
                                    this->adapter.make_reset(flow, 0));
                                this->LogDecision("opening_refused", packet, NameOf(refuse.reason));
                              },
                              [&](const packets::AwaitSearch&) {
                                this->searcher.Await(packets::FlowFromClient(packet), datagram);
                              },
                              [&](const packets::Discard& discard) {
                                this->LogDecision("packet_dropped", packet, NameOf(discard.reason));
                              }},
             verdict);
}

auto BalancerNode::OnControl(const base::Endpoint& from, std::span<const std::uint8_t> datagram)
    -> void {
  const auto now = base::Now();
  const auto control = packets::DecodeControl(datagram, AddressOf(from));
  if (!control) {
    ++this->malformed;
    return;
  }
  std::visit(
      base::Overloaded{
          [&](const packets::Hello& hello) { this->OnHello(AddressOf(from), hello, now); },
          [&](const packets::TargetReport& report) { this->OnReport(report, now); },
          [&](const packets::Located& located) { this->searcher.OnLocated(located, now); },
          [&](const packets::FlowAnswer& answer) { this->searcher.OnAnswer(answer, now); },
          [&](const packets::GivenBack& back) { this->OnGivenBack(back, now); },
          [&](const packets::RouteQuery& query) {
            const auto answer = packets::AnswerRouteQuery(this->core, query, now);
            if (answer) this->SendControl(AddressOf(from), packets::EncodeControl(*answer));
          },
          [&](const packets::RouteAnswer&) { ++this->malformed; },  // sent to agents only
          [&](const packets::FlowQuery&) { ++this->malformed; },    // only agents answer queries
          [&](const packets::RouteClassesPart&) { ++this->malformed; }},  // sent to agents only
      *control);
}

auto BalancerNode::OnGivenBack(const packets::GivenBack& given_back, base::TimePoint now) -> void {
  if (const auto* flow = std::get_if<packets::FlowId>(&given_back.packet)) {
    return this->searcher.OnProbeBack(*flow, given_back, now);
  }
  const auto& datagram = std::get<std::vector<std::uint8_t>>(given_back.packet);
  const auto packet = this->adapter.decode_packet(datagram);
  if (!packet) {
    ++this->malformed;
    return;
  }
  this->searcher.OnGivenBack(given_back, *packet, now);
}

auto BalancerNode::MakeSearchCallbacks() -> SearchCallbacks {
  return {
      .send_control =
          [this](packets::Address to, const packets::Control& control) {
            this->SendControl(to, packets::EncodeControl(control));
          },
      .forward =
          [this](const packets::Candidate& to, std::span<const std::uint8_t> datagram, bool kept) {
            ForwardPacket(*this->packet_port, this->adapter,
                          base::EndpointFromV4(to.agent, this->settings.packets.port), datagram,
                          packets::StampFor(this->core, to.service, kept));
          },
      .reset =
          [this](const packets::FlowLost& lost) {
            this->packet_port->Send(
                base::EndpointFromV4(lost.flow.client.address, this->settings.packets.port),
                this->adapter.make_reset(lost.flow, lost.acknowledged));
          },
      .read_records = [this] { this->ReadRecords(base::Now()); },
      .log =
          [this](const packets::FlowId& flow, std::string_view event, std::string_view reason,
                 packets::Address agent) {
            const auto packet = packets::Packet{.source = flow.client, .destination = flow.service};
            this->LogDecision(event, packet, reason, agent);
          }};
}

auto BalancerNode::SendControl(packets::Address to, std::string_view text) -> void {
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(text.data());
  this->control_port->Send(ControlEndpoint(this->settings, to), {bytes, text.size()});
}

}  // namespace anvildrum::packetd
