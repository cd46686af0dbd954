#include <algorithm>

#include "steering/internal/directory_parts.h"
#include "wire/convert.h"

namespace anvildrum::steering {
namespace {

auto SendQuery(StepContext& context, const base::FlowKey& flow, const PendingFlow& pending,
               const PeerTarget& peer) -> void {
  auto header = MakeHeader(context.directory);
  auto* query = header.mutable_owner_query();
  wire::WriteFlow(flow, *query->mutable_flow());
  WriteRef(context.directory.self, *query->mutable_asker());
  query->set_sequence(pending.sequence);
  if (pending.lost) WriteRef(*pending.lost, *query->mutable_owner());
  query->set_stands_by(pending.stands_by);
  SendControl(context, peer.tunnel, header);
}

auto SendQueries(StepContext& context, const base::FlowKey& flow, PendingFlow& pending) -> void {
  pending.next_query = context.now + context.directory.policy.query_interval;
  for (const auto& ref : pending.unanswered) {
    auto* peer = FindPeer(context.directory, ref);
    if (peer != nullptr) SendQuery(context, flow, pending, *peer);
  }
}

// `place_first`: places the flow with the first held packet that may open it.
auto ReleaseHeld(StepContext& context, const base::FlowKey& flow, bool place_first) -> void {
  auto& directory = context.directory;
  auto node = directory.pending.extract(flow);
  if (node.empty()) return;
  auto place = place_first;
  for (auto& held : node.mapped().held) {
    context.effects.held.push_back(std::move(held.payload));
    auto arrival = PacketArrival{flow, held.packet, context.effects.held.back(), {}};
    if (place) {
      place = !held.packet.may_open();
      PlaceFlow(context, arrival);
    } else {
      AcceptPacket(context, arrival);
    }
  }
}

auto DeferTo(StepContext& context, const base::FlowKey& flow, const TargetRef& asker,
             const base::Endpoint& from) -> void {
  auto known = KnownOwner{};
  known.owner = asker;
  known.via = from;
  known.via_since = context.now;
  known.opened = context.now;
  known.noted_at = context.now;
  known.last_packet = context.now;
  known.tentative = true;
  known.lost = LostOwnerOf(context.directory, flow);
  context.directory.known[flow] = known;
}

auto WasHandedOver(const PendingFlow& pending) -> bool {
  return pending.claimed_lineage.hand_overs > 0;
}

// Safeguard: flows move between targets that shed load, and a target that handed a flow over keeps
// its successor's name for a while after the successor has dropped the flow. Two such targets could
// name each other, and the client's packets would go back and forth between them. The successor
// already had the flow when it was named, so only its answers from then on decide; an earlier
// answer may be from before.
auto QuerySuccessor(StepContext& context, const base::FlowKey& flow, PendingFlow& pending) -> void {
  if (!WasHandedOver(pending) || FindPeer(context.directory, *pending.claimed) == nullptr) return;
  pending.denied = false;
  pending.sequence = ++context.directory.sequence;
  auto waits = std::ranges::count(pending.unanswered, *pending.claimed) != 0;
  if (!waits) pending.unanswered.push_back(*pending.claimed);
  SendQueries(context, flow, pending);
}

// Concludes a query that found no owner.
auto ConcludeUnowned(StepContext& context, const base::FlowKey& flow, const PendingFlow& pending)
    -> void {
  auto taken = ConcludeOrphanQuery(context, flow, pending);
  ReleaseHeld(context, flow, !taken);
}

// Called when all peers have answered or are suspect.
auto ConcludeQuery(StepContext& context, const base::FlowKey& flow, PendingFlow& pending) -> void {
  auto& directory = context.directory;
  if (!pending.claimed) {
    ConcludeUnowned(context, flow, pending);
    return;
  }
  auto* peer = FindPeer(directory, *pending.claimed);
  auto definite = peer != nullptr && (peer->draining || WasHandedOver(pending));
  auto denied = pending.denied && definite;
  if (peer == nullptr || denied) {
    ConcludeUnowned(context, flow, pending);
    return;
  }
  if (peer->suspect && pending.claimed_via.port == 0 && !pending.lost) {
    // Another agent knows the owner, but this one cannot reach it: query whether any peer does.
    pending.lost = pending.claimed;
    pending.claimed.reset();
    pending.denied = false;
    pending.sequence = ++directory.sequence;
    pending.unanswered.clear();
    for (const auto& other : directory.peers) pending.unanswered.push_back(other.ref);
    SendQueries(context, flow, pending);
    return;
  }
  auto owner = KnownOwner{};
  owner.owner = *pending.claimed;
  owner.lineage = pending.claimed_lineage;
  owner.via = pending.claimed_via;
  owner.via_since = context.now;
  owner.opened = context.now;
  owner.noted_at = context.now;
  owner.last_packet = context.now;
  ResolveOwner(context, flow, owner);
}

// Whether `newer` is a later process of the same target, so that the earlier one is dead.
auto IsSuperseded(const TargetRef& ref, const TargetRef& newer) -> bool {
  return ref.target == newer.target && ref.incarnation < newer.incarnation;
}

// Whether this agent's query takes precedence over a concurrent one. A stand-by takes precedence
// because it has the flow's observations; otherwise the lower id does.
auto HasPriority(const Directory& directory, const PendingFlow& pending, const TargetRef& asker,
                 const wire::pb::OwnerQuery& query) -> bool {
  if (pending.stands_by != query.stands_by()) return pending.stands_by;
  return directory.self.target < asker.target;
}

// Returns the owner to name in the answer to a query about a flow that this agent does not serve.
auto FindAnswer(StepContext& context, const base::FlowKey& flow, const TargetRef& asker,
                const base::Endpoint& from, const wire::pb::OwnerQuery& query)
    -> std::optional<TargetRef> {
  auto& directory = context.directory;
  // Safeguard: if another agent opened the flow, it would continue there without its observations,
  // and the client would receive no further notifications. The stand-by answers for the flow and
  // sends queries itself.
  if (!query.stands_by() && IsOrphaned(directory, flow)) {
    StartOwnerQuery(context, flow, nullptr, std::nullopt);
    if (FindOwned(directory, flow) != nullptr) return directory.self;
  }
  auto pending = directory.pending.find(flow);
  if (pending != directory.pending.end()) {
    if (HasPriority(directory, pending->second, asker, query)) return directory.self;
    DeferTo(context, flow, asker, from);
    ReleaseHeld(context, flow, false);
    return std::nullopt;
  }
  auto lost = query.has_owner() ? std::optional(ReadRef(query.owner())) : std::nullopt;
  auto known = directory.known.find(flow);
  if (known != directory.known.end() && IsSuperseded(known->second.owner, asker)) {
    directory.known.erase(known);
    known = directory.known.end();
  }
  if (known != directory.known.end() && !known->second.tentative) {
    auto owner = known->second.owner;
    auto* peer = FindPeer(directory, owner);
    if (owner == asker) return std::nullopt;
    // Safeguard: only the home is told of a flow's end. The entry of a former home would repeatedly
    // lead to a target that has dropped the flow.
    auto fresh = context.now - known->second.noted_at < directory.policy.claim_validity;
    auto current = fresh || IsHome(directory, flow);
    if (peer != nullptr && owner != lost && current) return owner;
  }
  auto* lost_peer = lost ? FindPeer(directory, *lost) : nullptr;
  if (lost_peer != nullptr && !lost_peer->suspect) {
    auto relayed = KnownOwner{};
    relayed.owner = *lost;
    relayed.opened = context.now;
    relayed.noted_at = context.now;
    relayed.last_packet = context.now;
    directory.known[flow] = relayed;
    return lost;
  }
  DeferTo(context, flow, asker, from);
  return std::nullopt;
}

auto LineageOf(const Directory& directory, const base::FlowKey& flow, const TargetRef& owner)
    -> Lineage {
  auto owned = directory.owned.find(flow);
  if (owner == directory.self && owned != directory.owned.end()) return owned->second.lineage;
  auto known = directory.known.find(flow);
  auto names = known != directory.known.end() && known->second.owner == owner;
  return names ? known->second.lineage : Lineage{};
}

auto DropSuspects(StepContext& context, PendingFlow& pending) -> void {
  std::erase_if(pending.unanswered, [&](const TargetRef& ref) {
    auto* peer = FindPeer(context.directory, ref);
    return peer == nullptr || peer->suspect;
  });
}

}  // namespace

auto StartOwnerQuery(StepContext& context, const base::FlowKey& flow, const PacketArrival* arrival,
                     std::optional<TargetRef> lost) -> void {
  auto& directory = context.directory;
  auto awaiting_ack = directory.pending.find(flow);
  if (awaiting_ack != directory.pending.end()) {
    if (arrival != nullptr) HoldPacket(context, awaiting_ack->second, *arrival);
    return;
  }
  if (directory.pending.size() >= directory.policy.max_pending_flows) {
    if (arrival != nullptr) ++directory.counters.held_dropped;
    return;
  }
  auto& pending = directory.pending[flow];
  pending.sequence = ++directory.sequence;
  pending.started = context.now;
  pending.lost = lost;
  pending.stands_by = IsOrphaned(directory, flow);
  if (pending.stands_by) pending.lost = directory.copies.at(flow).owner;
  for (const auto& peer : directory.peers) pending.unanswered.push_back(peer.ref);
  if (arrival != nullptr) HoldPacket(context, pending, *arrival);
  ++directory.counters.asked;
  SendQueries(context, flow, pending);
  if (pending.unanswered.empty()) ConcludeQuery(context, flow, pending);
}

auto HandleOwnerQuery(StepContext& context, const base::Endpoint& from,
                      const wire::pb::OwnerQuery& query) -> void {
  auto& directory = context.directory;
  auto flow = wire::ReadFlow(query.flow());
  if (!flow || flow->service != directory.service || directory.fenced) return;
  auto asker = ReadRef(query.asker());
  auto* peer = FindPeer(directory, asker.target);
  if (peer != nullptr && peer->ref.incarnation > asker.incarnation) {
    ++directory.counters.stale_sender;
    return;
  }
  auto* owned = FindOwned(directory, *flow);
  auto owner = owned != nullptr && !owned->closing ? std::optional(directory.self)
                                                   : FindAnswer(context, *flow, asker, from, query);
  auto header = MakeHeader(directory);
  auto* answer = header.mutable_owner_answer();
  *answer->mutable_flow() = query.flow();
  answer->set_owned(owner.has_value());
  if (owner) WriteRef(*owner, *answer->mutable_owner());
  WriteRef(directory.self, *answer->mutable_responder());
  answer->set_sequence(query.sequence());
  if (owner) WriteLineage(LineageOf(directory, *flow, *owner), *answer->mutable_lineage());
  SendControl(context, from, header);
}

auto HandleOwnerAnswer(StepContext& context, const base::Endpoint& from,
                       const wire::pb::OwnerAnswer& answer) -> void {
  auto& directory = context.directory;
  auto flow = wire::ReadFlow(answer.flow());
  if (!flow) return;
  auto found = directory.pending.find(*flow);
  if (found == directory.pending.end()) return;
  auto& pending = found->second;
  // Safeguard: an answer to an earlier query says nothing about flows that the peer has opened
  // since.
  if (pending.sequence != answer.sequence()) return;
  auto responder = ReadRef(answer.responder());
  auto owner = ReadRef(answer.owner());
  auto* peer = FindPeer(directory, responder.target);
  if (peer == nullptr || peer->ref.incarnation > responder.incarnation) return;
  auto claims_other = answer.owned() && owner != responder && owner != directory.self;
  // The responder's view contains a process that this agent's view does not, so one of them is
  // stale. The peer is queried again.
  if (claims_other && FindPeer(directory, owner) == nullptr) return;
  std::erase_if(pending.unanswered,
                [&](const TargetRef& ref) { return ref.target == responder.target; });
  if (!answer.owned()) pending.answered = true;
  if (!answer.owned() && pending.claimed == responder) pending.denied = true;
  if (answer.owned() && owner == responder) {
    auto known = KnownOwner{};
    known.owner = owner;
    known.lineage = ReadLineage(answer.lineage());
    known.opened = context.now;
    known.noted_at = context.now;
    known.last_packet = context.now;
    // The owner has just answered, whatever the probes indicate.
    if (peer->suspect || peer->ref != responder) {
      known.via = from;
      known.via_since = context.now;
    }
    ResolveOwner(context, *flow, known);
    return;
  }
  if (claims_other) {
    pending.claimed = owner;
    pending.claimed_lineage = ReadLineage(answer.lineage());
    pending.denied = !std::ranges::count(pending.unanswered, owner);
    pending.claimed_via = pending.lost == owner ? peer->tunnel : base::Endpoint{};
    QuerySuccessor(context, *flow, pending);
  }
  if (pending.unanswered.empty()) ConcludeQuery(context, *flow, pending);
}

auto RetryOwnerQueries(StepContext& context) -> void {
  auto& directory = context.directory;
  if (directory.fenced) return;
  auto due = std::vector<base::FlowKey>{};
  for (const auto& [flow, pending] : directory.pending) {
    if (context.now >= pending.next_query) due.push_back(flow);
  }
  std::ranges::sort(due);
  for (const auto& flow : due) {
    auto found = directory.pending.find(flow);
    if (found == directory.pending.end()) continue;
    auto& pending = found->second;
    if (context.now - pending.started > directory.policy.max_hold_time) {
      directory.counters.held_dropped += pending.held.size();
      directory.pending.erase(found);
      continue;
    }
    DropSuspects(context, pending);
    if (pending.unanswered.empty()) {
      ConcludeQuery(context, flow, pending);
    } else {
      SendQueries(context, flow, pending);
    }
  }
}

auto ReleaseAllHeld(StepContext& context) -> void {
  auto flows = std::vector<base::FlowKey>{};
  for (const auto& [flow, pending] : context.directory.pending) flows.push_back(flow);
  std::ranges::sort(flows);
  for (const auto& flow : flows) ReleaseHeld(context, flow, false);
}

auto ResolveOwner(StepContext& context, const base::FlowKey& flow, const KnownOwner& owner)
    -> void {
  ReconcileCopy(context, flow, owner.owner);
  auto known = owner;
  known.lost = LostOwnerOf(context.directory, flow);
  context.directory.known[flow] = known;
  ReleaseHeld(context, flow, false);
}

}  // namespace anvildrum::steering
