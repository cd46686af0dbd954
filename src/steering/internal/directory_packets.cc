#include <algorithm>

#include "steering/internal/directory_parts.h"
#include "wire/convert.h"

namespace anvildrum::steering {
namespace {

using wire::pb::Refused;

// The packet as it goes on, or nothing when it has passed too many agents. Safeguard: two agents
// whose views differ could send a packet to and fro for ever.
auto NextHop(StepContext& context, const PacketArrival& arrival)
    -> std::optional<wire::pb::Packet> {
  auto& directory = context.directory;
  if (arrival.packet.hops() >= directory.policy.hop_limit) {
    ++directory.counters.hop_limit;
    SendRefused(context, arrival.packet, Refused::REASON_HOP_LIMIT);
    return std::nullopt;
  }
  auto packet = arrival.packet;
  packet.set_hops(packet.hops() + 1);
  packet.set_opening(false);
  packet.set_declined(false);
  return packet;
}

// `opens`: the target that is asked to open the flow, if any.
auto PassOn(StepContext& context, const base::Endpoint& to, const PacketArrival& arrival,
            const TargetRef* opens) -> void {
  auto packet = NextHop(context, arrival);
  if (!packet) return;
  packet->set_opening(opens != nullptr);
  packet->set_opening_incarnation(opens != nullptr ? opens->incarnation : 0);
  ++context.directory.counters.passed_on;
  SendPacket(context, to, *packet, arrival.payload);
}

auto Refuse(StepContext& context, const PacketArrival& arrival, Refused::Reason reason,
            std::uint64_t& counter) -> void {
  ++counter;
  SendRefused(context, arrival.packet, reason);
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

auto OpenHere(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  OverruleLost(context, arrival.flow, directory.self);
  directory.known.erase(arrival.flow);
  auto& owned = directory.owned[arrival.flow];
  owned = OwnedFlow{};
  owned.opened = context.now;
  owned.stamp = ++directory.stamp;
  owned.lineage = {directory.self, owned.stamp, 0, {}};
  ++directory.counters.opened;
  EnqueueRegistration(directory, arrival.flow, owned);
  DeliverPacket(context, arrival, owned, true);
}

auto OpenAt(StepContext& context, const PacketArrival& arrival, PeerTarget& peer) -> void {
  auto& directory = context.directory;
  ++peer.load.flows;
  ++directory.counters.deflected;
  auto known = KnownOwner{};
  known.owner = peer.ref;
  known.opened = context.now;
  known.noted = context.now;
  known.last_packet = context.now;
  OverruleLost(context, arrival.flow, peer.ref);
  directory.known[arrival.flow] = known;
  PassOn(context, peer.tunnel, arrival, &peer.ref);
  SendHint(context, arrival.packet, peer.ref);
}

auto BalancerDomain(const Directory& directory, const wire::pb::Packet& packet) -> std::uint64_t {
  auto endpoint = wire::ReadEndpoint(packet.balancer());
  if (!endpoint) return 0;
  for (const auto& balancer : directory.balancers) {
    if (balancer.tunnel == *endpoint) return base::HashName(balancer.failure_domain);
  }
  return 0;
}

auto Decline(StepContext& context, const PeerTarget& home, const PacketArrival& arrival) -> void {
  auto packet = NextHop(context, arrival);
  if (!packet) return;
  packet->set_declined(true);
  SendPacket(context, home.tunnel, *packet, arrival.payload);
}

// The home asks this agent to open the flow (rule 3 of Directory).
auto OpenForHome(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  auto home = HomeOf(directory, arrival.flow);
  auto* sender = FindPeerByInstance(directory, arrival.sender);
  if (sender == nullptr || !home || sender->ref != *home) {
    StartAsking(context, arrival.flow, &arrival, std::nullopt);
    return;
  }
  auto full = IsFull(directory);
  if (directory.in_view && !directory.draining && !full) {
    OpenHere(context, arrival);
    return;
  }
  ++(full ? directory.counters.full : directory.counters.draining);
  Decline(context, *sender, arrival);
}

// Safeguard: what was meant for an earlier process at this address opens nothing here.
auto IsOpening(const Directory& directory, const PacketArrival& arrival) -> bool {
  const auto& packet = arrival.packet;
  return packet.opening() && packet.opening_incarnation() == directory.self.incarnation;
}

auto DeclineToHome(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  auto home = ActingHomeOf(directory, arrival.flow);
  auto* peer = home ? FindPeer(directory, *home) : nullptr;
  if (peer != nullptr) {
    Decline(context, *peer, arrival);
  } else {
    Refuse(context, arrival, Refused::REASON_DRAINING, directory.counters.draining);
  }
}

auto PassToHome(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  auto index = FindActing(directory.candidates, base::HashFlow(arrival.flow));
  if (index == kNone) {
    Refuse(context, arrival, Refused::REASON_DRAINING, directory.counters.draining);
    return;
  }
  auto* peer = FindPeer(directory, directory.candidates.candidates[index].target);
  PassOn(context, peer->tunnel, arrival, nullptr);
}

auto RouteUnknown(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  if (IsOpening(directory, arrival)) {
    OpenForHome(context, arrival);
    return;
  }
  if (arrival.packet.hops() >= directory.policy.asking_hops) {
    StartAsking(context, arrival.flow, &arrival, std::nullopt);
    return;
  }
  auto index = FindActing(directory.candidates, base::HashFlow(arrival.flow));
  if (index == kNone || index != directory.self_index) {
    PassToHome(context, arrival);
    return;
  }
  if (IsHome(directory, arrival.flow) && IsSettled(directory)) {
    PlaceFlow(context, arrival);
  } else {
    StartAsking(context, arrival.flow, &arrival, std::nullopt);
  }
}

// Whether the entry can still be used; entries that are too old lose their relay or promise.
auto IsUsable(StepContext& context, KnownOwner& known) -> bool {
  auto expired = context.now - known.via_since > context.directory.policy.promise;
  if (known.via.port != 0 && !expired) return true;
  if (known.promised) return false;
  known.via = {};
  return true;
}

auto RouteByKnown(StepContext& context, const PacketArrival& arrival, KnownOwner& known) -> void {
  auto& directory = context.directory;
  if (!IsUsable(context, known)) {
    directory.known.erase(arrival.flow);
    StartAsking(context, arrival.flow, &arrival, std::nullopt);
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
      StartAsking(context, arrival.flow, &arrival, owner);
      return;
    }
    to = peer->tunnel;
  }
  known.last_packet = context.now;
  // An agent that only relays must not open the flow itself.
  auto direct = known.via.port == 0;
  auto opening = direct && IsHome(directory, arrival.flow) && arrival.packet.may_open();
  PassOn(context, to, arrival, opening ? &owner : nullptr);
  if (arrival.packet.hops() == 0 && !known.promised) SendHint(context, arrival.packet, owner);
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
  StartAsking(context, arrival.flow, &arrival, std::nullopt);
}

auto HoldWhileFenced(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  auto held = directory.pending.contains(arrival.flow);
  if (!held && directory.pending.size() >= directory.policy.pending_flows) {
    ++directory.counters.held_dropped;
    return;
  }
  HoldPacket(context, directory.pending[arrival.flow], arrival);
}

}  // namespace

auto IsFull(const Directory& directory) -> bool {
  auto limit = directory.load.connections;
  return limit != 0 && directory.owned.size() >= limit;
}

auto FillLoads(StepContext& context) -> void {
  auto& directory = context.directory;
  auto& loads = directory.load_scratch;
  loads.clear();
  for (const auto& candidate : directory.candidates.candidates) {
    if (candidate.target == directory.self.target) {
      loads.push_back(directory.load);
      loads.back().flows = static_cast<std::uint32_t>(directory.owned.size());
      loads.back().eligible = candidate.placeable;
      continue;
    }
    const auto& peer = *FindPeer(directory, candidate.target);
    loads.push_back(peer.load);
    loads.back().age = context.now - peer.since;
    // A peer under another view might not accept this agent as the flow's home.
    loads.back().eligible =
        candidate.placeable && !peer.suspect && peer.settled_view == directory.digest;
  }
}

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
  if (owned != nullptr && owned->handing) {
    HoldForHandOver(context, arrival);
    return;
  }
  if (owned != nullptr && !owned->closing) {
    DeliverPacket(context, arrival, *owned, false);
    return;
  }
  // A closing flow stays closed until the home knows; the client's retransmission opens it anew.
  if (owned != nullptr && IsOpening(directory, arrival)) {
    ++directory.counters.held_dropped;
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
  auto known = directory.known.find(arrival.flow);
  auto handed_over = known != directory.known.end() && known->second.lineage.hand_overs > 0;
  if (known != directory.known.end() && (handed_over || !IsOpening(directory, arrival))) {
    RouteByKnown(context, arrival, known->second);
    return;
  }
  RouteUnknown(context, arrival);
}

auto PlaceFlow(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  const auto& policy = directory.policy;
  if (!arrival.packet.may_open()) {
    Refuse(context, arrival, Refused::REASON_UNKNOWN_FLOW, directory.counters.unknown_flow);
    return;
  }
  if (directory.self_index == kNone) {
    // This agent drains, or is not announced yet: the home places.
    DeclineToHome(context, arrival);
    return;
  }
  if (!TakeToken(directory.openings, policy.openings_per_second, policy.openings_burst,
                 context.now)) {
    Refuse(context, arrival, Refused::REASON_FULL, directory.counters.full);
    return;
  }
  // Only the first home gives flows away: a target that takes one from another agent has to ask all
  // others first, and could give it away in turn.
  if (!IsHome(directory, arrival.flow) && !IsFull(directory)) {
    OpenHere(context, arrival);
    return;
  }
  FillLoads(context);
  auto request = PlacementRequest{directory.load_scratch, directory.self_index, 0};
  if (policy.placement.prefer_domain) {
    request.preferred_domain = BalancerDomain(directory, arrival.packet);
  }
  auto index = Place(policy.placement, request, directory.random);
  if (index == kNoTarget) {
    Refuse(context, arrival, Refused::REASON_FULL, directory.counters.full);
  } else if (index == directory.self_index) {
    OpenHere(context, arrival);
  } else {
    OpenAt(context, arrival, *FindPeer(directory, directory.candidates.candidates[index].target));
  }
}

auto HoldPacket(StepContext& context, PendingFlow& pending, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  if (pending.held.size() >= directory.policy.held_packets_of_flow) {
    ++directory.counters.held_dropped;
    return;
  }
  auto packet = arrival.packet;
  packet.set_opening(false);
  packet.set_declined(false);
  pending.held.push_back({packet, {arrival.payload.begin(), arrival.payload.end()}});
}

}  // namespace anvildrum::steering
