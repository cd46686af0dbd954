#include "steering/internal/directory_parts.h"
#include "wire/convert.h"

namespace anvildrum::steering {
namespace {

using wire::pb::Refused;

// Safeguard: a request to an earlier process at this address opens nothing here.
auto IsOpening(const Directory& directory, const PacketArrival& arrival) -> bool {
  const auto& packet = arrival.packet;
  return packet.opening() && packet.opening_incarnation() == directory.self.incarnation;
}

// Sends the packet to the home, or returns it if it came from there.
//
// Safeguard: a home that deferred to this agent sends it the flow's packets until the deferral
// expires, also after the flow has ended here and this agent is draining. Ordinary packets would go
// back and forth and be dropped at the hop limit. A declined packet makes the home discard the
// deferral and query all others.
auto ReturnToHome(StepContext& context, const PacketArrival& arrival) -> void {
  auto home = ActingHomeOf(context.directory, arrival.flow);
  auto* sender = FindPeerByInstance(context.directory, arrival.sender);
  if (sender != nullptr && home == sender->ref) {
    Decline(context, *sender, arrival);
  } else {
    ForwardToHome(context, arrival);
  }
}

auto RouteUnknown(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  if (IsOpening(directory, arrival)) {
    OpenForHome(context, arrival);
    return;
  }
  if (arrival.packet.hops() >= directory.policy.query_hops) {
    StartOwnerQuery(context, arrival.flow, &arrival, std::nullopt);
    return;
  }
  auto index = FindActingHome(directory.candidates, base::HashFlow(arrival.flow));
  if (index == kNone || index != directory.self_index) {
    ReturnToHome(context, arrival);
    return;
  }
  auto settled = IsHome(directory, arrival.flow) && IsSettled(directory);
  if (settled && !IsOrphaned(directory, arrival.flow)) {
    PlaceFlow(context, arrival);
  } else {
    StartOwnerQuery(context, arrival.flow, &arrival, std::nullopt);
  }
}

// Whether the entry is still usable. Removes an expired relay; an expired tentative entry is not
// usable.
auto IsUsable(StepContext& context, KnownOwner& known) -> bool {
  auto expired = context.now - known.via_since > context.directory.policy.deferral_time;
  if (known.via.port != 0 && !expired) return true;
  if (known.tentative) return false;
  known.via = {};
  return true;
}

auto RouteByKnown(StepContext& context, const PacketArrival& arrival, KnownOwner& known) -> void {
  auto& directory = context.directory;
  if (!IsUsable(context, known)) {
    directory.known.erase(arrival.flow);
    StartOwnerQuery(context, arrival.flow, &arrival, std::nullopt);
    return;
  }
  auto owner = known.owner;
  auto to = known.via;
  if (to.port == 0) {
    auto* peer = FindPeer(directory, owner);
    if (peer == nullptr) {
      // The owner's process is gone, and the flow with it.
      directory.known.erase(arrival.flow);
      RouteUnknown(context, arrival);
      return;
    }
    if (peer->suspect) {
      StartOwnerQuery(context, arrival.flow, &arrival, owner);
      return;
    }
    to = peer->tunnel;
  }
  known.last_packet = context.now;
  // An agent that only relays must not open the flow itself.
  auto direct = known.via.port == 0;
  auto opening = direct && IsHome(directory, arrival.flow) && arrival.packet.may_open();
  ForwardPacket(context, to, arrival, opening ? &owner : nullptr);
  if (arrival.packet.hops() == 0 && !known.tentative) SendHint(context, arrival.packet, owner);
}

// Safeguard: the entries of several agents may form a forwarding loop when none of them owns the
// flow any more. Each packet of the client would keep the entries alive, and no target would serve
// the client. The owner of a packet that has passed this many agents is therefore queried. Held
// packets, which have no sender, have been through a query already.
auto MayLoop(const Directory& directory, const PacketArrival& arrival) -> bool {
  const auto& policy = directory.policy;
  auto hops = arrival.packet.hops();
  return arrival.sender.value != 0 && hops >= policy.query_hops && hops < policy.hop_limit;
}

// Handles a packet returned by a sender that does not open the flow, although this agent chose it
// or deferred to it. The flow's owner is queried before the flow is placed, because a duplicate of
// the message may arrive late.
auto PlaceDeclined(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  auto* peer = FindPeerByInstance(directory, arrival.sender);
  auto known = directory.known.find(arrival.flow);
  if (known != directory.known.end()) {
    if (peer == nullptr || known->second.owner != peer->ref) {
      RouteByKnown(context, arrival, known->second);
      return;
    }
    directory.known.erase(known);
  }
  StartOwnerQuery(context, arrival.flow, &arrival, std::nullopt);
}

// Safeguard: the home places a flow here that this agent has handed over before. Either the flow
// has ended since, and its successor would return a forwarded packet indefinitely; or the packet is
// a late copy of the flow's first opening, which would create a second owner if it were opened
// here. If the packet is declined, the home forwards it to the owner that it knows, or queries all
// peers before it opens the flow. Returns whether the packet was declined.
auto DeclineOpening(StepContext& context, const PacketArrival& arrival) -> bool {
  auto* sender = FindPeerByInstance(context.directory, arrival.sender);
  if (sender == nullptr) return false;
  Decline(context, *sender, arrival);
  return true;
}

// Routes the packet by the flow's entry in `known`, if there is one. Returns whether the packet was
// handled.
auto RouteIfKnown(StepContext& context, const PacketArrival& arrival) -> bool {
  auto& directory = context.directory;
  auto known = directory.known.find(arrival.flow);
  if (known == directory.known.end()) return false;
  if (IsOpening(directory, arrival)) {
    if (known->second.lineage.hand_overs == 0) return false;
    if (DeclineOpening(context, arrival)) return true;
  }
  if (MayLoop(directory, arrival)) {
    StartOwnerQuery(context, arrival.flow, &arrival, std::nullopt);
  } else {
    RouteByKnown(context, arrival, known->second);
  }
  return true;
}

auto HoldWhileFenced(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  auto held = directory.pending.contains(arrival.flow);
  if (!held && directory.pending.size() >= directory.policy.max_pending_flows) {
    ++directory.counters.held_dropped;
    return;
  }
  HoldPacket(context, directory.pending[arrival.flow], arrival);
}

}  // namespace

auto AcceptPacket(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  // Safeguard: after an address has moved to another service, or a target has restarted under
  // another service on the same port, a balancer with a stale view sends packets of one service to
  // a target of another. Therefore packets carry the service, and an agent serves one service only.
  if (arrival.flow.service != directory.service) {
    Refuse(context, arrival, Refused::REASON_WRONG_SERVICE, directory.counters.wrong_service);
    return;
  }
  if (directory.fenced) {
    HoldWhileFenced(context, arrival);
    return;
  }
  auto* owned = FindOwned(directory, arrival.flow);
  if (owned != nullptr && owned->offered) {
    HoldForHandOver(context, arrival);
    return;
  }
  if (owned != nullptr && !owned->closing) {
    DeliverPacket(context, arrival, *owned, false);
    return;
  }
  // A closing flow stays closed until the home knows about its end. Meanwhile the home places the
  // flow again.
  if (owned != nullptr && IsOpening(directory, arrival)) {
    auto* sender = FindPeerByInstance(directory, arrival.sender);
    if (sender != nullptr) Decline(context, *sender, arrival);
    return;
  }
  if (arrival.packet.declined() && owned == nullptr) {
    PlaceDeclined(context, arrival);
    return;
  }
  auto pending = directory.pending.find(arrival.flow);
  if (pending != directory.pending.end()) {
    HoldPacket(context, pending->second, arrival);
    return;
  }
  if (RouteIfKnown(context, arrival)) return;
  RouteUnknown(context, arrival);
}

auto DeliverPacket(StepContext& context, const PacketArrival& arrival, OwnedFlow& owned,
                   bool opened) -> void {
  auto balancer = wire::ReadEndpoint(arrival.packet.balancer());
  if (balancer && balancer->port != 0) owned.balancer = *balancer;
  owned.last_from_client = context.now;
  owned.last_used = context.now;
  ++context.directory.counters.delivered;
  context.effects.deliveries.push_back(
      {arrival.flow, arrival.payload, opened, arrival.packet.trace_id(), arrival.packet.span_id()});
}

auto HoldPacket(StepContext& context, PendingFlow& pending, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  if (pending.held.size() >= directory.policy.held_packets_per_flow) {
    ++directory.counters.held_dropped;
    return;
  }
  auto packet = arrival.packet;
  packet.set_opening(false);
  packet.set_declined(false);
  pending.held.push_back({packet, {arrival.payload.begin(), arrival.payload.end()}});
}

}  // namespace anvildrum::steering
