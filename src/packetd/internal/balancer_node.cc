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
#include "packets/reach.h"
#include "telemetry/log.h"

namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

// Changes in quick succession end one watch in this time.
constexpr auto kSeedPause = base::milliseconds{250};

// Seeds wait this long at the platform for a change; a watch only tells early what the next read
// would find.
constexpr auto kSeedHold = base::seconds{25};

// Between two questions for a configuration that another balancer has in force: that one and the
// platform, which answers within 300 ms while it is slow, are asked in turn.
constexpr auto kAskForNewerEvery = base::milliseconds{400};

// Longer configurations are read at the platform first: a balancer that served a dozen others would
// fill its link for a second.
constexpr auto kServedByPeers = std::size_t{64} * 1024;

// Records tell a balancer whom to say hello to; what changes quickly it hears from agents and other
// balancers. A fleet's start is read by a few calls instead of one for each agent: 65 machines made
// 2,200 calls in 50 s, two thirds of them for records.
constexpr auto kRecordHold = base::seconds{8};
constexpr auto kRecordPause = base::seconds{2};

// How long the platform and other balancers are asked alone: either answers within some
// milliseconds where it can, and has the newest.
constexpr auto kAskAgentsAfter = base::milliseconds{500};

// Between two questions to other balancers while no configuration is known.
constexpr auto kAskPeriod = base::milliseconds{250};

// A balancer that has not said hello for this long is not told of agents any more.
constexpr auto kBalancerFor = base::seconds{5};

// Between failed calls: a configuration has to be read soon after the platform is back, and an
// instance's budget bounds the calls of a long outage.
constexpr auto kWatchBackoff =
    platform::BackoffPolicy{.first = base::milliseconds{200}, .cap = base::milliseconds{1000}};

// From SIGTERM on: the fabric asks for readiness twice a second and takes a balancer out after two
// misses; until then clients' packets still come here.
constexpr auto kLeaveAfter = base::milliseconds{2000};

auto WatchPolicyOf(base::Duration hold, base::Duration pause) -> platform::WatchPolicy {
  auto policy = platform::WatchPolicy{};
  policy.hold = hold;
  policy.pause = pause;
  policy.backoff = kWatchBackoff;
  return policy;
}

}  // namespace

BalancerNode::BalancerNode(boost::asio::io_context& io, const Adapter& adapter,
                           const Settings& settings)
    : io(io),
      adapter(adapter),
      settings(settings),
      searcher(io, this->core, this->MakeSearchPorts()),
      client(MakeClient(io, settings, *adapter.dialect)),
      record_client(MakeClient(io, settings, *adapter.stale_dialect)),
      peers(io, adapter, settings,
            [this](const platform::Object& object) { this->OnConfiguration(object, "peer"); }),
      reads(this->client, adapter, settings, this->MakeReadPorts()),
      probes(io, settings.heartbeats.port,
             [this](packets::Address machine, base::TimePoint began, bool answered) {
               packets::TakeProbe(this->core.view, machine, began, answered);
             }) {
  this->core.view.policy = this->core.policy.view;
  this->core.own = AddressOf(settings.packets);
  this->core.domain = packets::DomainTagOf(settings.failure_domain);
}

