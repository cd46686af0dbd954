#include "steering/internal/directory_parts.h"
#include "wire/convert.h"

namespace anvildrum::steering {
namespace {

using wire::pb::Refused;

// Safeguard: what was meant for an earlier process at this address opens nothing here.
auto IsOpening(const Directory& directory, const PacketArrival& arrival) -> bool {
  const auto& packet = arrival.packet;
  return packet.opening() && packet.opening_incarnation() == directory.self.incarnation;
}

// To the home. Safeguard: a home that promised this agent the flow sends it here for as long as the
// promise holds, also after the flow has ended here and this agent drains. Sent to and fro as an
// ordinary packet, it would be dropped at the hop limit. Handed back, it makes the home forget the
// promise and ask all others.
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

// Whether the entry can still be used; entries that are too old lose their relay or promise.
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

// Safeguard: what agents remember of a flow may lead in a circle when none of them owns it any
// more, and each packet of the client would keep the circle alive: the client is served by nobody.
// A packet that has passed this many agents is asked for instead. Held ones, which have no sender,
// have been.
auto MayLoop(const Directory& directory, const PacketArrival& arrival) -> bool {
  const auto& policy = directory.policy;
  auto hops = arrival.packet.hops();
  return arrival.sender.value != 0 && hops >= policy.query_hops && hops < policy.hop_limit;
}

// The sender, chosen by this agent or having asked it, does not open the flow. The flow is asked
// for before it is placed, because a duplicate of the message may arrive late.
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

// Safeguard: the home places a flow here that this agent once handed over. Either the flow has
// ended since, and its successor, passed the packet, would pass it back, for ever; or the packet is
// a late copy of the flow's first opening, and opened here it would bring up a second owner.
// Declined, the home passes it to the owner that it knows, or asks everybody before it opens the
// flow. Returns whether it was declined.
auto DeclineOpening(StepContext& context, const PacketArrival& arrival) -> bool {
  auto* sender = FindPeerByInstance(context.directory, arrival.sender);
  if (sender == nullptr) return false;
  Decline(context, *sender, arrival);
  return true;
}

// By what this agent remembers of the flow; returns whether that decides.
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
  // Safeguard: after an address moved to another service, or a target restarted under another
  // service on the same port, a stale balancer sends one service's packet to a target of another.
  // The service travels in the packet, and an agent serves one service only.
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
  // A closing flow stays closed until the home knows; the home places it anew meanwhile.
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
