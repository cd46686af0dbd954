#include "packetd/balancer_node.h"

#include <algorithm>
#include <cstddef>
#include <map>
#include <set>
#include <utility>

#include "base/clock.h"
#include "base/overloaded.h"
#include "packetd/addresses.h"
#include "packetd/internal/common.h"
#include "packetd/record.h"
#include "packetd/shortage_policy.h"
#include "packets/reach.h"
#include "packets/target_verdicts.h"
#include "telemetry/log.h"

namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

// Period of the requests to other balancers while no configuration is known.
constexpr auto kAskPeriod = base::milliseconds{250};

// A balancer that has sent no hello for this long receives no more hellos.
constexpr auto kBalancerExpiry = base::seconds{5};

// Covers two hello periods, so that one hello may be lost.
constexpr auto kRecentHelloWindow = base::milliseconds{2500};

// Time after which a balancer has received hellos of all live seeds.
constexpr auto kSeedsKnownAfter = kRecentHelloWindow;

// Number of balancers whose counts are compared, more than there are seeds.
constexpr auto kMaxBalancerReports = std::size_t{8};

// Time from SIGTERM to the end of the process. The fabric probes readiness twice a second and
// removes a balancer after two failed probes; until then it sends client packets here.
constexpr auto kShutdownDelay = base::milliseconds{2000};

// Number of balancers that are examined for one that has the configuration. Usually most or none of
// them have it.
constexpr auto kMaxHoldersExamined = std::size_t{8};

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
          [&](const packets::FlowQuery&) { ++this->malformed; },  // only agents answer queries
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
      .log =
          [this](const packets::FlowId& flow, std::string_view event, std::string_view reason,
                 packets::Address agent) {
            const auto packet = packets::Packet{.source = flow.client, .destination = flow.service};
            this->LogDecision(event, packet, reason, agent);
          }};
}

// A balancer that is new or knows no agents is sent all live agents at once. If the platform
// rejects its calls, it has no other source.
auto BalancerNode::OnHello(packets::Address from, const packets::Hello& hello, base::TimePoint now)
    -> void {
  const auto is_new = !this->balancers.contains(from);
  this->balancers[from] = {.mark = {.mark = hello.mark, .at = now},
                           .balancers = hello.balancers,
                           .revision = hello.revision};
  this->TakeDrained(hello.drained, "balancer");
  this->NoteNewer(from, hello, now);
  if (this->TakeConfirmation(hello, now) && this->IsSeed()) this->SendBriefHello(now);
  for (const auto agent : hello.out_of_reach) {
    packets::TakeOutOfReach(this->core.view, agent, now);
  }
  for (const auto& peer : hello.peers) {
    packets::AddUnverified(this->core.view, peer.agent, peer.service, now);
  }
  const auto knows_agents = !hello.listed || !hello.peers.empty();
  if (!is_new && knows_agents) return;
  for (const auto& part : packets::FullGossip(this->core.view, now)) {
    this->SendHello({from}, part, now);
  }
}

auto BalancerNode::SendDueHellos(base::TimePoint now) -> void {
  const auto running_since = this->core.stall.running_since;
  const auto due = packets::DueHellos(this->core.view, {}, running_since, now);
  if (due.empty()) return;
  this->last_hellos = packets::MakeHellos(this->core, now);
  auto briefs = std::map<base::ServiceId, std::string>{};
  for (const auto& [service, hello] : this->last_hellos) {
    auto brief = hello.brief;
    brief.revision = this->peers.Revision();
    brief.platform_silent = this->IsPlatformSilent(now);
    briefs[service] = packets::EncodeControl(brief);
  }
  for (const auto agent : due) {
    this->SendControl(agent, briefs.at(this->core.view.members.at(agent).service));
  }
}

auto BalancerNode::ProbeSilentAgents(base::TimePoint now) -> void {
  const auto due = packets::DueProbes(this->core.view, {}, this->probes.FreeSlots(),
                                      this->core.stall.running_since, now);
  for (const auto agent : due) this->probes.Begin(agent);
}

// Sends an agent the parts of the last hello's agent list and the route classes that it requests.
auto BalancerNode::OnReport(const packets::TargetReport& report, base::TimePoint now) -> void {
  packets::TakeReport(this->core.view, report, now);
  this->TakeDrained(report.drained, "agent");
  this->AskAgent(report, now);
  for (const auto& part : packets::WantedParts(this->last_hellos, report)) {
    this->SendControl(report.agent, packets::EncodeControl(part));
  }
  for (const auto& part : packets::RequestedClasses(this->core.classes, report)) {
    this->SendControl(report.agent, packets::EncodeControl(part));
  }
}

