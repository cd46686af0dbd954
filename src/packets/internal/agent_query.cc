#include "packets/internal/agent_query.h"

#include <utility>

#include "packets/internal/agent_peers.h"
#include "packets/internal/agent_target.h"

namespace anvildrum::packets {
namespace {

// Minimum time between two merges of the peer lists for queries. Each merge sorts all lists, and
// hundreds of queries arrive after a power loss.
constexpr auto kMergeInterval = base::milliseconds{15};

enum class Holding : std::uint8_t { kNot, kUnsure, kHeld };

// A target that answered an opening holds the flow half open, and the client may continue with it
// through any balancer. Once the client has continued with another target, this one does not count
// as holding the flow.
auto HoldingOf(const Agent& agent, const FlowId& flow, bool knows_flows) -> Holding {
  const auto entry = agent.flows.find(flow);
  if (entry == agent.flows.end()) return knows_flows ? Holding::kNot : Holding::kUnsure;
  switch (entry->second.stage) {
    case FlowStage::kOpen:
    case FlowStage::kEnded:
      return Holding::kHeld;
    case FlowStage::kOpenElsewhere:
    case FlowStage::kNotHeld:
      return Holding::kNot;
    default:
      return Holding::kUnsure;
  }
}

}  // namespace

auto KnowsFlows(const Agent& agent, base::TimePoint now) -> bool {
  // The flows of a target that has left are uncertain.
  if (StateOf(agent, now) == TargetState::kAbsent) return false;
  if (agent.overflowed) return false;
  const auto runs_for_long =
      agent.started_at != base::TimePoint{} && now - agent.started_at > agent.policy.flow_age;
  const auto first_process =
      agent.target.new_when_heard && agent.target.first_to_record && !agent.had_predecessor;
  return agent.target.seen_from_start || first_process || runs_for_long;
}

auto RoutesOf(const Agent& agent, base::TimePoint now) -> RouteSet {
  if (!KnowsFlows(agent, now)) return kAllRoutes;
  return RoutesWithin(agent.recent_routes, agent.policy.flow_age, now);
}

auto TakeAddedRoutes(Agent& agent, base::TimePoint now) -> bool {
  return std::exchange(agent.routes_added, false) && KnowsFlows(agent, now);
}

auto AnswerQuery(Agent& agent, const FlowQuery& query, base::TimePoint now) -> FlowAnswer {
  const auto doubtful = NoteEvent(agent.stall, now);
  agent.counters.queried += query.flows.size();
  auto answer = FlowAnswer{};
  answer.agent = agent.own;
  answer.service = agent.service;
  answer.token = query.token;
  // A target of another service holds none of these flows, and the target of the earlier service
  // has ended.
  if (query.service != agent.service) return answer;
  // While targets are replaced one after the other, new hellos arrive between almost all stall
  // checks. Without a merge here, no flow could be confirmed as lost during that time.
  if (agent.peers_stale && now - agent.merged_at >= kMergeInterval) MergePeers(agent, now);
  answer.settled = !doubtful && HasSettled(agent, now) && KnowsAll(agent, now);
  answer.peers_digest = agent.peers_digest;
  if (!TakesPackets(agent, now)) return answer;
  const auto knows_flows = KnowsFlows(agent, now);
  for (auto place = std::uint32_t{0}; place < query.flows.size(); ++place) {
    const auto holding = HoldingOf(agent, query.flows[place], knows_flows);
    if (holding == Holding::kHeld) answer.held.push_back(place);
    if (holding == Holding::kUnsure) answer.unsure.push_back(place);
  }
  return answer;
}

}  // namespace anvildrum::packets