auto BalancerNode::Start() -> base::Result<void> {
  this->started_at = base::Now();
  packets::NoteEvent(this->core.stall, this->started_at);
  auto opened = this->OpenPorts();
  if (!opened) return opened.error();
  this->Watch();
  this->TellBalancers(base::Now());  // they answer with the agents that they know
  this->ask_timer =
      std::make_unique<net::PeriodicTimer>(this->io, kAskPeriod, [this](base::TimePoint /*now*/) {
        if (!this->core.routes) this->peers.Ask();
      });
  this->check_timer = std::make_unique<net::PeriodicTimer>(
      this->io, packets::kStallCheck, [this](base::TimePoint now) {
        packets::NoteEvent(this->core.stall, now);
        this->reads.Check(now);
        this->AskForNewer(now);
        this->ProbeSilent(now);
        this->Greet(now);
      });
  this->sweep_timer =
      std::make_unique<net::PeriodicTimer>(this->io, kSweepPeriod, [this](base::TimePoint now) {
        packets::ForgetHints(this->core, now);
        packets::Forget(this->core.view, now);
        this->TellBalancers(now);
        this->LogTraffic();
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

auto BalancerNode::Watch() -> void {
  const auto seed = StartSeed(this->settings);
  this->reads.Check(base::Now());
  this->WatchAsSeed();
  this->record_watcher = std::make_unique<platform::PrefixWatcher>(
      this->io, this->record_client,
      platform::PrefixWatcherSettings{.prefix = std::string(this->adapter.members_prefix),
                                      .policy = WatchPolicyOf(kRecordHold, kRecordPause),
                                      .seed = seed + 1},
      platform::PrefixWatcherCallbacks{
          .on_change = [this](const platform::Object& object) { this->OnRecord(object); },
          .on_synced =
              [this](std::uint64_t /*revision*/) {
                const auto now = base::Now();
                this->core.records_at = now;
                if (!std::exchange(this->records_read, true)) this->Greet(now);
              }});
}

auto BalancerNode::IsSeed() const -> bool {
  const auto& seeds = this->settings.seeds;
  return std::any_of(seeds.begin(), seeds.end(),
                     [&](const base::Endpoint& seed) { return AddressOf(seed) == this->core.own; });
}

// Changes reach the fleet within milliseconds by the few balancers that are seeds: they wait for
// them at the platform and tell the others. That they do is not relied on.
auto BalancerNode::WatchAsSeed() -> void {
  this->configuration_watcher.reset();
  this->drains_watcher.reset();
  if (!this->IsSeed()) return;
  const auto watch = [this](std::string_view prefix, std::uint64_t seed) {
    return std::make_unique<platform::PrefixWatcher>(
        this->io, this->client,
        platform::PrefixWatcherSettings{.prefix = std::string(prefix),
                                        .policy = WatchPolicyOf(kSeedHold, kSeedPause),
                                        .seed = seed},
        platform::PrefixWatcherCallbacks{.on_change = [this](const platform::Object& /*object*/) {
          this->reads.Hasten(base::Now());
        }});
  };
  const auto seed = StartSeed(this->settings);
  this->configuration_watcher = watch(this->adapter.configuration_prefix, seed + 2);
  if (this->settings.drains_within) {
    this->drains_watcher = watch(this->adapter.drains_prefix, seed + 3);
  }
}

auto BalancerNode::MakeReadPorts() -> OperatorReadPorts {
  return {.on_configuration =
              [this](const platform::Object& object) { this->OnConfiguration(object, "platform"); },
          .on_drains = [this](const platform::Listing& drains) { this->OnDrains(drains); },
          .on_answer = [this](const platform::PlatformError* error) { this->OnAnswer(error); },
          .on_confirmed = [this] { this->TellAtOnce(); }};
}

auto BalancerNode::Reload(const Settings& changed) -> void {
  if (this->settings.seeds == changed.seeds) return;
  this->settings.seeds = changed.seeds;
  this->peers.SetSeeds(changed.seeds);
  this->WatchAsSeed();
}

auto BalancerNode::Stop() -> base::Duration {
  this->stopping = true;
  return std::min<base::Duration>(kLeaveAfter, this->settings.grace / 2);
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
  this->Carry(datagram, *packet, packets::RoutePacket(this->core, *packet, base::Now()));
}

auto BalancerNode::Carry(std::span<const std::uint8_t> datagram, const packets::Packet& packet,
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
  std::visit(base::Overloaded{
                 [&](const packets::Hello& hello) { this->OnHello(AddressOf(from), hello, now); },
                 [&](const packets::TargetReport& report) { this->OnReport(report, now); },
                 [&](const packets::Located& located) { this->searcher.OnLocated(located, now); },
                 [&](const packets::FlowAnswer& answer) { this->searcher.OnAnswer(answer, now); },
                 [&](const packets::GivenBack& back) { this->OnGivenBack(back, now); },
                 [&](const packets::FlowQuery&) { ++this->malformed; }},  // is for agents
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

auto BalancerNode::MakeSearchPorts() -> SearchPorts {
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

// A balancer that is new, or knows of no agent, is told at once which are live: where the platform
// turns it away, it has nothing else to go by.
auto BalancerNode::OnHello(packets::Address from, const packets::Hello& hello, base::TimePoint now)
    -> void {
  const auto is_new = !this->balancers.contains(from);
  this->balancers[from] = now;
  this->TakeDrained(hello.drained, "balancer");
  this->NoteNewer(from, hello.revision, now);
  if (this->TakeConfirmation(hello, now) && this->IsSeed()) this->TellAtOnce();
  for (const auto agent : hello.out_of_reach) {
    packets::TakeOutOfReach(this->core.view, agent, now);
  }
  for (const auto& peer : hello.peers) {
    packets::AddHearsay(this->core.view, peer.agent, peer.service, now);
  }
  const auto knows_agents = !hello.listed || !hello.peers.empty();
  if (!is_new && knows_agents) return;
  for (const auto& part : packets::WholeHearsay(this->core.view, now)) {
    this->SendControl(from, this->Complete(part));
  }
}

auto BalancerNode::Greet(base::TimePoint now) -> void {
  const auto running_since = this->core.stall.running_since;
  const auto due = packets::DueGreetings(this->core.view, {}, running_since, now);
  if (due.empty()) return;
  this->said = packets::MakeHellos(this->core, now);
  auto briefs = std::map<base::ServiceId, std::string>{};
  for (const auto& [service, hello] : this->said) {
    auto brief = hello.brief;
    brief.revision = this->peers.Revision();
    briefs[service] = packets::EncodeControl(brief);
  }
  for (const auto agent : due) {
    this->SendControl(agent, briefs.at(this->core.view.members.at(agent).service));
  }
}

auto BalancerNode::ProbeSilent(base::TimePoint now) -> void {
  const auto due = packets::DueProbes(this->core.view, {}, this->probes.Room(),
                                      this->core.stall.running_since, now);
  for (const auto agent : due) this->probes.Begin(agent);
}

// An agent keeps a configuration, and this balancer has found none for a while. What the agent
// keeps is what was in force when it last heard of a balancer; a newer one replaces it as soon as
// the platform answers.
auto BalancerNode::AskAgent(const packets::TargetReport& report, base::TimePoint now) -> void {
  if (this->core.routes || report.revision == 0) return;
  if (now - this->started_at < kAskAgentsAfter) return;
  this->peers.AskFor(report.agent);
}

// An agent that lacks the list which the last hellos named is sent it.
auto BalancerNode::OnReport(const packets::TargetReport& report, base::TimePoint now) -> void {
  packets::TakeReport(this->core.view, report, now);
  this->TakeDrained(report.drained, "agent");
  this->AskAgent(report, now);
  for (const auto& part : packets::WantedParts(this->said, report)) {
    this->SendControl(report.agent, packets::EncodeControl(part));
  }
}

// A new agent is known to all balancers within a second, also to those that the platform turns away
// or tells late. Balancers find each other by the seeds, which answer whoever says hello.
auto BalancerNode::TellBalancers(base::TimePoint now) -> void {
  std::erase_if(this->balancers,
                [&](const auto& entry) { return now - entry.second > kBalancerFor; });
  const auto hearsay = packets::NextHearsay(this->core.view, this->hearsay_from, now);
  const auto text = this->Complete(hearsay);
  for (const auto balancer : this->Balancers()) this->SendControl(balancer, text);
}

auto BalancerNode::Balancers() const -> std::set<packets::Address> {
  auto to = std::set<packets::Address>{};
  for (const auto& [balancer, heard] : this->balancers) to.insert(balancer);
  for (const auto& seed : this->settings.seeds) to.insert(AddressOf(seed));
  to.erase(this->core.own);
  return to;
}

// Others put off their own reads, or read what is new.
auto BalancerNode::TellAtOnce() -> void {
  auto brief = packets::Hello{};
  brief.listed = false;
  const auto text = this->Complete(brief);
  for (const auto balancer : this->Balancers()) this->SendControl(balancer, text);
}

// Whether the other balancer's read confirms what this one has. Seeds tell it on, where it is news:
// others know no balancers but seeds.
auto BalancerNode::TakeConfirmation(const packets::Hello& hello, base::TimePoint now) -> bool {
  const auto same = hello.revision == this->peers.Revision() &&
                    hello.drained.domains == this->core.view.drained.domains;
  if (!hello.confirmed_ago || !same) return false;
  return this->reads.Confirm(now - *hello.confirmed_ago, now);
}

auto BalancerNode::NoteNewer(packets::Address from, std::uint64_t revision, base::TimePoint now)
    -> void {
  if (revision <= std::max(this->peers.Revision(), this->newer ? this->newer->revision : 0)) return;
  this->newer = NewerConfiguration{from, revision, {}, this->peers.Size() > kServedByPeers};
  this->AskForNewer(now);
}

// The other balancer may have gone since, and the platform may not answer this one.
auto BalancerNode::AskForNewer(base::TimePoint now) -> void {
  if (!this->newer) return;
  if (this->newer->revision <= this->peers.Revision()) return this->newer.reset();
  if (now - this->newer->asked_at < kAskForNewerEvery) return;
  this->newer->asked_at = now;
  const auto ask_platform = this->newer->ask_platform;
  this->newer->ask_platform = !ask_platform;
  if (ask_platform) return this->reads.FetchConfiguration();
  this->peers.AskFor(this->newer->from);
}

auto BalancerNode::Complete(packets::Hello hello) const -> std::string {
  hello.revision = this->peers.Revision();
  hello.drained = this->core.view.drained;
  const auto now = base::Now();
  hello.confirmed_ago = this->reads.Age(now);
  hello.out_of_reach = packets::OutOfReach(this->core.view, this->core.stall.running_since, now);
  return packets::EncodeControl(hello);
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
  const auto calls = CountsOf(this->client.Counts());
  counts.insert(counts.end(), calls.begin(), calls.end());
  counts.push_back({"malformed_total", "Datagrams and heartbeats refused whole", this->malformed});
  const auto left_out = this->record_watcher->Counters().unreadable;
  counts.push_back({"unreadable_total", "Entries of the platform that could not be used",
                    this->unreadable + left_out});
  return counts;
}

auto BalancerNode::LogTraffic() -> void {
  const auto& counters = this->core.counters;
  if (counters.openings == this->logged.openings && counters.forwarded == this->logged.forwarded) {
    return;
  }
  Log(LogLevel::kInfo, "traffic",
      {{"openings", counters.openings - this->logged.openings},
       {"copies", counters.copies - this->logged.copies},
       {"forwarded", counters.forwarded - this->logged.forwarded},
       {"searched", counters.unhinted - this->logged.unhinted},
       {"no_route", counters.no_route - this->logged.no_route},
       {"no_target", counters.no_target - this->logged.no_target},
       {"refused", counters.refused - this->logged.refused},
       {"suspicions", counters.suspicions - this->logged.suspicions},
       {"queries", counters.queries - this->logged.queries},
       {"found", counters.found - this->logged.found},
       {"not_found", counters.not_found - this->logged.not_found},
       {"resets", counters.resets - this->logged.resets},
       {"flows", this->core.hints.size()},
       {"agents", this->core.view.members.size()},
       {"away", FormatAddress(this->FirstAway())}});
  this->logged = counters;
}

// An agent that keeps lost flows from being reset; 0 where there is none.
auto BalancerNode::FirstAway() const -> packets::Address {
  for (const auto& [service, hello] : this->said) {
    const auto away =
        packets::FirstAway(this->core.view, service, this->core.stall.running_since, base::Now());
    if (away != 0) return away;
  }
  return 0;
}

// Reads of the configuration tell of the platform: one line when it is lost, one when it is back.
auto BalancerNode::OnAnswer(const platform::PlatformError* error) -> void {
  const auto now = base::Now();
  if (error == nullptr) {
    if (!this->platform_lost_at) return;
    const auto away = std::chrono::duration_cast<base::milliseconds>(now - *this->platform_lost_at);
    Log(LogLevel::kInfo, "platform_regained", {{"after_ms", away.count()}});
    this->platform_lost_at.reset();
    return;
  }
  if (this->platform_lost_at) return;
  this->platform_lost_at = now;
  Log(LogLevel::kWarning, "platform_lost",
      {{"code", static_cast<int>(error->code)},
       {"status", error->http_status},
       {"prefix", error->key}});
}

auto BalancerNode::OnConfiguration(const platform::Object& object, std::string_view from) -> void {
  if (object.deleted || object.key != this->adapter.configuration_key) return;
  if (object.revision == this->peers.Revision()) return;  // in force already
  auto routes = this->adapter.decode_configuration(object.value);
  if (!routes) {
    ++this->unreadable;
    Log(LogLevel::kError, "configuration_unreadable",
        {{"key", object.key}, {"revision", object.revision}, {"from", from}});
    return;
  }
  const auto version = routes->version;
  const auto count = routes->shares.size();
  const auto taken = packets::PutInForce(this->core, std::move(*routes), base::Now());
  if (taken) this->peers.Keep(object);
  Log(LogLevel::kInfo, taken ? "configuration_in_force" : "configuration_older",
      {{"version", version}, {"routes", count}, {"revision", object.revision}, {"from", from}});
}

auto BalancerNode::OnDrains(const platform::Listing& drains) -> void {
  this->unreadable += drains.unreadable;
  auto domains = std::vector<packets::DomainTag>{};
  auto names = std::string{};
  for (const auto& drain : drains.items) {
    const auto name = std::string_view{drain.key}.substr(this->adapter.drains_prefix.size() + 1);
    domains.push_back(packets::DomainTagOf(name));
    names += (names.empty() ? "" : " ") + std::string(name);
  }
  this->TakeDrained(packets::DrainedOf(drains.revision, std::move(domains)), names);
}

auto BalancerNode::TakeDrained(const packets::DrainedDomains& told, std::string_view from) -> void {
  if (!packets::TakeDrained(this->core.view, told)) return;
  Log(LogLevel::kInfo, "domains_drained",
      {{"count", told.domains.size()},
       {"own", packets::IsDrained(told, this->core.domain)},
       {"revision", told.revision},
       {"from", from}});
}

auto BalancerNode::OnRecord(const platform::Object& object) -> void {
  const auto agent = AgentOfKey(object.key);
  const auto record = DecodeRecord(object.value);
  if (!agent || (!object.deleted && (!record || record->agent != *agent))) {
    ++this->unreadable;
    this->operators.LogOdd("record_unreadable", object.key);
    if (agent) packets::RemoveRecord(this->core.view, *agent);
    return;
  }
  this->operators.LogRecord(object.key, object.deleted, object.revision);
  if (object.deleted) return packets::RemoveRecord(this->core.view, *agent);
  packets::AddRecord(this->core.view, *agent, base::ServiceIdOf(record->service), base::Now());
}

}  // namespace anvildrum::packetd
