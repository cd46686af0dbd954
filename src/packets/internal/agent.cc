#include "packets/agent.h"

#include <algorithm>
#include <optional>

#include "packets/internal/agent_peers.h"
#include "packets/internal/agent_target.h"
#include "packets/internal/flow_load.h"
#include "packets/order.h"

namespace anvildrum::packets {
namespace {

auto TakesOpenings(const Agent& agent, base::TimePoint now) -> bool {
  return StateOf(agent, now) == TargetState::kReady && !agent.stopping;
}

// Why it is not proven that no target holds the packet's flow, after its last agent; nothing where
// it is.
auto DoubtOf(const Agent& agent, const Packet& packet, base::TimePoint now)
    -> std::optional<DiscardReason> {
  if (!packet.stamp.refusable) return DiscardReason::kMayBeHeld;
  if (packet.payload == 0 && !packet.finish) return DiscardReason::kNoData;
  const auto whole_round = packet.stamp.hops >= OthersOf(agent);
  if (!whole_round || !SameRound(agent, packet.stamp, now)) return DiscardReason::kUnsettled;
  if (!KnowsAll(agent, now)) return DiscardReason::kSomeAway;
  return std::nullopt;
}

auto NoneLeft(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict {
  ++agent.counters.none_left;
  if (IsOpening(packet)) {
    if (!packet.stamp.refusable) return Discard{DiscardReason::kMayBeOpen};
    ++agent.counters.refused;
    return RefuseOpening{DiscardReason::kNoneTook};
  }
  const auto doubt = DoubtOf(agent, packet, now);
  if (doubt) return Discard{*doubt};
  ++agent.counters.resets;
  return ResetFlow{};
}

// To the next agent in the flow's order. The stamp counts the agents that the packet has seen, so
// that it ends after one round whatever each of them believes of the others.
auto PassOn(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict {
  const auto flow = FlowFromClient(packet);
  const auto others = OthersOf(agent);
  const auto most = IsOpening(packet) ? agent.policy.opening_hops : kMaxHops;
  if (packet.stamp.hops >= std::min<std::size_t>(others, most)) return NoneLeft(agent, packet, now);
  const auto own = Place{agent.own, agent.domain};
  const auto next = IsOpening(packet) ? NextAnywhere(flow, agent.peers, own)
                                      : NextInOrder(flow, agent.peers, own);
  if (next == 0) return NoneLeft(agent, packet, now);
  ++agent.counters.passed_on;
  auto stamp = packet.stamp;
  if (!IsOpening(packet) && !SameRound(agent, stamp, now)) stamp.refusable = false;
  stamp.peers_digest = agent.peers_digest;
  ++stamp.hops;
  return ForwardToAgent{next, stamp};
}

auto NotRefusable(Packet packet) -> Packet {
  packet.stamp.refusable = false;
  return packet;
}

// After a stall nothing is refused or reset: what came during it is old, and so is what balancers
// said last. A flow's packet that waited 0.7 s in its last agent's socket had missed an agent that
// came back meanwhile.
auto WithoutStaleRefusal(Agent& agent, const Packet& packet, base::TimePoint now) -> Packet {
  return NoteEvent(agent.stall, now) ? NotRefusable(packet) : packet;
}

// Whether the flow is known to be held here and balancers have not been told lately.
auto TellsLocation(Agent& agent, const Packet& packet, base::TimePoint now) -> bool {
  const auto entry = agent.flows.find(FlowFromClient(packet));
  if (entry == agent.flows.end() || entry->second.stage != FlowStage::kOpen) return false;
  if (now - entry->second.told_at < agent.policy.tell_every) return false;
  entry->second.told_at = now;
  return true;
}

// An agent that was started again does not know whether its target holds a flow or holds it half
// open. A target that holds it reacts within some ten milliseconds, long before the client repeats
// a packet; where it has not, every other packet goes on to the others, one of whom may hold it.
auto TurnsToOthers(FlowState& flow) -> bool {
  if (flow.unanswered % 2 == 0) return false;
  ++flow.unanswered;
  return true;
}

// Whether the client went on with another target's answer to its opening.
//
// Safeguard: copies of an opening go to different targets, both answer, and the client goes on with
// one of them. The other holds the flow half open: it neither serves its packets nor gives them
// back, and the flow would be silent for good at a balancer that sends them there. Until the target
// has sent data of its own, a packet that is meant for it acknowledges exactly its answer.
auto OpenedElsewhere(Agent& agent, const Packet& packet) -> bool {
  const auto entry = agent.flows.find(FlowFromClient(packet));
  if (entry == agent.flows.end() || IsOpening(packet)) return false;
  auto& flow = entry->second;
  if (flow.stage == FlowStage::kAnswered) {
    const auto ours = packet.acknowledged - flow.target_sequence <= 1;
    flow.stage = ours ? FlowStage::kOpen : FlowStage::kElsewhere;
  }
  if (flow.stage == FlowStage::kAssumed) return TurnsToOthers(flow);
  if (flow.stage != FlowStage::kElsewhere) return false;
  SetAtWork(agent, flow, false);
  ++agent.counters.elsewhere;
  return true;
}

}  // namespace

// Safeguard: an address is used again by another service while a balancer still has the old record;
// the packet would be run by a service that it was not meant for. The stamp names the service that
// the balancer chose, and only the agent's own service is delivered.
auto FromPeer(Agent& agent, const Packet& received, base::TimePoint now) -> AgentVerdict {
  const auto packet = WithoutStaleRefusal(agent, received, now);
  if (packet.stamp.service_tag != TagOf(agent.service)) {
    ++agent.counters.wrong_service;
    return Discard{DiscardReason::kWrongService};
  }
  // A draining target would still take an opening. Passing it on here keeps the promise without
  // any balancer having heard of it.
  if (IsOpening(packet) && !TakesOpenings(agent, now)) return PassOn(agent, packet, now);
  ExpireOffers(agent, now);
  if (IsOpening(packet) && !HasPlace(agent, packet)) {
    ++agent.counters.over_limit;
    return PassOn(agent, packet, now);
  }
  if (!TakesPackets(agent, now)) return PassOn(agent, packet, now);
  if (OpenedElsewhere(agent, packet)) return PassOn(agent, NotRefusable(packet), now);
  CountFromClient(agent, packet, now);
  ++agent.counters.delivered;
  return DeliverToTarget{packet.stamp.hops != 0 && TellsLocation(agent, packet, now)};
}

auto FromTarget(Agent& agent, const Packet& received, base::TimePoint now) -> AgentVerdict {
  const auto packet = WithoutStaleRefusal(agent, received, now);
  if (packet.returned) {
    ++agent.counters.returned;
    Erase(agent, FlowFromClient(packet));
    return PassOn(agent, packet, now);
  }
  ++agent.counters.replies;
  return SendToClient{CountFromTarget(agent, packet, now)};
}

}  // namespace anvildrum::packets
