#include <algorithm>

#include "steering/internal/directory_parts.h"
#include "wire/convert.h"

namespace anvildrum::steering {
namespace {

using wire::pb::Refused;

auto OpenHere(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  if (TakeOverOrphan(context, arrival.flow)) {
    DeliverPacket(context, arrival, directory.owned.at(arrival.flow), false);
    return;
  }
  RevokeLostClaim(context, arrival.flow, directory.self);
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
  known.noted_at = context.now;
  known.last_packet = context.now;
  RevokeLostClaim(context, arrival.flow, peer.ref);
  directory.known[arrival.flow] = known;
  ForwardPacket(context, peer.tunnel, arrival, &peer.ref);
  SendHint(context, arrival.packet, peer.ref);
}

// Estimates the peer's current number of flows.
//
// Safeguard: load reports arrive twice a second, and a burst of new flows reaches every home at
// once. A home that compared its own current count with its peers' counts from before the burst
// would find itself over its bound and place most of its flows elsewhere. Since each home draws by
// itself, the targets would end up less balanced than by the hash alone. Homes get new flows at the
// same rate because their order is a hash, so a peer is assumed to have got as many as this home
// since its report.
auto ExpectedFlows(const Directory& directory, const PeerTarget& peer) -> std::uint32_t {
  auto placed = static_cast<double>(directory.placed_as_home - peer.placed_at_report);
  auto own_weight = directory.load.weight > 0 ? directory.load.weight : 1.0;
  auto expected = peer.reported_flows + placed * peer.load.weight / own_weight;
  return std::max(peer.load.flows, static_cast<std::uint32_t>(expected));
}

auto BalancerDomain(const Directory& directory, const wire::pb::Packet& packet) -> std::uint64_t {
  auto endpoint = wire::ReadEndpoint(packet.balancer());
  if (!endpoint) return 0;
  for (const auto& balancer : directory.balancers) {
    if (balancer.tunnel == *endpoint) return base::HashName(balancer.failure_domain);
  }
  return 0;
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
    loads.back().flows = ExpectedFlows(directory, peer);
    loads.back().age = context.now - peer.since;
    // A peer with another view might not accept this agent as the flow's home.
    loads.back().eligible =
        candidate.placeable && !peer.suspect && peer.settled_view == directory.digest;
  }
}

auto OpenForHome(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  auto home = HomeOf(directory, arrival.flow);
  auto* sender = FindPeerByInstance(directory, arrival.sender);
  if (sender == nullptr || !home || sender->ref != *home) {
    StartOwnerQuery(context, arrival.flow, &arrival, std::nullopt);
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

auto PlaceFlow(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  const auto& policy = directory.policy;
  if (!arrival.packet.may_open()) {
    Refuse(context, arrival, Refused::REASON_UNKNOWN_FLOW, directory.counters.unknown_flow);
    return;
  }
  if (directory.self_index == kNone) {
    // This agent is draining or not announced yet, so the home places the flow.
    DeclineToHome(context, arrival);
    return;
  }
  if (!TakeToken(directory.openings, policy.openings_per_second, policy.openings_burst,
                 context.now)) {
    Refuse(context, arrival, Refused::REASON_FULL, directory.counters.full);
    return;
  }
  // Only the first home places flows elsewhere. A target that opens a flow for another agent has to
  // query all others first, and could in turn place it elsewhere.
  if (!IsHome(directory, arrival.flow) && !IsFull(directory)) {
    OpenHere(context, arrival);
    return;
  }
  FillLoads(context);
  ++directory.placed_as_home;
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

}  // namespace anvildrum::steering
