#include <algorithm>

#include "packets/agent.h"
#include "packets/internal/agent_peers.h"
#include "packets/internal/agent_target.h"

namespace anvildrum::packets {
namespace {

// Between two times that the other agents are worked out for a question: all lists are sorted for
// it, and questions come by the hundred after a loss of power.
constexpr auto kMergeInterval = base::milliseconds{15};

enum class Holding : std::uint8_t { kNot, kUnsure, kHeld };

// Everything that the target gets comes by way of the agent beside it, so that an agent which has
// seen the target's first opening, or runs for longer than any flow is kept, knows all its flows.
//
// Safeguard: a target that crashed starts again and takes openings for up to a period before its
// first heartbeat. Its agent's process ended in that time, and the next one took the first
// heartbeat for the begin of all: a flow that the target held was reset. A balancer that knew the
// earlier process tells of it; after a loss of power there is none, and nothing to know.
auto KnowsFlows(const Agent& agent, base::TimePoint now) -> bool {
  if (StateOf(agent, now) == TargetState::kAbsent) return false;  // it leaves: flows are forgotten
  if (agent.overflowed) return false;
  const auto runs_for_long =
      agent.started_at != base::TimePoint{} && now - agent.started_at > agent.policy.flow_age;
  const auto first_heard = agent.target.seen_from_first_heartbeat && !agent.had_predecessor;
  return agent.target.seen_from_start || first_heard || runs_for_long;
}

// A target that answered an opening holds the flow half open, and the client may go on with it by
// any balancer. One whose client went on with another target is of no use to it.
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

auto AnswerQuery(Agent& agent, const FlowQuery& query, base::TimePoint now) -> FlowAnswer {
  const auto doubtful = NoteEvent(agent.stall, now);
  agent.counters.queried += query.flows.size();
  auto answer = FlowAnswer{};
  answer.agent = agent.own;
  answer.service = agent.service;
  answer.token = query.token;
  // A target of another service holds none of these flows; that of the earlier one has ended.
  if (query.service != agent.service) return answer;
  // Between checks, while targets are replaced one after the other, a hello has almost always just
  // come: without looking at it now nothing would be proved for as long as that goes on.
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
