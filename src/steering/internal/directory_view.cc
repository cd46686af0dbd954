#include <algorithm>

#include "steering/internal/directory_parts.h"

namespace anvildrum::steering {
namespace {

auto MakePeer(const membership::Target& target) -> PeerTarget {
  auto peer = PeerTarget{};
  peer.ref = {target.record.id, target.record.incarnation};
  peer.load.slots = target.record.slots;
  peer.load.connections = target.record.connections;
  peer.load.failure_domain = base::HashName(target.record.failure_domain);
  return peer;
}

// Safeguard: a query may wait for seconds for a peer that has died. A target that joins or restarts
// in that time and is the flow's home opens the flow without a query, since all its peers have
// registered their flows. If it were not queried too, it and this agent would both own the flow.
auto QueryNewPeer(StepContext& context, const TargetRef& peer) -> void {
  for (auto& [flow, pending] : context.directory.pending) {
    pending.unanswered.push_back(peer);
    pending.next_query = context.now;
  }
}

// Returns whether this agent's suspicion of a peer has changed.
auto UpdatePeers(StepContext& context, const membership::ServiceView& service) -> bool {
  auto& directory = context.directory;
  auto changed = false;
  auto peers = std::vector<PeerTarget>{};
  for (const auto& target : service.targets) {
    if (target.record.id == directory.self.target) continue;
    auto* known = FindPeer(directory, {target.record.id, target.record.incarnation});
    auto peer = known != nullptr ? *known : MakePeer(target);
    if (known == nullptr) QueryNewPeer(context, peer.ref);
    peer.instance = target.record.instance;
    peer.tunnel = target.record.tunnel;
    changed = changed || peer.suspect != target.suspect;
    peer.suspect = target.suspect;
    peer.draining = target.draining;
    peer.since = target.since;
    peer.load.weight = target.weight;
    peers.push_back(peer);
  }
  directory.peers = std::move(peers);
  return changed;
}

auto UpdateSelf(Directory& directory, const membership::ServiceView& service) -> void {
  const auto* self = membership::FindTarget(service, directory.self.target);
  directory.in_view = self != nullptr && self->record.incarnation == directory.self.incarnation;
  auto draining = directory.in_view && self->draining;
  if (draining != directory.draining) {
    directory.drain_notices_left = directory.policy.drain_notices;
    directory.next_drain_notice = {};
  }
  directory.draining = draining;
  directory.self_index = kNone;
  if (!directory.in_view) return;
  directory.load.weight = self->weight;
  auto index = static_cast<std::uint32_t>(self - service.targets.data());
  directory.candidates.candidates[index].suspect = false;
  if (directory.candidates.candidates[index].placeable) directory.self_index = index;
}

auto UpdateStreams(Directory& directory) -> void {
  auto streams = std::vector<RegisterStream>{};
  for (const auto& peer : directory.peers) {
    auto found = std::ranges::find(directory.streams, peer.ref, &RegisterStream::home);
    if (found != directory.streams.end()) {
      streams.push_back(std::move(*found));
    } else {
      streams.push_back({});
      streams.back().home = peer.ref;
    }
  }
  directory.streams = std::move(streams);
}

auto RemoveDeadOwners(Directory& directory) -> void {
  std::erase_if(directory.known, [&](const auto& entry) {
    const auto& known = entry.second;
    return known.via.port == 0 && FindPeer(directory, known.owner) == nullptr;
  });
}

auto DropAll(StepContext& context) -> void {
  auto& directory = context.directory;
  for (const auto& [flow, owned] : directory.owned) {
    if (!owned.closing) context.effects.dropped.push_back({flow});
  }
  directory.owned.clear();
  directory.outgoing.clear();
  directory.pending.clear();
  directory.copies.clear();
  directory.copied_owners.clear();
  directory.copied_bytes = 0;
}

}  // namespace

auto HandleView(StepContext& context, const membership::View& view) -> void {
  auto& directory = context.directory;
  directory.balancers = view.balancers;
  const auto* service = membership::FindService(view, directory.service);
  auto none = membership::ServiceView{directory.service, {}, 0};
  const auto& present = service != nullptr ? *service : none;
  auto was_in_view = directory.in_view;
  auto moved = present.digest != directory.digest;
  auto suspicion_changed = UpdatePeers(context, present);
  directory.candidates = MakeCandidates(present);
  UpdateSelf(directory, present);
  directory.digest = present.digest;
  // The record was removed by a conditional update on this incarnation. Others have given its flows
  // up, and a later start has a higher incarnation.
  if (was_in_view && !directory.in_view) DropAll(context);
  if (!moved && !suspicion_changed) return;
  if (moved) UpdateStreams(directory);
  ReregisterFlows(directory);
  if (moved) RemoveDeadOwners(directory);
  directory.streams_due = true;
}

// Safeguard: a process that was paused for longer than the peers' suspicion timeout may own flows
// that were opened elsewhere in the meantime, and its knowledge of settled peers is stale. Its
// clients would receive replies from two targets. It does nothing for clients until every peer that
// it does not suspect has registered its flows here again. By then each flow that was opened twice
// has one owner again.
auto Fence(StepContext& context) -> void {
  auto& directory = context.directory;
  ++directory.counters.stops_noticed;
  directory.fenced = true;
  directory.next_resettle = {};
  for (auto& peer : directory.peers) peer.settled_view = 0;
  directory.pending.clear();
  for (auto& [flow, owned] : directory.owned) {
    owned.first.home = {};
    owned.acting.home = {};
  }
  ReregisterFlows(directory);
}

auto UpdateFence(StepContext& context) -> void {
  auto& directory = context.directory;
  if (!directory.fenced) return;
  auto done = [&](const RegisterStream& stream) {
    auto* peer = FindPeer(directory, stream.home);
    return peer == nullptr || peer->suspect || (stream.queue.empty() && !stream.awaiting_ack);
  };
  auto settled = [&](const PeerTarget& peer) {
    return peer.suspect || peer.settled_view == directory.digest;
  };
  if (std::ranges::all_of(directory.peers, settled) &&
      std::ranges::all_of(directory.streams, done)) {
    directory.fenced = false;
    ReleaseAllHeld(context);
    return;
  }
  if (context.now < directory.next_resettle) return;
  directory.next_resettle = context.now + directory.policy.register_retry;
  auto header = MakeHeader(directory);
  header.mutable_resettle()->set_service(directory.service.value);
  WriteRef(directory.self, *header.mutable_resettle()->mutable_asker());
  for (const auto& peer : directory.peers) {
    if (peer.settled_view != directory.digest) SendControl(context, peer.tunnel, header);
  }
}

}  // namespace anvildrum::steering
