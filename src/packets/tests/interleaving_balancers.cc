// The balancers: hellos, packets of clients and searches.

#include <utility>

#include "base/overloaded.h"
#include "interleaving_world.h"
#include "packets/hello.h"
#include "packets/hello_schedule.h"

namespace anvildrum::packets::tests {
auto World::Hello(BalancerSite& balancer, Address own) -> void {
  auto& view = balancer.core.view;
  Forget(view, this->now);
  ForgetHints(balancer.core, this->now);
  const auto due = DueHellos(view, {}, balancer.core.stall.running_since, this->now);
  if (due.empty()) return;
  balancer.core.records_at = this->now;
  balancer.said = MakeHellos(balancer.core, this->now);
  // Elsewhere agents go by tags alone, so that the seeds keep their draws.
  for (auto& [service, said] : balancer.said) {
    said.brief.answers_route_queries = this->options.equal_tags;
    for (auto& part : said.listed) part.answers_route_queries = this->options.equal_tags;
  }
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

}  // namespace anvildrum::packets::tests
