#include "interleaving_world.h"

#include <utility>

namespace anvildrum::packets::tests {
namespace {

using base::milliseconds;

constexpr auto kFirstAgent = Address{0x0a010001};

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
    this->StartTarget(i, given.moves && i % 2 != 0 ? this->OtherService() : kDesk);
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

auto World::OtherService() const -> base::ServiceId {
  return this->options.equal_tags ? kEqualTag : kMapper;
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

}  // namespace anvildrum::packets::tests
