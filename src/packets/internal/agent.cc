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
  const auto drained = IsDrained(agent.drained, agent.domain);
  return StateOf(agent, now) == TargetState::kReady && !agent.stopping && !drained;
}

// An agent of a drained domain refuses nothing while it may know only some of the others.
auto NoneLeft(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict {
  ++agent.counters.none_left;
  const auto drained = IsDrained(agent.drained, agent.domain);
  if (drained && !HasSettled(agent, now)) return Discard{DiscardReason::kDrained};
  if (!packet.stamp.refusable) return Discard{DiscardReason::kMayBeOpen};
  ++agent.counters.refused;
  return RefuseOpening{DiscardReason::kNotAccepted};
}

// An opening, to the next agent in its flow's order. The stamp counts the agents that it has seen,
// so that it ends after some of them whatever each believes of the others.
auto PassOn(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict {
  const auto others = OpenPeers(agent);
  const auto most = std::min<std::size_t>(others.size(), agent.policy.opening_hops);
  if (packet.stamp.hops >= most) return NoneLeft(agent, packet, now);
  const auto own = Place{agent.own, agent.domain};
  const auto next = NextAnywhere(FlowFromClient(packet), others, own);
  if (next == 0) return NoneLeft(agent, packet, now);
  ++agent.counters.passed_on;
  auto stamp = packet.stamp;
  ++stamp.hops;
  return ForwardToAgent{next, stamp};
}

// Whether the target has given the flow back a moment ago.
auto IsNotHere(const Agent& agent, const Packet& packet) -> bool {
  const auto entry = agent.flows.find(FlowFromClient(packet));
  return entry != agent.flows.end() && entry->second.stage == FlowStage::kNotHere;
}

auto Return(Agent& agent, bool by_target) -> AgentVerdict {
  ++agent.counters.given_back;
  return GiveBack{by_target};
}

// The target gave back a packet of a flow. The last acknowledgement of a flow that has ended in
// good order needs no search: its client is content.
auto ReturnOf(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict {
  const auto flow = FlowFromClient(packet);
  const auto entry = agent.flows.find(flow);
  const auto ended = entry != agent.flows.end() && entry->second.stage == FlowStage::kEnded;
  const auto bare = packet.payload == 0 && !packet.finish;
  if (ended && bare) return Discard{DiscardReason::kEnded};
  MarkNotHere(agent, flow, now);
  return Return(agent, true);
}

// After a stall nothing is refused: what came during it is old. An opening that waited may have
// been taken by another target since.
auto WithoutStaleRefusal(Agent& agent, const Packet& received, base::TimePoint now) -> Packet {
  auto packet = received;
  if (NoteEvent(agent.stall, now)) packet.stamp.refusable = false;
  return packet;
}

// An agent that was started again does not know whether its target holds a flow or holds it half
// open. A target that holds it reacts within some ten milliseconds, long before the client repeats
// a packet; where it has not, every other packet goes back to its balancer: another one may hold
// it.
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

// The balancer that is to be told where the flow is: the target answers for the first time on a
// flow that was taken for its own.
auto LocatedFor(const Agent& agent, const Packet& packet) -> std::optional<std::uint16_t> {
  const auto entry = agent.flows.find(FlowFromTarget(packet));
  if (entry == agent.flows.end() || entry->second.stage != FlowStage::kAssumed) return std::nullopt;
  if (packet.synchronize || packet.reset) return std::nullopt;
  return entry->second.origin;
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
  if (IsOpening(packet) && !HasPlace(agent, packet, now)) {
    ++agent.counters.over_limit;
    return PassOn(agent, packet, now);
  }
  if (!TakesPackets(agent, now)) return Return(agent, true);
  if (!IsOpening(packet) && IsNotHere(agent, packet)) return Return(agent, true);
  if (OpenedElsewhere(agent, packet)) return Return(agent, false);
  CountFromClient(agent, packet, now);
  ++agent.counters.delivered;
  return DeliverToTarget{IsOpening(packet) && packet.stamp.hops != 0};
}

auto FromTarget(Agent& agent, const Packet& received, base::TimePoint now) -> AgentVerdict {
  const auto packet = WithoutStaleRefusal(agent, received, now);
  if (packet.returned) {
    ++agent.counters.returned;
    if (!IsOpening(packet)) return ReturnOf(agent, packet, now);
    Erase(agent, FlowFromClient(packet));
    return PassOn(agent, packet, now);
  }
  ++agent.counters.replies;
  const auto located_for = LocatedFor(agent, packet);
  return SendToClient{CountFromTarget(agent, packet, now), located_for};
}

}  // namespace anvildrum::packets
