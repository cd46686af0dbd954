#include "packets/internal/agent_target.h"

#include <algorithm>

#include "packets/internal/agent_classes.h"
#include "packets/internal/agent_peers.h"
#include "packets/internal/agent_query.h"
#include "packets/internal/flow_load.h"
#include "packets/internal/incarnations.h"
#include "packets/internal/request_outcome.h"

namespace anvildrum::packets {
namespace {

// Time since the start or the end of the last stall; 0 before the first event.
auto RunTimeSinceStall(const Agent& agent, base::TimePoint now) -> base::Duration {
  const auto since = agent.stall.running_since;
  return since == base::TimePoint{} ? base::Duration{} : now - since;
}

// The earliest time at which the heartbeat's sender may have started, as computed from its sequence
// and the heartbeat period. The age is doubled, since heartbeats may be late.
auto StartedAtEarliest(const Agent& agent, const Heartbeat& heartbeat, base::TimePoint now)
    -> base::TimePoint {
  constexpr auto most = std::uint64_t{1'000'000};  // a week, and no overflow
  const auto count = static_cast<std::int64_t>(std::min(heartbeat.sequence, most) + 1);
  return now - 2 * count * agent.policy.heartbeat_every;
}

// Switches to the heartbeat's incarnation. Flows of the earlier incarnation are gone.
auto BeginIncarnation(Agent& agent, const Heartbeat& heartbeat, base::TimePoint now) -> void {
  auto& target = agent.target;
  const auto& next = heartbeat.incarnation;
  const auto before = target.last.incarnation;
  if (WasHeard(target)) Retire(target, before);
  if (IsFormerId(target, next.id)) target.restarted_at = now;
  Reinstate(target, next);
  if (WasHeard(target)) ForgetOutcomes(agent);
  if (WasHeard(target)) MarkFlowsUncertain(agent, StartedAtEarliest(agent, heartbeat, now));
}

// Whether the target started after this process, judged by the sequence of its heartbeat.
auto SeenFromStart(const Agent& agent, const Heartbeat& heartbeat, base::TimePoint now) -> bool {
  return now - RunTimeSinceStall(agent, now) < StartedAtEarliest(agent, heartbeat, now);
}

// Marks the target as gone. Its flows are kept as uncertain, since the notice may concern an
// earlier incarnation.
auto MarkTargetGone(Agent& agent, base::TimePoint left_at) -> void {
  auto& target = agent.target;
  target.state = TargetState::kAbsent;
  target.left_at = left_at;
  target.seen_from_start = false;
  target.new_when_heard = false;
  MarkFlowsUncertain(agent, {});
}

// Drops what admission has learned of a service. The policy and the seed of the hashes stay.
auto ForgetAdmission(Agent& agent) -> void {
  const auto policy = agent.admission.policy;
  const auto seed = agent.callers.seed;
  agent.admission = {};
  agent.admission.policy = policy;
  agent.callers = {};
  agent.callers.seed = seed;
  agent.priorities = {};
}

auto LeaveIsDoubtful(const Agent& agent, base::TimePoint now) -> bool {
  const auto started = std::max(agent.started_at, agent.target.restarted_at);
  return started != base::TimePoint{} && now - started < agent.policy.late_leave_window;
}

}  // namespace

// An agent that has just started does not know its target yet, but the target may be alive and hold
// flows. If their packets were withheld until the first heartbeat, they would reach no target.
auto TakesPackets(const Agent& agent, base::TimePoint now) -> bool {
  if (StateOf(agent, now) != TargetState::kAbsent) return true;
  return now - agent.target.left_at < agent.policy.leave_grace;
}

auto StateOf(const Agent& agent, base::TimePoint now) -> TargetState {
  const auto& target = agent.target;
  const auto spoke_at = target.leave_doubtful ? target.left_at : target.heard;
  const auto silent = now - spoke_at > agent.policy.silent_for;
  const auto present =
      target.state == TargetState::kReady || target.state == TargetState::kDraining;
  if (present && !silent) return target.state;
  if (target.state == TargetState::kAbsent) return target.state;
  if (present && !target.leave_doubtful) return TargetState::kUnknown;
  // The target was never heard, or not since a doubtful leave. The silence counts only while the
  // process ran. A doubtful heartbeat may still come from a live target.
  const auto said = target.doubtful && now - target.doubtful->heard <= agent.policy.silent_for;
  const auto waited = !said && RunTimeSinceStall(agent, now) > agent.policy.silent_for;
  return waited ? TargetState::kAbsent : TargetState::kUnknown;
}

auto IsPrepared(const Agent& agent) -> bool { return agent.drains_told && !AwaitsRecord(agent); }

// Safeguard: a stopping agent may return to a target that holds flows, and until then no flow of
// the service is reset. An agent whose target has already left is reported as absent at once. If
// balancers detected this only after seconds of silence, a service whose targets leave at one per
// second would have no flow reset during that time, and clients of flows lost in a power loss would
// wait until they give up. A target that has never been heard is also reported as absent, after a
// shorter time-out: an agent that was stopped 1.2 s after all machines had lost power delayed the
// resets for 3,000 packets of lost flows by five seconds.
auto ReportedState(const Agent& agent, base::TimePoint now) -> TargetState {
  const auto never_heard = !WasHeard(agent.target) && !agent.target.doubtful && agent.stopping &&
                           RunTimeSinceStall(agent, now) > agent.policy.never_heard_timeout;
  const auto has_left = never_heard || StateOf(agent, now) == TargetState::kAbsent;
  if (agent.stopping) return has_left ? TargetState::kAbsent : TargetState::kStopping;
  if (has_left && TakesPackets(agent, now)) return TargetState::kDraining;
  const auto state = StateOf(agent, now);
  const auto starts = state == TargetState::kReady && !IsPrepared(agent);
  return starts ? TargetState::kStarting : state;
}

auto TakeHeartbeat(Agent& agent, const Heartbeat& heartbeat, base::TimePoint now)
    -> HeartbeatOutcome {
  auto& target = agent.target;
  const auto claim = ClassifyHeartbeat(target, heartbeat);
  const auto stale = claim == HeartbeatClass::kDoubtful &&
                     !ConfirmHeartbeat(target, heartbeat, agent.policy.confirmation_interval, now);
  const auto other = heartbeat.service != agent.service;
  if (stale || other) {
    ++agent.counters.late_heartbeats;
    return stale ? HeartbeatOutcome::kStale : HeartbeatOutcome::kOtherService;
  }
  const auto first = !WasHeard(target) || claim != HeartbeatClass::kCurrent;
  if (first) {
    target.seen_from_start = SeenFromStart(agent, heartbeat, now);
    target.new_when_heard = heartbeat.sequence <= kNewTargetSequence;
    target.recorded = false;
    target.first_to_record = false;
  }
  const auto went_on = target.refused && heartbeat.incarnation == target.last.incarnation;
  if (went_on) target.ignore_refusals = true;
  target.refused = false;
  if (claim != HeartbeatClass::kCurrent) BeginIncarnation(agent, heartbeat, now);
  const auto before = StateOf(agent, now);
  target.state = heartbeat.draining ? TargetState::kDraining : TargetState::kReady;
  target.last = heartbeat;
  target.heard = now;
  target.doubtful.reset();
  target.leave_doubtful = false;
  target.cold_doubtful = false;
  const auto changed = claim != HeartbeatClass::kCurrent || target.state != before;
  return changed ? HeartbeatOutcome::kChanged : HeartbeatOutcome::kUnchanged;
}

auto NoteRecorded(Agent& agent, const Incarnation& incarnation, bool written) -> void {
  auto& target = agent.target;
  if (!WasHeard(target) || target.last.incarnation != incarnation) return;
  target.recorded = true;
  if (written) target.first_to_record = true;
}

auto AwaitsRecord(const Agent& agent) -> bool {
  const auto& target = agent.target;
  return !target.recorded && target.last.sequence <= kNewTargetSequence;
}

auto TakeLeave(Agent& agent, std::uint64_t id, base::TimePoint now) -> bool {
  auto& target = agent.target;
  const auto known = WasHeard(target) && target.last.incarnation.id == id;
  if (target.doubtful && target.doubtful->incarnation.id == id) target.doubtful.reset();
  if (known && target.state == TargetState::kAbsent) return false;
  if (known && LeaveIsDoubtful(agent, now)) {
    target.state = TargetState::kDraining;
    target.leave_doubtful = true;
    target.left_at = now;
    return true;
  }
  Retire(target, known ? target.last.incarnation : Incarnation{id, std::nullopt});
  if (!WasHeard(target) && LeaveIsDoubtful(agent, now)) {
    target.leave_doubtful = true;  // if no heartbeat follows, StateOf reports it as absent
    return true;
  }
  if (target.state != TargetState::kUnknown && !known) return false;
  if (target.state == TargetState::kAbsent) return false;
  MarkTargetGone(agent, now);
  return true;
}

auto TakeRefusal(Agent& agent, base::TimePoint attempted_at, base::TimePoint now) -> bool {
  auto& target = agent.target;
  const auto heard_since = WasHeard(target) && target.heard >= attempted_at;
  if (heard_since || target.state == TargetState::kDraining) return false;
  if (target.state == TargetState::kAbsent || target.ignore_refusals) return false;
  target.refused = WasHeard(target);
  if (WasHeard(target)) Retire(target, target.last.incarnation);
  MarkTargetGone(agent, now - agent.policy.leave_grace);
  return true;
}

auto ChangeService(Agent& agent, base::ServiceId service, base::TimePoint now) -> void {
  agent.service = service;
  agent.target = {};
  agent.target.restarted_at = now;  // messages of the earlier service's target may arrive late
  agent.balancers.clear();
  agent.wanted.reset();
  agent.route_classes = {};
  agent.confirmed_routes = {};
  agent.outcomes = {};
  agent.recent_routes = {};
  ForgetAdmission(agent);
  ForgetFlows(agent);
  MergePeers(agent, now);
}

auto IsCold(const Agent& agent, base::TimePoint now) -> bool {
  const auto& target = agent.target;
  return target.cold_doubtful || now < target.heard + base::milliseconds{target.last.cold_ms};
}

auto MakeReport(Agent& agent, Address balancer, base::TimePoint now) -> TargetReport {
  NoteEvent(agent.stall, now);  // after a stall, the pause must not count as silence
  ExpireOffers(agent, now);
  const auto& target = agent.target;
  const auto asks = agent.wanted && agent.wanted->balancer == balancer;
  const auto counts = outlier::CountsOf(agent.outcomes, now);
  return {.agent = agent.own,
          .service = agent.service,
          .start = agent.start,
          .sequence = ++agent.reports,
          .state = ReportedState(agent, now),
          .in_flight = agent.at_work,
          .held = static_cast<std::uint32_t>(agent.flows.size()) - agent.ended,
          .slots = target.last.slots,
          .cold = IsCold(agent, now),
          .wanted_list = asks ? agent.wanted->digest : 0,
          .domain = agent.domain,
          .drained = DrainedFor(agent, balancer),
          .wanted_classes = TakeRequestFor(agent, balancer),
          .answered = counts.answered,
          .failed = counts.failed,
          .service_time = outlier::MeanService(agent.outcomes, now),
          .routes = RoutesOf(agent, now)};
}

}  // namespace anvildrum::packets
