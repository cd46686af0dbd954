// Events that happen to the deployment: restarts, drains, crashes and pauses.

#include <algorithm>
#include <utility>

#include "interleaving_world.h"
#include "packets/route_history.h"

namespace anvildrum::packets::tests {
namespace {

using base::milliseconds;

// Maximum time from an operator's drain to the last opening in the domain, if all processes have
// run for that time: a balancer reads the drain within two seconds, and agents learn of it one or
// two checks later.
constexpr auto kDrainWithin = milliseconds{3000};

// Time after which an agent's next connection to a target that has ended is refused.
constexpr auto kNoticedWithin = milliseconds{25};

auto RoutesTo(std::uint64_t version, base::ServiceId service) -> Routes {
  auto routes = Routes{};
  routes.version = version;
  routes.shares[KeyOf(kRoute)] = {{service, 1}};
  return routes;
}

}  // namespace

auto World::Disturb() -> void {
  const auto index = this->Draw(this->agents.size());
  switch (this->Draw(6)) {
    case 0:
    case 1:
      return this->RestartAgent(index);
    case 2:
      return this->RestartBalancer(this->Draw(this->balancers.size()));
    case 3:
    case 4:
      return this->Drain(index);
    default:
      return this->Crash(index);
  }
}

auto World::RestartAgent(std::size_t index) -> void {
  auto& site = this->agents[index];
  if (!site.up) return;
  site.core.stopping = true;
  this->ReportToAll(site);
  this->Later(milliseconds{100}, [this, index] { this->agents[index].up = false; });
  this->Later(milliseconds{300 + this->Draw(1500)}, [this, index] { this->StartAgent(index); });
}

auto World::StartAgent(std::size_t index) -> void {
  auto& restarted = this->agents[index];
  const auto own = restarted.core.own;
  const auto start = restarted.core.start;
  restarted.core = {};
  restarted.awaiting.clear();
  restarted.core.own = own;
  if (this->options.drains) {
    restarted.core.domain = static_cast<DomainTag>(1 + index % kDomains);
  }
  restarted.core.start = start + 1;
  restarted.core.service = restarted.target.service;
  restarted.core.started_at = this->now;
  restarted.up = true;
  NoteEvent(restarted.core.stall, this->now);
  restarted.pause = {{}, restarted.pause.starts + 1};
}

auto World::KillProcesses() -> void {
  const auto all = this->Draw(2) == 0;
  for (auto i = std::size_t{0}; i < this->agents.size(); ++i) {
    auto& site = this->agents[i];
    if (!site.up || (!all && this->Draw(2) == 0)) continue;
    site.up = false;
    this->Later(milliseconds{200 + this->Draw(600)}, [this, i] { this->StartAgent(i); });
  }
  for (auto i = std::size_t{0}; i < this->balancers.size(); ++i) {
    if (all || this->Draw(2) == 0) this->RestartBalancer(i);
  }
}

auto World::RestartBalancer(std::size_t index) -> void {
  auto fresh = Balancer{};
  ApplyRoutes(fresh, RoutesTo(this->version, this->service), this->now);
  for (const auto& [agent, service] : this->records) {
    AddRecord(fresh.view, agent, service, this->now);
  }
  fresh.own = kFirstBalancer + static_cast<Address>(index);
  auto& restarted = this->balancers[index];
  restarted.core = std::move(fresh);
  restarted.held.clear();
  restarted.searching = false;
  NoteEvent(restarted.core.stall, this->now);
  restarted.pause = {{}, restarted.pause.starts + 1};
  this->Later(milliseconds{this->options.moves ? this->Draw(1000) : 0},
              [this, index] { this->ReadHistory(index); });
}

// Each balancer is told of the version soon and applies it within a second, unless the next one
// comes before.
auto World::MoveRoute() -> void {
  this->service = this->service == kDesk ? this->OtherService() : kDesk;
  ++this->version;
  for (auto i = std::size_t{0}; i < this->balancers.size(); ++i) {
    const auto told_after = this->Draw(100);
    this->Later(milliseconds{told_after}, [this, i] { this->balancers[i].core.outdated = true; });
    this->Later(milliseconds{told_after + this->Draw(1000)}, [this, i] { this->ApplyNewest(i); });
  }
}

auto World::ApplyNewest(std::size_t index) -> void {
  auto& core = this->balancers[index].core;
  if (core.routes->version == this->version) return;
  ApplyRoutes(core, RoutesTo(this->version, this->service), this->now);
  core.outdated = false;
}

// The target announces that it drains, keeps its flows for a while, leaves and ends. Another
// target, sometimes of another service, replaces it.
auto World::Drain(std::size_t index) -> void {
  auto& site = this->agents[index];
  if (!site.up || !site.target.alive || site.target.draining) return;
  site.target.draining = true;
  this->Heartbeat(site);
  const auto incarnation = site.target.incarnation;
  const auto id = site.target.id;
  this->Later(milliseconds{500 + this->Draw(3000)}, [this, index, incarnation, id] {
    auto& leaving = this->agents[index];
    if (leaving.target.incarnation != incarnation || !leaving.target.alive) return;
    if (leaving.up && TakeLeave(leaving.core, id, this->now)) {
      this->Record(leaving.core.own, std::nullopt);
    }
    this->Later(milliseconds{5 + this->Draw(100)}, [this, index, incarnation] {
      auto& gone = this->agents[index];
      if (gone.target.incarnation != incarnation) return;
      gone.target.alive = false;
      if (this->options.notices_ends) this->NoticeEnd(index);
      if (this->options.same_id) this->SpeakLate(index, true);
      const auto service = this->Draw(4) == 0 ? this->OtherService() : kDesk;
      this->Later(milliseconds{200 + this->Draw(1500)},
                  [this, index, service] { this->StartTarget(index, service); });
    });
  });
}

auto World::Crash(std::size_t index) -> void {
  auto& site = this->agents[index];
  if (!site.target.alive) return;
  site.target.alive = false;
  if (this->options.notices_ends) this->NoticeEnd(index);
  if (this->options.same_id) this->SpeakLate(index, false);
  const auto service = site.target.service;
  this->Later(milliseconds{200 + this->Draw(1500)},
              [this, index, service] { this->StartTarget(index, service); });
}

// The agent's connection to the target ends, and the target's port refuses the next one.
auto World::NoticeEnd(std::size_t index) -> void {
  const auto ended_at = this->now;
  this->Later(kNoticedWithin, [this, index, ended_at] {
    auto& site = this->agents[index];
    const auto ran = site.up && site.core.started_at <= ended_at;
    if (ran && TakeRefusal(site.core, this->now, this->now)) this->ReportToAll(site);
  });
}

auto World::PauseOne() -> void {
  const auto until = this->now + milliseconds{50 + this->Draw(2000)};
  auto& pause = this->Draw(2) == 0 ? this->agents[this->Draw(this->agents.size())].pause
                                   : this->balancers[this->Draw(this->balancers.size())].pause;
  pause.until = std::max(pause.until, until);
}

// At least one balancer reads the change; agents tell the others.
auto World::DrainDomain() -> void {
  const auto domain = static_cast<DomainTag>(1 + this->Draw(kDomains));
  auto domains = this->drained.domains;
  const auto drain = std::erase(domains, domain) == 0;
  if (drain) domains.push_back(domain);
  if (drain) this->drained_at[domain] = this->now;
  if (!drain) this->drained_at.erase(domain);
  this->drained = DrainedOf(this->drained.revision + 1, std::move(domains));
  const auto readers = 1 + this->Draw(this->balancers.size());
  for (auto i = std::size_t{0}; i < readers; ++i) {
    const auto index = (domain + i) % this->balancers.size();
    this->Later(milliseconds{10 + this->Draw(2000)}, [this, index, read = this->drained] {
      this->WhenAwake(this->balancers[index].pause,
                      [this, index, read] { TakeDrained(this->balancers[index].core.view, read); });
    });
  }
}

// Returns whether an opening at the site violates the operator's drain. Processes that started or
// were paused a moment ago may not know of the drain yet.
auto World::IsLongDrained(const AgentSite& site) const -> bool {
  const auto entry = this->drained_at.find(site.core.domain);
  if (entry == this->drained_at.end()) return false;
  const auto runs_since = std::max(site.core.started_at, site.core.stall.running_since);
  return this->now - std::max(entry->second, runs_since) > kDrainWithin;
}

auto World::StartTarget(std::size_t index, base::ServiceId service) -> void {
  auto& site = this->agents[index];
  if (site.target.alive && site.target.incarnation != 0) return;
  site.target = Target{};
  site.target.incarnation = ++this->incarnations;
  site.target.id = this->options.same_id ? index + 1 : site.target.incarnation;
  site.target.service = service;
  if (this->options.kills) site.target.heartbeats = ~std::uint64_t{0};  // the next one is 0
  if (site.core.service == service) return;
  ChangeService(site.core, service, this->now);  // the agent's settings name the new service
}

// A heartbeat and the leave of a target arrive up to four seconds after its end, possibly after its
// next start has been heard of.
auto World::SpeakLate(std::size_t index, bool leave) -> void {
  const auto& target = this->agents[index].target;
  const auto heartbeat = this->MakeHeartbeat(target, target.heartbeats + 1);
  this->Later(milliseconds{this->Draw(4000)}, [this, index, heartbeat, leave] {
    auto& site = this->agents[index];
    if (!site.up) return;
    TakeHeartbeat(site.core, heartbeat, this->now);
    if (leave) TakeLeave(site.core, heartbeat.incarnation.id, this->now);
  });
}

}  // namespace anvildrum::packets::tests
