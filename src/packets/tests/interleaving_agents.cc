// The agents and the targets beside them.

#include <algorithm>
#include <utility>

#include "base/overloaded.h"
#include "interleaving_world.h"
#include "packets/flow_denials.h"
#include "packets/hello.h"
#include "packets/route_history.h"

namespace anvildrum::packets::tests {
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

auto World::ReportToAll(AgentSite& site) -> void {
  for (auto i = std::size_t{0}; i < this->balancers.size(); ++i) {
    const auto balancer = kFirstBalancer + static_cast<Address>(i);
    const auto known = i == 0 || site.core.balancers.contains(balancer);
    if (known || !this->options.kills) this->Report(site, balancer);
  }
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

auto World::SendBack(const AgentSite& agent, const Packet& packet, const ReturnToBalancer& back)
    -> void {
  for (const auto balancer : BalancersOf(agent.core, packet.stamp.origin)) {
    const auto index = balancer - kFirstBalancer;
    this->ToBalancerCore(index, [this, index, packet, back, own = agent.core.own](auto& core) {
      const auto by_target = back.by_target;
      if (back.denied) NoteDenial(core, FlowFromClient(packet), own, this->now);
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
      if (site->up) this->AtAgent(*site, packet);
    });
  });
}

auto World::AtAgent(AgentSite& site, const Packet& packet) -> void {
  const auto verdict = FromPeer(site.core, packet, this->now);
  if (const auto query = TakeRouteQuery(site.core)) this->AskRoute(site, *query, packet);
  // Without moved routes these reports change nothing, and the seeds keep their draws.
  const auto added = TakeAddedRoutes(site.core, this->now);
  if (added && this->options.moves) this->ReportToAll(site);
  if (std::holds_alternative<AwaitRoute>(verdict)) site.awaiting.push_back({packet, this->now});
  this->Act(site, packet, verdict);
}

auto World::AskRoute(AgentSite& site, const RouteQuery& query, const Packet& packet) -> void {
  for (auto i = std::size_t{0}; i < this->balancers.size(); ++i) {
    if (OriginTagOf(kFirstBalancer + static_cast<Address>(i)) != packet.stamp.origin) continue;
    this->ToBalancerCore(i, [this, query, own = site.core.own](Balancer& core) {
      const auto answer = AnswerRouteQuery(core, query, this->now);
      if (!answer) return;
      this->Carry([this, own, answer = *answer] {
        this->WhenAwake(this->SiteOf(own)->pause, [this, own, answer] {
          auto* site = this->SiteOf(own);
          if (site->up) this->TakeAnswerAboutRoute(*site, answer);
        });
      });
    });
  }
}

auto World::TakeAnswerAboutRoute(AgentSite& site, const RouteAnswer& answer) -> void {
  if (!TakeRouteAnswer(site.core, answer, this->now)) return;
  for (auto& [packet, since] : std::exchange(site.awaiting, {})) {
    if (this->now - since >= kMaxRouteWait) continue;
    if (IsOpening(packet)) packet.stamp.refusable = false;
    this->Act(site, packet, FromPeer(site.core, packet, this->now));
  }
}

auto World::Act(AgentSite& site, const Packet& packet, const AgentVerdict& verdict) -> void {
  std::visit(
      base::Overloaded{[&](const DeliverToTarget& deliver) {
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
                       [&](const ReturnToBalancer& back) { this->SendBack(site, packet, back); },
                       [](const AwaitRoute&) {}, [](const Discard&) {}},
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

}  // namespace anvildrum::packets::tests