// These hellos make a new agent known to all balancers within a second, including balancers whose
// calls the platform rejects or answers late. Balancers find each other through the seeds, which
// answer every sender of a hello.
auto BalancerNode::SendPeriodicHellos(base::TimePoint now) -> void {
  std::erase_if(this->balancers,
                [&](const auto& entry) { return now - entry.second.mark.at > kBalancerExpiry; });
  const auto gossip = packets::NextGossip(this->core.view, this->gossip, now);
  this->SendHello(this->Balancers(), gossip, now);
}

auto BalancerNode::Balancers() const -> std::set<packets::Address> {
  auto to = std::set<packets::Address>{};
  for (const auto& [balancer, heard] : this->balancers) to.insert(balancer);
  for (const auto& seed : this->settings.seeds) to.insert(AddressOf(seed));
  to.erase(this->core.own);
  return to;
}

// Balancers know the seeds and the balancers that exchange hellos with them; seeds know all.
//
// Safeguard: a balancer whose last read failed waits for its turn among all balancers. If it is cut
// off from them, it would use an old configuration until their entries expire. The count therefore
// ignores balancers without a recent hello, and falls to one when there are none.
auto BalancerNode::BalancerCount(base::TimePoint now) const -> std::size_t {
  auto count = std::size_t{1};
  auto reports = std::size_t{0};
  for (const auto& [balancer, known] : this->balancers) {
    if (now - known.mark.at > kRecentHelloWindow) continue;
    count = std::max<std::size_t>({count, known.balancers, this->balancers.size() + 1});
    if (++reports == kMaxBalancerReports) break;
  }
  return count;
}

// The live seed with the lowest address records the history of routes. Two balancers that both take
// themselves for it only cost calls, since their writes are conditional.
auto BalancerNode::RecordsRoutes(base::TimePoint now) const -> bool {
  if (now - this->started_at < kSeedsKnownAfter) return false;
  const auto own_is_seed = this->IsSeed();
  const auto goes_first = [&](const base::Endpoint& seed) {
    const auto known = this->balancers.find(AddressOf(seed));
    if (known == this->balancers.end() || known->first == this->core.own) return false;
    const auto lives = now - known->second.mark.at <= kRecentHelloWindow;
    return lives && (!own_is_seed || known->first < this->core.own);
  };
  const auto& seeds = this->settings.seeds;
  return std::none_of(seeds.begin(), seeds.end(), goes_first);
}

auto BalancerNode::KeepRouteHistory(base::TimePoint now) -> void {
  const auto& newer = this->newer_configuration;
  this->core.outdated = newer && newer->revision > this->peers.Revision();
  this->route_history_store.Step({.is_writer = this->RecordsRoutes(now),
                                  .platform_answers = this->platform_answers,
                                  .outage_turn = this->reads.TurnInOutage(),
                                  .balancers = this->BalancerCount(now)},
                                 now);
}

// On receipt, other balancers delay their own reads or fetch a newer configuration.
auto BalancerNode::SendBriefHello(base::TimePoint now) -> void {
  auto brief = packets::Hello{};
  brief.listed = false;
  this->SendHello(this->Balancers(), brief, now);
}

auto BalancerNode::SendHello(const std::set<packets::Address>& to, packets::Hello hello,
                             base::TimePoint now) -> void {
  hello.revision = this->peers.Revision();
  hello.drained = this->core.view.drained;
  hello.confirmed_ago = this->reads.Age(now);
  hello.out_of_reach = packets::OutOfReach(this->core.view, this->core.stall.running_since, now);
  hello.mark = base::MarkAt(this->mark_clock, now);
  hello.balancers = static_cast<std::uint32_t>(this->balancers.size() + 1);
  auto parts = packets::SplitIntoFrames(hello);
  for (const auto balancer : to) {
    const auto heard = this->balancers.find(balancer);
    const auto echo =
        heard != this->balancers.end() ? base::EchoOf(heard->second.mark, now) : std::nullopt;
    const auto holder = this->NextHolder(balancer);
    for (auto& part : parts) {
      part.echo = echo;
      part.holder = holder;
      this->SendControl(balancer, packets::EncodeControl(part));
    }
  }
}

// Returns the balancers that have the configuration in rotation, so that those without it ask
// different ones.
//
// Safeguard: otherwise all balancers whose calls the platform rejects would ask the seeds at the
// same moment, and the seeds' links are too narrow to answer them before the requests time out.
auto BalancerNode::NextHolder(packets::Address receiver) -> packets::Address {
  auto entry = this->balancers.upper_bound(this->last_holder);
  for (auto examined = std::size_t{0}; examined < kMaxHoldersExamined; ++examined, ++entry) {
    if (entry == this->balancers.end()) entry = this->balancers.begin();
    if (entry == this->balancers.end()) return 0;
    this->last_holder = entry->first;
    const auto has_it = entry->second.revision == this->peers.Revision();
    if (has_it && entry->first != receiver) return entry->first;
  }
  return 0;
}

