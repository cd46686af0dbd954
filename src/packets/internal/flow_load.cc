#include "packets/internal/flow_load.h"

#include <algorithm>
#include <tuple>
#include <utility>

#include "packets/internal/agent_routes.h"
#include "packets/internal/request_outcome.h"

namespace anvildrum::packets {
namespace {

auto LoadOf(const Agent& agent) -> admission::TargetLoad {
  return {.in_flight = agent.at_work, .slots = std::max<std::uint32_t>(agent.target.last.slots, 1)};
}

// Whether the flow causes no load and is kept only to recognize its client's last packets.
auto IsOver(const FlowState& flow) -> bool {
  return flow.stage == FlowStage::kEnded || flow.stage == FlowStage::kNotHeld;
}

// Records that the target has sent its last data. The state tells new requests from packets that
// the client retransmits until it closes the flow, and from its final acknowledgement, which the
// target returns.
auto EndFlow(Agent& agent, FlowState& flow) -> void {
  SetAtWork(agent, flow, false);
  if (!IsOver(flow)) ++agent.ended;
  flow.stage = FlowStage::kEnded;
}

// Whether the packet carries data that has not been delivered before.
//
// Safeguard: a client retransmits a request whose answer is late or lost, and the copy may arrive
// after the answer was sent. The target acknowledges it without data, so it would count as load
// without end: six such copies blocked an idle target of three slots for 16 s.
auto IsNewData(const FlowState& flow, const Packet& packet) -> bool {
  if (packet.payload == 0 || flow.stage == FlowStage::kEnded) return false;
  const auto end = packet.sequence + packet.payload;
  return !flow.request_end || static_cast<std::int32_t>(end - *flow.request_end) > 0;
}

// Returns the time since the last packet of the request in progress and marks it as answered.
// The class is looked up only then, since most packets of an answer are not its first.
auto TakeAnswer(Agent& agent, FlowState& flow, const End& route, base::TimePoint now)
    -> std::optional<base::Duration> {
  if (flow.asked_at == base::TimePoint{}) return std::nullopt;
  agent.answered = std::max(agent.answered, flow.asked_at);
  const auto taken = now - std::exchange(flow.asked_at, {});
  admission::RecordAnswer(agent.admission, ClassOf(agent, route), taken, flow.answer.ahead,
                          LoadOf(agent).slots, now);
  return taken;
}

// Openings per second for a cold target until a balancer reports the rate of its service. It is
// lower than the rate of any service that has one configured.
constexpr auto kDefaultColdRate = std::uint32_t{4};

// Resets all load counters.
auto ClearLoad(Agent& agent) -> void {
  agent.overflowed = false;
  agent.offered.clear();
  agent.at_work = 0;
  agent.quiet_work = 0;
  agent.ended = 0;
}

auto IdleTimeoutOf(const AgentPolicy& policy, FlowStage stage) -> base::Duration {
  switch (stage) {
    case FlowStage::kOpen:
      return policy.flow_age;
    case FlowStage::kEnded:
    case FlowStage::kNotHeld:
      return policy.ended_idle;
    default:
      return policy.flow_idle;
  }
}

// Safeguard: after a restart of all agents, each packet counts as load of its target. If packets
// that a target returned are lost, such requests take up all capacity, and openings are refused
// while targets are idle.
//
// Safeguard: a client may give up before its whole request has arrived. The target acknowledges the
// part and waits, with its slots free. If such requests counted as load until the flow's idle
// time-out, they would block an idle target.
auto IsWorkAbandoned(const Agent& agent, const FlowState& flow, base::TimePoint now) -> bool {
  const auto& policy = agent.policy;
  const auto quiet_for = now - flow.seen;
  const auto assumed = flow.stage == FlowStage::kAssumed;
  if (quiet_for > (assumed ? policy.reaction_timeout : policy.flow_idle)) return true;
  const auto overtaken = agent.answered - flow.seen > policy.overtaken_timeout;
  return quiet_for > policy.overtaken_timeout && overtaken;
}

// Whether to admit a trial opening because silent requests, which may be abandoned, take up the
// capacity.
auto MayAdmitTrial(Agent& agent, double limit, base::TimePoint now) -> bool {
  const auto busy = agent.at_work - std::min(agent.quiet_work, agent.at_work);
  if (agent.quiet_work == 0 || busy >= limit) return false;
  if (now - agent.trial_at < agent.policy.trial_interval) return false;
  agent.trial_at = now;
  return true;
}

auto CountVerdict(Agent& agent, const admission::Candidate& candidate, admission::Limit limit,
                  const admission::TargetLoad& load, base::TimePoint now) -> void {
  auto& counters = agent.counters.shortage;
  if (limit != admission::Limit::kNone) {
    ++counters.turned_away.at(static_cast<std::size_t>(limit));
    return;
  }
  if (admission::GoesFirst(agent.admission, candidate, load, now)) ++counters.admitted_urgent_first;
}

// A packet that was delivered to find out whether the target holds its flow shows nothing about the
// route.
auto NoteRouteOf(Agent& agent, const FlowId& flow, const FlowState& state, base::TimePoint now)
    -> void {
  if (state.stage == FlowStage::kAssumed) return;
  if (NoteRoute(agent.recent_routes, flow.service, agent.policy.flow_age, now)) {
    agent.routes_added = true;
  }
}

}  // namespace

auto ColdLimit(const Agent& agent, base::TimePoint now) -> std::uint32_t {
  return IsCold(agent, now) ? agent.cold_per_second.value_or(kDefaultColdRate) : 0;
}

auto SetAtWork(Agent& agent, FlowState& flow, bool at_work) -> void {
  if (flow.at_work == at_work) return;
  flow.at_work = at_work;
  agent.at_work += at_work ? 1 : -1;
}

auto Erase(Agent& agent, const FlowId& flow) -> void {
  const auto entry = agent.flows.find(flow);
  if (entry == agent.flows.end()) return;
  SetAtWork(agent, entry->second, false);
  if (IsOver(entry->second)) --agent.ended;
  agent.flows.erase(entry);
}

// Safeguard: if two targets answer an opening, or its client is gone, a target holds the flow half
// open for seconds. Counted as load, such flows fill the limit of idle targets: during a burst of
// copies, 0.7 of the openings were refused while half of the slots were free.
auto ExpireOffers(Agent& agent, base::TimePoint now) -> void {
  while (!agent.offered.empty()) {
    const auto& oldest = agent.offered.front();
    if (now - oldest.at < agent.policy.offer_timeout) return;
    const auto entry = agent.flows.find(oldest.flow);
    const auto waits = entry != agent.flows.end() && (entry->second.stage == FlowStage::kOffered ||
                                                      entry->second.stage == FlowStage::kAnswered);
    if (waits) NoteUnansweredOpening(agent, oldest.flow, entry->second, now);
    if (waits) SetAtWork(agent, entry->second, false);
    agent.offered.pop_front();
  }
}

auto CandidateOf(const Agent& agent, const Packet& packet) -> admission::Candidate {
  return {.request = ClassOf(agent, packet.destination), .copies = packet.acknowledged};
}

// Safeguard: under overload, a queue at the target delays all requests: after an outage, all
// requests of several seconds were answered, but too late. An opening that cannot be served in time
// goes to a target with capacity or is refused at once.
auto CapacityLimit(Agent& agent, const Packet& packet, base::TimePoint now) -> admission::Limit {
  const auto cold_limit = ColdLimit(agent, now);
  if (cold_limit != 0 && !MayAdmitCold(agent.target.cold_allowance, cold_limit, now)) {
    ++agent.counters.over_cold;
    return admission::Limit::kSlots;
  }
  const auto load = LoadOf(agent);
  auto candidate = CandidateOf(agent, packet);
  candidate.over_share = agent.admission.policy.fair_callers &&
                         admission::IsOverShare(agent.callers, packet.source.address, now);
  if (candidate.request.known && packet.stamp.hops == 0) {
    admission::NoteOpening(agent.priorities, candidate.request.priority, now);
  }
  auto& controller = agent.admission;
  std::tie(controller.most_urgent, controller.least_urgent) =
      admission::RangeOf(agent.priorities, now);
  const auto was_short = admission::IsShort(agent.admission, now);
  const auto limit = admission::Decide(agent.admission, candidate, load, now);
  if (!was_short && admission::IsShort(agent.admission, now)) ++agent.counters.shortage.shortages;
  const auto trial_limit = agent.admission.policy.opening_limit * load.slots;
  const auto trial = limit != admission::Limit::kNone && packet.acknowledged == 0 &&
                     MayAdmitTrial(agent, trial_limit, now);
  if (trial) return admission::Limit::kNone;
  CountVerdict(agent, candidate, limit, load, now);
  return limit;
}

auto CountFromClient(Agent& agent, const Packet& packet, base::TimePoint now) -> void {
  const auto flow = FlowFromClient(packet);
  const auto cold_limit = IsOpening(packet) ? ColdLimit(agent, now) : 0;
  if (cold_limit != 0) CountColdOpening(agent.target.cold_allowance, cold_limit, now);
  if (packet.reset) NoteClientReset(agent, flow, now);
  if (packet.reset) return Erase(agent, flow);
  auto entry = agent.flows.find(flow);
  if (entry != agent.flows.end() && entry->second.stage == FlowStage::kNotHeld) {
    Erase(agent, flow);
    entry = agent.flows.end();
  }
  if (entry == agent.flows.end()) {
    const auto empty = !IsOpening(packet) && packet.payload == 0;
    if (empty) return;
    if (agent.flows.size() >= agent.policy.max_flows) {
      agent.overflowed = true;
      return;
    }
    entry = agent.flows.emplace(flow, FlowState{}).first;
    SetAtWork(agent, entry->second, true);
    if (IsOpening(packet)) {
      agent.offered.push_back({flow, now});
    } else {
      entry->second.stage = FlowStage::kAssumed;
    }
  }
  if (entry->second.stage == FlowStage::kAssumed) ++entry->second.unanswered;
  if (IsNewData(entry->second, packet)) {
    NoteRequest(agent, flow, entry->second, now);
    if (agent.admission.policy.fair_callers) {
      admission::CountUse(agent.callers, packet.source.address, now);
    }
    SetAtWork(agent, entry->second, true);
    entry->second.asked_at = now;
    entry->second.request_end = packet.sequence + packet.payload;
  }
  entry->second.seen = now;
  entry->second.origin = packet.stamp.origin;
  NoteRouteOf(agent, flow, entry->second, now);
}

auto CountFromTarget(Agent& agent, const Packet& packet, base::TimePoint now)
    -> std::optional<base::Duration> {
  auto entry = agent.flows.find(FlowFromTarget(packet));
  if (entry == agent.flows.end()) {
    if (packet.payload == 0 || agent.flows.size() >= agent.policy.max_flows) return std::nullopt;
    entry = agent.flows.emplace(FlowFromTarget(packet), FlowState{.stage = FlowStage::kOpen}).first;
  }
  auto& flow = entry->second;
  const auto answered =
      packet.payload != 0 ? TakeAnswer(agent, flow, packet.source, now) : std::nullopt;
  NoteFromTarget(agent, entry->first, flow, packet, answered, now);
  if (packet.reset) {
    Erase(agent, entry->first);
    return answered;
  }
  if (packet.synchronize && flow.stage == FlowStage::kOffered) {
    flow.stage = FlowStage::kAnswered;
    flow.target_sequence = packet.sequence;
  }
  // The target holds the flow. Whether it processes a request is unknown, since it acknowledges a
  // retransmitted request and a part of a request in the same way.
  if (!packet.synchronize && flow.stage == FlowStage::kAssumed) {
    flow.stage = FlowStage::kOpen;
    SetAtWork(agent, flow, false);
  }
  if (packet.payload != 0) SetAtWork(agent, flow, false);
  flow.seen = now;
  if (packet.finish) EndFlow(agent, flow);
  return answered;
}

auto MarkNotHeld(Agent& agent, const FlowId& id, base::TimePoint now) -> void {
  Erase(agent, id);
  if (agent.flows.size() >= agent.policy.max_flows) return;
  auto& flow = agent.flows[id];
  flow.stage = FlowStage::kNotHeld;
  flow.seen = now;
  ++agent.ended;
}

auto SummarizeWork(const Agent& agent) -> WorkSummary {
  auto summary = WorkSummary{};
  for (const auto& [flow, state] : agent.flows) {
    if (!state.at_work) continue;
    switch (state.stage) {
      case FlowStage::kOffered:
      case FlowStage::kAnswered:
        ++summary.offered;
        break;
      case FlowStage::kAssumed:
        ++summary.assumed;
        break;
      default:
        ++summary.open;
    }
    if (state.unanswered != 0) ++summary.repeated;
  }
  return summary;
}

auto MarkFlowsUncertain(Agent& agent, base::TimePoint started) -> void {
  std::erase_if(agent.flows, [&](const auto& entry) { return entry.second.seen < started; });
  for (auto& [flow, state] : agent.flows) {
    auto doubtful = FlowState{};
    doubtful.stage = FlowStage::kAssumed;
    doubtful.origin = state.origin;
    doubtful.seen = state.seen;
    state = doubtful;
  }
  ClearLoad(agent);
}

auto ForgetFlows(Agent& agent) -> void {
  agent.flows.clear();
  ClearLoad(agent);
}

auto DropIdleState(Agent& agent, base::TimePoint now) -> void {
  auto quiet = std::vector<FlowId>{};
  agent.quiet_work = 0;
  for (auto& [flow, state] : agent.flows) {
    NoteSilence(agent, flow, state, now);
    if (state.at_work && IsWorkAbandoned(agent, state, now)) SetAtWork(agent, state, false);
    if (state.at_work && now - state.seen > agent.policy.overtaken_timeout) ++agent.quiet_work;
    if (now - state.seen > IdleTimeoutOf(agent.policy, state.stage)) {
      NoteEndOfFlow(agent, flow, state, now);
      quiet.push_back(flow);
    }
  }
  for (const auto& flow : quiet) Erase(agent, flow);
  std::erase_if(agent.balancers, [&](const auto& entry) {
    const auto& hello = entry.second;
    return now - hello.at > std::max(agent.policy.balancer_timeout, kReportsMissed * hello.every);
  });
  DropExpiredRoutes(agent, now);
}

}  // namespace anvildrum::packets
