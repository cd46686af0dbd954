#include "packets/internal/agent_target.h"

#include "packets/internal/agent_peers.h"
#include "packets/internal/flow_load.h"

namespace anvildrum::packets {
namespace {

// What balancers are told of the target.
//
// Safeguard: an agent that ends may come back to a target that holds flows, and until it does no
// flow of the service is reset. One whose target has left before it has none to come back to. Told
// apart from the others only after seconds of silence, a service whose targets left one a second
// had no flow reset for all that time, and clients of flows lost in a loss of power waited until
// they gave up.
auto ReportedState(const Agent& agent, base::TimePoint now) -> TargetState {
  const auto has_left = StateOf(agent, now) == TargetState::kAbsent;
  if (agent.stopping) return has_left ? TargetState::kAbsent : TargetState::kStopping;
  if (has_left && TakesPackets(agent, now)) return TargetState::kDraining;
  return StateOf(agent, now);
}

}  // namespace

// An agent that has just started does not know its target yet, but the target may be alive and hold
// flows: withheld until its first heartbeat, their packets would go round all other agents.
auto TakesPackets(const Agent& agent, base::TimePoint now) -> bool {
  if (StateOf(agent, now) != TargetState::kAbsent) return true;
  return now - agent.target.left_at < agent.policy.leave_for;
}

auto StateOf(const Agent& agent, base::TimePoint now) -> TargetState {
  const auto& target = agent.target;
  const auto silent = now - target.heard > agent.policy.silent_for;
  const auto present =
      target.state == TargetState::kReady || target.state == TargetState::kDraining;
  if (present && silent) return TargetState::kUnknown;
  if (target.state != TargetState::kUnknown) return target.state;
  const auto& stall = agent.stall;
  const auto runs = stall.running_since != base::TimePoint{};
  const auto waited = runs && now - stall.running_since > agent.policy.silent_for;
  return waited ? TargetState::kAbsent : TargetState::kUnknown;
}

// A heartbeat of an incarnation that is gone may come late, after the next one has announced
// itself: it must neither bring a dead target back nor make a live one drain.
auto TakeHeartbeat(Agent& agent, const Heartbeat& heartbeat, base::TimePoint now)
    -> HeartbeatOutcome {
  auto& target = agent.target;
  const auto known = target.state == TargetState::kReady || target.state == TargetState::kDraining;
  const auto current = known && heartbeat.incarnation == target.last.incarnation;
  const auto stale = target.retired.contains(heartbeat.incarnation) ||
                     (current && heartbeat.sequence <= target.last.sequence);
  const auto other = heartbeat.service != agent.service;
  if (stale || other) {
    ++agent.counters.late_heartbeats;
    return stale ? HeartbeatOutcome::kStale : HeartbeatOutcome::kOtherService;
  }
  if (known && !current) {
    target.retired.insert(target.last.incarnation);
    ForgetFlows(agent);
  }
  const auto state = heartbeat.draining ? TargetState::kDraining : TargetState::kReady;
  const auto changed = !current || state != StateOf(agent, now);
  target.state = state;
  target.last = heartbeat;
  target.heard = now;
  return changed ? HeartbeatOutcome::kChanged : HeartbeatOutcome::kUnchanged;
}

auto TakeLeave(Agent& agent, std::uint64_t incarnation, base::TimePoint now) -> bool {
  auto& target = agent.target;
  target.retired.insert(incarnation);
  if (target.state != TargetState::kUnknown && target.last.incarnation != incarnation) return false;
  if (target.state == TargetState::kAbsent) return false;
  target.state = TargetState::kAbsent;
  target.left_at = now;
  ForgetFlows(agent);
  return true;
}

auto ChangeService(Agent& agent, base::ServiceId service, base::TimePoint now) -> void {
  agent.service = service;
  agent.target = {};
  agent.balancers.clear();
  ForgetFlows(agent);
  UnitePeers(agent, now);
}

auto MakeReport(Agent& agent, Address balancer, base::TimePoint now) -> TargetReport {
  NoteEvent(agent.stall, now);  // a process that wakes must not take its own pause for silence
  ExpireOffers(agent, now);
  const auto& target = agent.target;
  const auto told = agent.balancers.find(balancer);
  return {.agent = agent.own,
          .service = agent.service,
          .start = agent.start,
          .sequence = ++agent.reports,
          .state = ReportedState(agent, now),
          .in_flight = agent.at_work,
          .held = static_cast<std::uint32_t>(agent.flows.size()) - agent.ended,
          .slots = target.last.slots,
          .cold = target.last.cold_ms > 0,
          .hello_digest = told == agent.balancers.end() ? 0 : told->second.digest};
}

}  // namespace anvildrum::packets
