#include "packets/agent.h"

#include <algorithm>
#include <optional>

#include "packets/internal/agent_peers.h"
#include "packets/internal/agent_query.h"
#include "packets/internal/agent_routes.h"
#include "packets/internal/agent_target.h"
#include "packets/internal/flow_load.h"
#include "packets/internal/request_outcome.h"
#include "packets/order.h"

namespace anvildrum::packets {
namespace {

auto TakesOpenings(const Agent& agent, base::TimePoint now) -> bool {
  const auto drained = IsDrained(agent.drained, agent.domain);
  return StateOf(agent, now) == TargetState::kReady && !agent.stopping && !drained &&
         IsPrepared(agent);
}

// Whether the agent will soon take openings for its target.
auto WillTakeOpenings(const Agent& agent, base::TimePoint now) -> bool {
  return ReportedState(agent, now) == TargetState::kStarting;
}

// An agent in a drained domain refuses no opening while its list of other agents may be incomplete.
// An opening that its client's next copy may still bring in time is left to that copy.
auto RefuseOrDiscard(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict {
  ++agent.counters.none_left;
  const auto drained = IsDrained(agent.drained, agent.domain);
  if (drained && !HasSettled(agent, now)) return Discard{DiscardReason::kDrained};
  if (WillTakeOpenings(agent, now)) return Discard{DiscardReason::kStarting};
  if (!packet.stamp.refusable) return Discard{DiscardReason::kMayBeOpen};
  if (admission::AwaitsCopy(agent.admission, CandidateOf(agent, packet), now)) {
    ++agent.counters.shortage.left_to_copies;
    return Discard{DiscardReason::kAwaitsCopy};
  }
  ++agent.counters.refused;
  return RefuseOpening{DiscardReason::kNotAccepted};
}

// Forwards an opening to the next agent in its flow's order. The stamp counts the forwarding hops,
// which bounds their number even if the agents' peer lists differ.
auto PassOn(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict {
  const auto others = OpenPeers(agent);
  const auto hops = admission::MaxHops(agent.admission, CandidateOf(agent, packet),
                                       agent.policy.opening_hops, now);
  const auto most = std::min<std::size_t>(others.size(), hops);
  if (packet.stamp.hops >= most) return RefuseOrDiscard(agent, packet, now);
  const auto own = Place{agent.own, agent.domain};
  const auto next = NextAnywhere(FlowFromClient(packet), others, own);
  if (next == 0) return RefuseOrDiscard(agent, packet, now);
  ++agent.counters.passed_on;
  auto stamp = packet.stamp;
  ++stamp.hops;
  return ForwardToAgent{next, stamp};
}

// Whether the target has recently returned a packet of the flow.
auto IsNotHeld(const Agent& agent, const Packet& packet) -> bool {
  const auto entry = agent.flows.find(FlowFromClient(packet));
  return entry != agent.flows.end() && entry->second.stage == FlowStage::kNotHeld;
}

auto Return(Agent& agent, const ReturnToBalancer& back) -> AgentVerdict {
  ++agent.counters.given_back;
  return back;
}

// Handles a packet that the target returned. The final acknowledgement of a flow that ended
// normally needs no search, since its client expects no answer.
auto ReturnOf(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict {
  const auto flow = FlowFromClient(packet);
  const auto entry = agent.flows.find(flow);
  const auto ended = entry != agent.flows.end() && entry->second.stage == FlowStage::kEnded;
  const auto bare = packet.payload == 0 && !packet.finish;
  if (ended && bare) return Discard{DiscardReason::kEnded};
  MarkNotHeld(agent, flow, now);
  return Return(agent, {.by_target = true, .denied = true});
}

// Clears the refusable flag after a stall. Packets received during the stall are old, and another
// target may have accepted a delayed opening in the meantime.
auto WithoutStaleRefusal(Agent& agent, const Packet& received, base::TimePoint now) -> Packet {
  auto packet = received;
  if (NoteEvent(agent.stall, now)) packet.stamp.refusable = false;
  return packet;
}

// A restarted agent does not know whether its target holds a flow established or half open. A
// target with the established flow reacts within about 10 ms, long before the client retransmits.
// Without a reaction, every other packet is returned to its balancer, since another target may hold
// the flow.
auto ReturnsForSearch(FlowState& flow) -> bool {
  if (flow.unanswered % 2 == 0) return false;
  ++flow.unanswered;
  return true;
}

// Whether the packet is to be returned because the flow may be open at another target.
//
// Safeguard: copies of an opening may reach different targets. Both answer, and the client
// continues with one of them. The other target holds the flow half open: it neither serves nor
// returns its packets, so that a balancer that sends them there would hang the flow for good.
// Until this target has sent data, a packet meant for it acknowledges exactly its answer.
//
// Safeguard: an opening may arrive late, after the flow was opened here by a copy of it and the
// agent was restarted. The target answers it once more, and the client's next packet acknowledges
// more than that answer. An agent that does not know all flows of its target therefore leaves the
// decision to the target's reaction.
auto OpenedElsewhere(Agent& agent, const Packet& packet, base::TimePoint now) -> bool {
  const auto entry = agent.flows.find(FlowFromClient(packet));
  if (entry == agent.flows.end() || IsOpening(packet)) return false;
  auto& flow = entry->second;
  if (flow.stage == FlowStage::kAnswered) {
    const auto ours = packet.acknowledged - flow.target_sequence <= 1;
    const auto other = KnowsFlows(agent, now) ? FlowStage::kOpenElsewhere : FlowStage::kAssumed;
    flow.stage = ours ? FlowStage::kOpen : other;
    // A client that pauses says nothing about the round trip. Without the bound, one pause of ten
    // seconds would raise the mean by one, and each opening that waits would seem too late.
    const auto taken = std::min<base::Duration>(now - flow.seen, agent.policy.offer_timeout);
    if (ours) admission::RecordHandshake(agent.admission, taken, now);
  }
  if (flow.stage == FlowStage::kAssumed) return ReturnsForSearch(flow);
  if (flow.stage != FlowStage::kOpenElsewhere) return false;
  SetAtWork(agent, flow, false);
  ++agent.counters.elsewhere;
  return true;
}

// Returns the origin tag of the balancer to inform of the flow's location, if this is the target's
// first reaction on a flow in FlowStage::kAssumed.
auto LocatedFor(const Agent& agent, const Packet& packet) -> std::optional<std::uint16_t> {
  const auto entry = agent.flows.find(FlowFromTarget(packet));
  if (entry == agent.flows.end() || entry->second.stage != FlowStage::kAssumed) return std::nullopt;
  if (packet.synchronize || packet.reset) return std::nullopt;
  return entry->second.origin;
}

}  // namespace

auto FromPeer(Agent& agent, const Packet& received, base::TimePoint now) -> AgentVerdict {
  const auto packet = WithoutStaleRefusal(agent, received, now);
  if (packet.stamp.service_tag != TagOf(agent.service)) {
    ++agent.counters.wrong_service;
    return Discard{DiscardReason::kWrongService};
  }
  if (!MayReceive(agent, packet, now)) {
    ++agent.counters.unconfirmed;
    return AwaitRoute{};
  }
  // A draining target would still accept an opening. Forwarding it here ensures that the target
  // receives none even before any balancer knows that it drains.
  if (IsOpening(packet) && !TakesOpenings(agent, now)) return PassOn(agent, packet, now);
  ExpireOffers(agent, now);
  if (IsOpening(packet)) {
    const auto limit = CapacityLimit(agent, packet, now);
    if (limit != admission::Limit::kNone) {
      ++agent.counters.over_limit;
      return PassOn(agent, packet, now);
    }
  }
  if (!TakesPackets(agent, now)) return Return(agent, {.by_target = true});
  if (!IsOpening(packet) && IsNotHeld(agent, packet)) {
    return Return(agent, {.by_target = true, .denied = true});
  }
  if (OpenedElsewhere(agent, packet, now)) return Return(agent, {});
  CountFromClient(agent, packet, now);
  ++agent.counters.delivered;
  return DeliverToTarget{IsOpening(packet) && packet.stamp.hops != 0};
}

auto FromTarget(Agent& agent, const Packet& received, base::TimePoint now) -> AgentVerdict {
  const auto packet = WithoutStaleRefusal(agent, received, now);
  if (packet.returned) {
    ++agent.counters.returned;
    NoteReturned(agent, packet, now);
    if (!IsOpening(packet)) return ReturnOf(agent, packet, now);
    Erase(agent, FlowFromClient(packet));
    return PassOn(agent, packet, now);
  }
  ++agent.counters.replies;
  const auto located_for = LocatedFor(agent, packet);
  return SendToClient{CountFromTarget(agent, packet, now), located_for};
}

}  // namespace anvildrum::packets
