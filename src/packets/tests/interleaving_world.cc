#include "interleaving_world.h"

#include <utility>

#include "base/overloaded.h"
#include "packets/hello.h"
#include "packets/hello_schedule.h"

namespace anvildrum::packets::tests {
namespace {

using base::milliseconds;

constexpr auto kFirstAgent = Address{0x0a010001};
constexpr auto kTickEvery = milliseconds{50};
constexpr auto kHeartbeatTicks = std::uint64_t{15};  // 750 ms
constexpr auto kOutage = milliseconds{3000};         // of the platform, and the time between two

auto IsServed(const AgentSite& site) -> bool { return site.up && site.target.alive; }

}  // namespace

World::World(const WorldOptions& given) : options(given), generator(given.seed) {
  this->history[KeyOf(kRoute)] = {this->service};
  this->agents.resize(given.agents);
  this->balancers.resize(given.balancers);
  for (auto i = std::size_t{0}; i < given.balancers; ++i) this->RestartBalancer(i);
  for (auto i = std::size_t{0}; i < given.agents; ++i) {
    auto& core = this->agents[i].core;
    core.own = kFirstAgent + static_cast<Address>(i);
    core.start = 1;
    if (given.drains) core.domain = static_cast<DomainTag>(1 + i % kDomains);
    this->StartTarget(i, given.moves && i % 2 != 0 ? kMapper : kDesk);
  }
  this->Later({}, [this] { this->Tick(); });
}

auto World::Draw(std::uint64_t below) -> std::uint64_t { return this->generator() % below; }

auto World::Later(base::Duration delay, std::function<void()> run) -> void {
  this->queue.push({this->now + delay, ++this->events, std::move(run)});
}

// Delivers a datagram one to ten milliseconds late, or loses it.
auto World::Carry(std::function<void()> run) -> void {
  if (!this->calm && this->Draw(100) < static_cast<std::uint64_t>(this->options.loss_percent)) {
    return;
  }
  this->Later(milliseconds{1 + this->Draw(10)}, std::move(run));
}

// Runs at once, or as soon as the paused process resumes.
auto World::WhenAwake(const Pause& pause, std::function<void()> run) -> void {
  if (pause.until <= this->now) return run();
  this->Later(pause.until - this->now, [this, &pause, starts = pause.starts, run = std::move(run)] {
    if (pause.starts != starts) return;
    this->WhenAwake(pause, run);
  });
}

auto World::Advance(base::TimePoint until) -> void {
  while (!this->queue.empty() && this->queue.top().at <= until) {
    auto event = this->queue.top();
    this->queue.pop();
    this->now = event.at;
    event.run();
  }
  this->now = until;
}

auto World::Run(base::Duration duration) -> void {
  this->calm = false;
  this->Advance(this->now + duration);
}

auto World::Settle(base::Duration duration) -> void {
  this->calm = true;
  this->Advance(this->now + duration);
  for (const auto& [id, flow] : this->clients) {
    const auto* site = this->OpenAt(id);
    const auto lost = flow.unanswered > 5 && !flow.ended && site != nullptr && IsServed(*site);
    if (lost) this->Fault("an open flow is not served", id);
  }
}

auto World::Fault(const std::string& what, const FlowId& flow) -> void {
  this->faults.push_back(what + ", client port " + std::to_string(flow.client.port));
}

auto World::SiteOf(Address agent) -> AgentSite* {
  const auto index = agent - kFirstAgent;
  return index < this->agents.size() ? &this->agents[index] : nullptr;
}

auto World::OpenAt(const FlowId& flow) -> AgentSite* {
  for (auto& site : this->agents) {
    const auto held = site.target.flows.find(flow);
    if (site.target.alive && held != site.target.flows.end() && held->second.open) return &site;
  }
  return nullptr;
}

auto World::Tick() -> void {
  static_assert(kTickEvery == kStallCheck);
  const auto ticks = static_cast<std::uint64_t>(this->now.time_since_epoch() / kTickEvery);
  for (auto i = std::size_t{0}; i < this->balancers.size(); ++i) {
    auto& balancer = this->balancers[i];
    const auto awake = balancer.pause.until <= this->now;
    if (awake) NoteEvent(balancer.core.stall, this->now);
    if (balancer.up && awake) this->Hello(balancer, kFirstBalancer + static_cast<Address>(i));
  }
  for (auto i = std::size_t{0}; i < this->agents.size(); ++i) {
    auto& site = this->agents[i];
    const auto awake = site.pause.until <= this->now;
    if (awake) NoteEvent(site.core.stall, this->now);
    if (awake && site.up) RefreshPeers(site.core, this->now);
    if (awake && ticks % kHeartbeatTicks == i) this->Heartbeat(site);
  }
  this->StepClients();
  if (!this->calm && this->Draw(10) == 0) this->Disturb();
  if (!this->calm && this->options.drains && this->Draw(20) == 0) this->DrainDomain();
  if (!this->calm && this->options.moves && this->Draw(40) == 0) this->MoveRoute();
  if (!this->calm && this->options.kills && this->Draw(60) == 0) this->KillProcesses();
  for (auto i = std::size_t{0}; i < this->balancers.size(); ++i) this->KeepHistory(i);
  if (!this->calm && this->options.pauses && this->Draw(10) == 0) this->PauseOne();
  this->Later(kTickEvery, [this] { this->Tick(); });
}

auto World::Heartbeat(AgentSite& site) -> void {
  auto& target = site.target;
  if (!target.alive) return;
  const auto heartbeat = this->MakeHeartbeat(target, ++target.heartbeats);
  if (!site.up) return;  // the call fails; the next one continues the count
  const auto outcome = TakeHeartbeat(site.core, heartbeat, this->now);
  this->RecordTarget(site);
  if (outcome != HeartbeatOutcome::kChanged) return;
  this->Record(site.core.own, target.service);
  this->ReportToAll(site);
}

auto World::IsPlatformAway() const -> bool {
  return this->options.kills && this->now.time_since_epoch() / kOutage % 2 != 0;
}

// The platform answers at once, or not at all.
auto World::RecordTarget(AgentSite& site) -> void {
  const auto heard = site.core.target.heard != base::TimePoint{};
  if (this->IsPlatformAway() || site.core.target.recorded || !heard) return;
  const auto& incarnation = site.core.target.last.incarnation;
  auto& recorded = this->recorded_targets[site.core.own];
  NoteRecorded(site.core, incarnation, recorded != incarnation);
  recorded = incarnation;
}

auto World::ReportToAll(AgentSite& site) -> void {
  for (auto i = std::size_t{0}; i < this->balancers.size(); ++i) {
    const auto balancer = kFirstBalancer + static_cast<Address>(i);
    const auto known = i == 0 || site.core.balancers.contains(balancer);
    if (known || !this->options.kills) this->Report(site, balancer);
  }
}

auto World::MakeHeartbeat(const Target& target, std::uint64_t sequence) const
    -> packets::Heartbeat {
  auto incarnation = Incarnation{target.id, std::nullopt};
  if (this->options.same_id) incarnation.started_ms = target.incarnation;
  return {.incarnation = incarnation,
          .service = target.service,
          .sequence = sequence,
          .draining = target.draining,
          .slots = this->options.slots};
}

// The platform has a record at once, and each balancer some time later.
auto World::Record(Address agent, std::optional<base::ServiceId> service) -> void {
  if (service) {
    this->records[agent] = *service;
  } else {
    this->records.erase(agent);
  }
  for (auto i = std::size_t{0}; i < this->balancers.size(); ++i) {
    this->Later(milliseconds{10 + this->Draw(2000)}, [this, i, agent] {
      auto& view = this->balancers[i].core.view;
      const auto record = this->records.find(agent);
      if (record == this->records.end()) return RemoveRecord(view, agent);
      AddRecord(view, agent, record->second, this->now);
    });
  }
}

auto World::Hello(BalancerSite& balancer, Address own) -> void {
  auto& view = balancer.core.view;
  Forget(view, this->now);
  ForgetHints(balancer.core, this->now);
  const auto due = DueHellos(view, {}, balancer.core.stall.running_since, this->now);
  if (due.empty()) return;
  balancer.core.records_at = this->now;
  balancer.said = MakeHellos(balancer.core, this->now);
  for (const auto agent : due) {
    this->Say(agent, own, balancer.said.at(view.members.at(agent).service).brief);
  }
}

auto World::Say(Address agent, Address balancer, const packets::Hello& hello) -> void {
  this->Carry([this, agent, balancer, hello] {
    this->WhenAwake(this->SiteOf(agent)->pause, [this, agent, balancer, hello] {
      auto* site = this->SiteOf(agent);
      if (!site->up) return;
      TakeHello(site->core, balancer, hello, this->now);
      this->Report(*site, balancer);
    });
  });
}

auto World::Report(AgentSite& site, Address balancer) -> void {
  const auto report = MakeReport(site.core, balancer, this->now);
  this->Carry([this, balancer, report] {
    auto& site = this->balancers[balancer - kFirstBalancer];
    TakeReport(site.core.view, report, this->now);
    TakeDrained(site.core.view, report.drained);
    for (const auto& part : WantedParts(site.said, report)) {
      this->Say(report.agent, balancer, part);
    }
  });
}

auto World::StepClients() -> void {
  if (!this->calm && this->clients.size() < 400 && this->Draw(2) == 0) {
    const auto port = static_cast<std::uint16_t>(++this->ports);
    const auto id = FlowId{{0x64400007, port}, kRoute};
    this->clients[id] = {.id = id, .next = this->now};
  }
  for (auto& [id, flow] : this->clients) {
    if (!flow.ended && flow.next <= this->now) this->Send(flow);
  }
}

auto World::Send(ClientFlow& flow) -> void {
  auto packet = Packet{.source = flow.id.client, .destination = flow.id.service};
  if (flow.target_sequence == 0) {
    if (flow.openings > 2) {
      flow.ended = true;
      return;
    }
    packet.synchronize = true;
    packet.acknowledged = flow.openings++;
    flow.next = this->now + milliseconds{flow.openings == 1 ? 200 : 400};
  } else {
    packet.acknowledge = true;
    packet.payload = 100;
    packet.acknowledged = flow.target_sequence + 1;
    ++flow.unanswered;
    flow.next = this->now + milliseconds{200 + this->Draw(400)};
  }
  this->ToBalancer(packet);
}

// Any balancer may receive any packet; most packets of a flow reach the same one.
auto World::ToBalancer(const Packet& packet) -> void {
  const auto usual = HashOf(FlowFromClient(packet)) % this->balancers.size();
  const auto index = this->Draw(10) == 0 ? this->Draw(this->balancers.size()) : usual;
  this->Carry([this, index, packet] {
    this->WhenAwake(this->balancers[index].pause,
                    [this, index, packet] { this->AtBalancer(index, packet); });
  });
}

auto World::AtBalancer(std::size_t index, const Packet& packet) -> void {
  const auto verdict = RoutePacket(this->balancers[index].core, packet, this->now);
  if (const auto* forward = std::get_if<ForwardToAgent>(&verdict)) {
    auto stamped = packet;
    stamped.stamp = forward->stamp;
    this->ToAgent(forward->agent, stamped);
  }
  if (std::holds_alternative<RefuseOpening>(verdict)) {
    ++this->refusals;
    this->ResetClient(FlowFromClient(packet), "a balancer's refusal");
  }
  if (std::holds_alternative<AwaitSearch>(verdict)) this->Await(index, packet);
}

auto World::Await(std::size_t index, const Packet& packet) -> void {
  auto& site = this->balancers[index];
  site.held[FlowFromClient(packet)] = packet;
  if (std::exchange(site.searching, true)) return;
  this->Later(kSearchCheck,
              [this, index, starts = site.pause.starts] { this->StepSearch(index, starts); });
}

// Runs one step of a balancer's searches, unless `starts` shows that it has restarted since.
auto World::StepSearch(std::size_t index, std::uint64_t starts) -> void {
  auto& site = this->balancers[index];
  if (site.pause.starts != starts) return;
  this->WhenAwake(site.pause, [this, index, starts] {
    auto& awake = this->balancers[index];
    const auto step = StepSearches(awake.core, this->now);
    for (const auto& addressed : step.queries) this->Query(index, addressed);
    this->Apply(index, step.outcomes);
    if (awake.core.records_wanted) this->ReadRecords(index);
    awake.searching = !IsIdle(awake.core.searches);
    if (!awake.searching) return;
    this->Later(kSearchCheck, [this, index, starts] { this->StepSearch(index, starts); });
  });
}

// The platform's answer comes a moment after its state was read.
auto World::ReadRecords(std::size_t index) -> void {
  if (this->IsPlatformAway()) return;
  auto records = std::vector<AgentRecord>{};
  for (const auto& [agent, service] : this->records) records.push_back({agent, service});
  this->Later(milliseconds{3}, [this, index, began = this->now, records = std::move(records)] {
    auto& site = this->balancers[index];
    this->WhenAwake(site.pause, [this, index, began, records] {
      TakeRecords(this->balancers[index].core, records, began, this->now);
    });
  });
}

auto World::Query(std::size_t index, const AddressedQuery& addressed) -> void {
  this->Carry([this, index, addressed] {
    this->WhenAwake(this->SiteOf(addressed.agent)->pause, [this, index, addressed] {
      auto* site = this->SiteOf(addressed.agent);
      if (!site->up) return;
      const auto answer = AnswerQuery(site->core, addressed.query, this->now);
      this->ToBalancerCore(index, [this, index, answer](Balancer& core) {
        this->Apply(index, TakeAnswer(core, answer, this->now));
      });
    });
  });
}

// Sends a control datagram to a balancer.
auto World::ToBalancerCore(std::size_t index, std::function<void(Balancer&)> take) -> void {
  this->Carry([this, index, take = std::move(take)] {
    this->WhenAwake(this->balancers[index].pause,
                    [this, index, take] { take(this->balancers[index].core); });
  });
}

auto World::Apply(std::size_t index, const std::vector<SearchOutcome>& outcomes) -> void {
  auto& site = this->balancers[index];
  const auto send = [&](const FlowId& flow, const Candidate& to, bool kept) {
    const auto held = site.held.find(flow);
    if (held == site.held.end()) return;
    auto packet = held->second;
    packet.returned = false;
    packet.stamp = StampFor(site.core, to.service, kept);
    this->ToAgent(to.agent, packet);
  };
  for (const auto& outcome : outcomes) {
    std::visit(
        base::Overloaded{[&](const FlowFound& found) {
                           send(found.flow, found.holder, false);
                           site.held.erase(found.flow);
                         },
                         [&](const FlowUnsure& unsure) {
                           for (const auto& to : unsure.agents) send(unsure.flow, to, true);
                         },
                         [&](const FlowPresumed& presumed) { site.held.erase(presumed.flow); },
                         [&](const FlowLost& lost) {
                           ++this->resets;
                           this->ResetClient(lost.flow, "a balancer");
                           site.held.erase(lost.flow);
                         },
                         [&](const FlowNotFound& failed) { site.held.erase(failed.flow); }},
        outcome);
  }
}

auto World::SendLocated(const AgentSite& agent, const FlowId& flow, std::uint16_t origin) -> void {
  for (const auto balancer : BalancersOf(agent.core, origin)) {
    const auto index = balancer - kFirstBalancer;
    this->ToBalancerCore(index, [this, index, flow, own = agent.core.own](auto& core) {
      if (!HandleFlowLocated(core, flow, own, this->now)) return;
      const auto service = core.view.members.at(own).service;
      this->Apply(index, {FlowFound{flow, {own, service}}});
    });
  }
}

auto World::SendBack(const AgentSite& agent, const Packet& packet, bool by_target) -> void {
  for (const auto balancer : BalancersOf(agent.core, packet.stamp.origin)) {
    const auto index = balancer - kFirstBalancer;
    this->ToBalancerCore(index, [this, index, packet, by_target, own = agent.core.own](auto& core) {
      if (packet.stamp.refusable) {
        const auto flow = FlowFromClient(packet);
        return this->Apply(index, HandleReturnedProbe(core, flow, own, by_target, this->now));
      }
      const auto step = HandleReturnedPacket(core, packet, own, by_target, this->now);
      if (step.keep) this->Await(index, packet);
      this->Apply(index, step.outcomes);
    });
  }
}

auto World::ToAgent(Address agent, const Packet& packet) -> void {
  this->Carry([this, agent, packet] {
    this->WhenAwake(this->SiteOf(agent)->pause, [this, agent, packet] {
      auto* site = this->SiteOf(agent);
      if (!site->up) return;
      const auto verdict = FromPeer(site->core, packet, this->now);
      // Without moved routes these reports change nothing, and the seeds keep their draws.
      const auto added = TakeAddedRoutes(site->core, this->now);
      if (added && this->options.moves) this->ReportToAll(*site);
      this->Act(*site, packet, verdict);
    });
  });
}

auto World::Act(AgentSite& site, const Packet& packet, const AgentVerdict& verdict) -> void {
  std::visit(
      base::Overloaded{
          [&](const DeliverToTarget& deliver) {
            if (deliver.located) {
              this->SendLocated(site, FlowFromClient(packet), packet.stamp.origin);
            }
            this->ToTarget(site, packet);
          },
          [&](const SendToClient& reply) {
            if (reply.located_for) {
              this->SendLocated(site, FlowFromTarget(packet), *reply.located_for);
            }
            this->ToClient(packet);
          },
          [&](const ForwardToAgent& forward) {
            auto stamped = packet;
            stamped.returned = false;
            stamped.stamp = forward.stamp;
            this->ToAgent(forward.agent, stamped);
          },
          [&](const RefuseOpening&) {
            ++this->refusals;
            this->ResetClient(FlowFromClient(packet), "an agent's refusal");
          },
          [&](const ReturnToBalancer& back) { this->SendBack(site, packet, back.by_target); },
          [](const Discard&) {}},
      verdict);
}

auto World::ToTarget(AgentSite& site, Packet packet) -> void {
  auto& target = site.target;
  const auto flow = FlowFromClient(packet);
  if (!target.alive) return;
  if (target.service != kDesk && !this->options.moves) {
    this->Fault("a packet of desk reached mapper", flow);
  }
  auto reply = Packet{.source = packet.destination, .destination = packet.source};
  reply.acknowledge = true;
  if (IsOpening(packet)) {
    if (target.draining && !this->MayBeUnheard(site)) {
      this->Fault("an opening reached a draining target", flow);
    }
    if (this->IsLongDrained(site)) this->Fault("an opening reached a drained domain", flow);
    const auto sequence = static_cast<std::uint32_t>(this->Draw(0xffffff) + 1000);
    auto& held = target.flows.try_emplace(flow, HeldFlow{false, sequence}).first->second;
    reply.synchronize = true;
    reply.sequence = held.sequence;
    return this->FromTargetOf(site, reply);
  }
  const auto held = target.flows.find(flow);
  if (held == target.flows.end()) {
    packet.returned = true;
    return this->FromTargetOf(site, packet);
  }
  if (!held->second.open && packet.acknowledged != held->second.sequence + 1) return;
  if (!held->second.open) ++this->opened;
  held->second.open = true;
  reply.payload = 100;
  this->FromTargetOf(site, reply);
}

// Returns whether the agent may not know yet that its target drains. An agent that has just started
// may first receive a late heartbeat of an earlier start, which says ready. The draining target
// corrects this with its next heartbeat (or the next one after a pause of the agent), well within
// the allowed three seconds.
auto World::MayBeUnheard(const AgentSite& site) const -> bool {
  const auto heard = site.core.target.last.incarnation.started_ms;
  const auto misled = heard && *heard != site.target.incarnation;
  const auto runs_since = std::max(site.core.started_at, site.core.stall.running_since);
  return misled && this->now - runs_since <= kTickEvery * kHeartbeatTicks;
}

auto World::FromTargetOf(AgentSite& site, const Packet& packet) -> void {
  if (!site.up) return;
  this->Act(site, packet, FromTarget(site.core, packet, this->now));
}

auto World::ToClient(const Packet& packet) -> void {
  this->Carry([this, packet] {
    const auto entry = this->clients.find(FlowFromTarget(packet));
    if (entry == this->clients.end()) return;
    auto& flow = entry->second;
    if (packet.synchronize && flow.target_sequence == 0) {
      flow.target_sequence = packet.sequence;
      flow.next = this->now;
    }
    if (!packet.synchronize) flow.unanswered = 0;
  });
}

auto World::ResetClient(const FlowId& flow, const std::string& by) -> void {
  if (this->OpenAt(flow) != nullptr) this->Fault("an open flow was reset by " + by, flow);
  this->clients[flow].ended = true;
}

}  // namespace anvildrum::packets::tests