auto BalancerNode::SendControl(packets::Address to, std::string_view text) -> void {
  const auto* bytes = reinterpret_cast<const std::uint8_t*>(text.data());
  this->control_port->Send(ControlEndpoint(this->settings, to), {bytes, text.size()});
}

auto BalancerNode::LogDecision(std::string_view event, const packets::Packet& packet,
                               std::string_view reason, packets::Address agent) -> void {
  this->operators.LogDecision(event, packet, reason,
                              {this->core.view.members.size(), this->core.hints.size(), agent});
}

auto BalancerNode::Counts() const -> std::vector<NamedCount> {
  auto counts = CountsOf(this->core);
  const auto calls = CountsOf(CallsByFreshness{this->client.Counts(), this->stale_client.Counts()});
  counts.insert(counts.end(), calls.begin(), calls.end());
  const auto reads = CountsOf(this->reads.counters);
  counts.insert(counts.end(), reads.begin(), reads.end());
  const auto age = this->ConfigurationAge(base::Now()) / base::milliseconds{1};
  counts.push_back({"configuration_age_ms",
                    "Milliseconds since the configuration was confirmed to be the newest",
                    static_cast<std::uint64_t>(age), true});
  counts.push_back({"configuration_unconfirmed",
                    "Whether the last confirmation of the configuration is older than allowed",
                    this->unconfirmed ? 1U : 0U, true});
  const auto& recorder = this->route_history_store.counters;
  counts.push_back(
      {"route_history_reads_total", "Reads of the recorded history of routes", recorder.reads});
  counts.push_back(
      {"route_history_writes_total", "Writes of the recorded history of routes", recorder.writes});
  counts.push_back(
      {"route_history_failed_total", "Reads and writes of it that failed", recorder.failed});
  counts.push_back({"route_history_routes", "Routes in the recorded history as last read",
                    this->core.recorded.size(), true});
  if (this->core.routes) {
    counts.push_back({"configuration_version", "Number of the configuration that is in force",
                      this->core.routes->version, true});
  }
  counts.push_back(
      {"malformed_total", "Datagrams and heartbeats rejected as malformed", this->malformed});
  const auto left_out = this->record_watcher->Counters().unreadable + recorder.unreadable;
  counts.push_back({"unreadable_total", "Entries of the platform that could not be used",
                    this->unreadable + left_out});
  return counts;
}

auto BalancerNode::LogTraffic() -> void {
  const auto& counters = this->core.counters;
  if (counters.openings == this->logged_counters.openings &&
      counters.forwarded == this->logged_counters.forwarded) {
    return;
  }
  Log(LogLevel::kInfo, "traffic",
      {{"openings", counters.openings - this->logged_counters.openings},
       {"copies", counters.copies - this->logged_counters.copies},
       {"forwarded", counters.forwarded - this->logged_counters.forwarded},
       {"searched", counters.hint_misses - this->logged_counters.hint_misses},
       {"no_route", counters.no_route - this->logged_counters.no_route},
       {"no_target", counters.no_target - this->logged_counters.no_target},
       {"refused", counters.refused - this->logged_counters.refused},
       {"suspicions", counters.suspicions - this->logged_counters.suspicions},
       {"queries", counters.queries - this->logged_counters.queries},
       {"found", counters.found - this->logged_counters.found},
       {"not_found", counters.not_found - this->logged_counters.not_found},
       {"resets", counters.resets - this->logged_counters.resets},
       {"flows", this->core.hints.size()},
       {"agents", this->core.view.members.size()},
       {"away", FormatAddress(this->FirstAway())}});
  this->logged_counters = counters;
}

auto BalancerNode::RefreshVerdicts(base::TimePoint now) -> void {
  for (const auto& [service, change] : packets::RefreshVerdicts(this->core, now)) {
    const auto agent = static_cast<packets::Address>(change.target);
    Log(LogLevel::kInfo, "target_verdict",
        {{"agent", FormatAddress(agent)},
         {"before", outlier::NameOf(change.before)},
         {"after", outlier::NameOf(change.after)},
         {"answered", change.counts.answered},
         {"failed", change.counts.failed},
         {"peers_failed_share", change.peer_share},
         {"ratio", change.ratio}});
  }
}

// Returns an agent whose absence prevents the reset of lost flows; 0 if there is none.
auto BalancerNode::FirstAway() const -> packets::Address {
  for (const auto& [service, hello] : this->last_hellos) {
    const auto away =
        packets::FirstAway(this->core.view, service, this->core.stall.running_since, base::Now());
    if (away != 0) return away;
  }
  return 0;
}

}  // namespace anvildrum::packetd
