// Targets that were lost without a drain. A request may have run there, and a late copy of it may
// arrive within the exchange lifetime. The next owner of the flow must not run that copy.
#include <algorithm>

#include "agent/internal/parts.h"
#include "wire/convert.h"

namespace anvildrum::agent {
namespace {

using membership::Target;
using steering::Candidate;
using steering::CandidateSet;

auto CandidateOf(const Target& target) -> Candidate {
  auto candidate = Candidate{};
  candidate.target = target.record.id;
  candidate.weight = target.weight;
  candidate.failure_domain = base::HashName(target.record.failure_domain);
  return candidate;
}

auto AddLost(Context& context, const Candidate& candidate) -> void {
  auto& lost = context.agent.lost;
  std::erase_if(lost, [&](const auto& one) { return one.candidate.target == candidate.target; });
  lost.push_back({candidate, context.now + context.agent.policy.lost_target_ttl});
}

// The directory removes these flows when the view changes.
auto AddLostFlowsOf(Context& context, const steering::TargetRef& owner) -> void {
  auto& agent = context.agent;
  auto until = context.now + agent.policy.lost_target_ttl;
  for (const auto& [flow, known] : agent.directory.known) {
    if (known.owner != owner) continue;
    if (agent.lost_flows.size() >= agent.policy.max_ended_flows) return;
    agent.lost_flows[flow] = until;
  }
}

auto FindCandidate(CandidateSet& set, base::TargetId target) -> Candidate* {
  auto found = std::ranges::find(set.candidates, target, &Candidate::target);
  return found == set.candidates.end() ? nullptr : &*found;
}

// Returns the candidates as they were before the losses.
auto WithLost(const Agent& agent) -> CandidateSet {
  auto set = agent.directory.candidates;
  for (const auto& lost : agent.lost) {
    set.equal_weights = set.equal_weights && lost.candidate.weight == 1.0;
    auto* present = FindCandidate(set, lost.candidate.target);
    if (present == nullptr) {
      set.candidates.push_back(lost.candidate);
    } else {
      present->placeable = true;
    }
  }
  return set;
}

// Called before anything is served here, since the first event of an agent is its own record.
auto RecordPredecessor(Context& context) -> void {
  auto& agent = context.agent;
  if (!agent.predecessor_lost) return;
  agent.predecessor_lost = false;
  auto self = Candidate{};
  self.target = agent.record.id;
  self.failure_domain = base::HashName(agent.record.failure_domain);
  AddLost(context, self);
}

auto IsLost(const Agent& agent, base::TargetId target) -> bool {
  return std::ranges::any_of(agent.lost,
                             [&](const auto& lost) { return lost.candidate.target == target; });
}

auto IsAdoptedIn(const Agent& agent, const CandidateSet& set, const base::FlowKey& flow) -> bool {
  if (agent.lost_flows.contains(flow)) return true;
  auto index = steering::FindFirstHome(set, base::HashFlow(flow));
  return index != steering::kNone && IsLost(agent, set.candidates[index].target);
}

auto AnyPendingIsAdopted(const Agent& agent) -> bool {
  if (agent.directory.pending.empty()) return false;
  auto set = WithLost(agent);
  return std::ranges::any_of(agent.directory.pending, [&](const auto& entry) {
    return IsAdoptedIn(agent, set, entry.first);
  });
}

// Returns the flow that the message may open here.
auto FlowOpenedBy(const Agent& agent, const wire::pb::TunnelHeader& header)
    -> std::optional<base::FlowKey> {
  if (!header.has_packet() && !header.has_owner_answer()) return std::nullopt;
  const auto& message = header.has_packet() ? header.packet().flow() : header.owner_answer().flow();
  auto flow = wire::ReadFlow(message);
  if (!flow || agent.directory.owned.contains(*flow)) return std::nullopt;
  return *flow;
}

}  // namespace

auto RecordLost(Context& context, const Target& target) -> void {
  if (target.draining || target.record.service != context.agent.record.service) return;
  AddLost(context, CandidateOf(target));
  AddLostFlowsOf(context, {target.record.id, target.record.incarnation});
}

auto RecordReplaced(Context& context, const membership::TargetRecord& record) -> void {
  RecordPredecessor(context);
  const auto* known = membership::FindTarget(context.agent.view, record.id);
  if (known == nullptr || record.incarnation == known->record.incarnation) return;
  if (record.revision < known->record.revision) return;
  RecordLost(context, *known);
}

auto RecordRemoved(Context& context, const TargetRecordRemoved& event) -> void {
  const auto* known = membership::FindTarget(context.agent.view, event.id);
  if (known == nullptr || known->record.incarnation != event.incarnation) return;
  RecordLost(context, *known);
}

auto ExpireLost(Context& context) -> void {
  auto& agent = context.agent;
  auto over = [&](const auto& entry) { return entry.second <= context.now; };
  std::erase_if(agent.lost, [&](const auto& lost) { return lost.until <= context.now; });
  if (!agent.lost_flows.empty()) std::erase_if(agent.lost_flows, over);
  if (!agent.ended_flows.empty()) std::erase_if(agent.ended_flows, over);
}

auto IsAdopted(const Agent& agent, const base::FlowKey& flow) -> bool {
  if (agent.lost.empty()) return false;
  return IsAdoptedIn(agent, WithLost(agent), flow);
}

auto MayOpenAdopted(const Agent& agent, const steering::DirectoryEvent& event) -> bool {
  if (agent.lost.empty()) return false;
  if (std::holds_alternative<steering::DirectoryTimer>(event)) return AnyPendingIsAdopted(agent);
  const auto* arrived = std::get_if<steering::TunnelArrived>(&event);
  if (arrived == nullptr) return false;
  auto flow = FlowOpenedBy(agent, *arrived->header);
  return flow && IsAdopted(agent, *flow);
}

}  // namespace anvildrum::agent
