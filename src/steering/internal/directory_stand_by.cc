// Copies of observations that other targets serve, and the takeover of their flows when such a
// target is lost. docs/design/standby.md explains the protocol.
#include <algorithm>

#include "steering/internal/directory_parts.h"
#include "wire/convert.h"

namespace anvildrum::steering {
namespace {

auto FindCopiedOwner(Directory& directory, const TargetRef& ref) -> CopiedOwner* {
  auto found = std::ranges::find(directory.copied_owners, ref, &CopiedOwner::ref);
  return found == directory.copied_owners.end() ? nullptr : &*found;
}

auto CountOwner(Directory& directory, const TargetRef& ref) -> void {
  if (auto* owner = FindCopiedOwner(directory, ref)) {
    ++owner->flows;
    return;
  }
  directory.copied_owners.push_back({ref, 1});
}

auto UncountOwner(Directory& directory, const TargetRef& ref) -> void {
  auto* owner = FindCopiedOwner(directory, ref);
  if (owner == nullptr || --owner->flows > 0) return;
  std::erase_if(directory.copied_owners, [&](const auto& one) { return one.ref == ref; });
}

auto RemoveCopy(Directory& directory, const base::FlowKey& flow) -> void {
  auto found = directory.copies.find(flow);
  if (found == directory.copies.end()) return;
  directory.copied_bytes -= found->second.record.size();
  auto owner = found->second.owner;
  directory.copies.erase(found);
  UncountOwner(directory, owner);
}

// Whether the copy is from an owner that has handed the flow over to the owner of the known copy.
// Such a copy does not replace the known one, even if it arrives later.
auto IsOutdated(const StandByCopy& copy, const StandByCopy& known) -> bool {
  if (copy.owner == known.owner) return false;
  const auto& one = copy.lineage;
  const auto& other = known.lineage;
  auto same_opening = one.opener == other.opener && one.stamp == other.stamp;
  return same_opening && one.hand_overs < other.hand_overs;
}

auto HasRoom(const Directory& directory, const StandByCopy& copy) -> bool {
  if (directory.copies.size() >= directory.policy.max_copies) return false;
  return directory.copied_bytes + copy.record.size() <= directory.policy.max_copy_bytes;
}

auto StoreCopy(StepContext& context, const base::FlowKey& flow, StandByCopy copy) -> void {
  auto& directory = context.directory;
  if (directory.owned.contains(flow)) return;
  auto known = directory.copies.find(flow);
  if (known != directory.copies.end() && IsOutdated(copy, known->second)) return;
  RemoveCopy(directory, flow);
  if (!HasRoom(directory, copy)) {
    ++directory.counters.copies_refused;
    return;
  }
  CountOwner(directory, copy.owner);
  directory.copied_bytes += copy.record.size();
  directory.copies[flow] = std::move(copy);
}

auto ApplyCopy(StepContext& context, const wire::pb::StandByFlow& message, const TargetRef& owner)
    -> void {
  auto& directory = context.directory;
  auto client = wire::ReadEndpoint(message.client());
  if (!client) {
    ++directory.counters.malformed;
    return;
  }
  auto flow = base::FlowKey{*client, directory.service};
  const auto& record = message.record();
  if (!record.empty()) {
    auto bytes = wire::Bytes(record.begin(), record.end());
    auto lineage = ReadLineage(message.lineage());
    return StoreCopy(context, flow, {owner, std::move(lineage), std::move(bytes), context.now});
  }
  auto known = directory.copies.find(flow);
  if (known != directory.copies.end() && known->second.owner == owner) RemoveCopy(directory, flow);
}

auto Acknowledge(StepContext& context, const PeerTarget& owner, std::uint64_t sequence) -> void {
  auto& directory = context.directory;
  auto header = MakeHeader(directory);
  auto* ack = header.mutable_stand_by_ack();
  ack->set_service(directory.service.value);
  ack->set_sequence(sequence);
  WriteRef(directory.self, *ack->mutable_keeper());
  SendControl(context, owner.tunnel, header);
}

// Whether the owner's process is gone from the view or unreachable.
auto IsOutOfReach(Directory& directory, const TargetRef& owner) -> bool {
  auto* peer = FindPeer(directory, owner);
  return peer == nullptr || peer->suspect;
}

// Safeguard: a stand-by that is disconnected from its peers considers all of them lost. If it acted
// on that alone, two targets would notify one client. A loss is therefore confirmed only if the
// owner's process is gone from the view, which is decided through the platform, or if a peer has
// answered that it reaches no owner either, or if a packet of the client itself has arrived here.
auto IsLossConfirmed(Directory& directory, const TargetRef& owner, const PendingFlow& pending)
    -> bool {
  return FindPeer(directory, owner) == nullptr || pending.answered || !pending.held.empty();
}

auto PostponeTakeover(StepContext& context, const TargetRef& ref) -> void {
  auto& directory = context.directory;
  auto* owner = FindCopiedOwner(directory, ref);
  if (owner == nullptr) return;
  ++directory.counters.copies_withheld;
  auto max_backoff = directory.policy.max_takeover_retry;
  owner->loss_confirmed = false;
  owner->backoff = std::clamp(owner->backoff * 2, directory.policy.takeover_retry, max_backoff);
  owner->next_attempt = context.now + owner->backoff;
}

auto FlowsToQuery(const Directory& directory, const CopiedOwner& owner)
    -> std::vector<base::FlowKey> {
  auto flows = std::vector<base::FlowKey>{};
  for (const auto& [flow, copy] : directory.copies) {
    if (copy.owner == owner.ref && !directory.pending.contains(flow)) flows.push_back(flow);
  }
  std::ranges::sort(flows);
  auto limit = owner.loss_confirmed ? directory.policy.takeover_batch : std::size_t{1};
  if (flows.size() > limit) flows.resize(limit);
  return flows;
}

auto QueryOrphans(StepContext& context, CopiedOwner& owner) -> void {
  const auto& policy = context.directory.policy;
  auto gone = FindPeer(context.directory, owner.ref) == nullptr;
  if (!gone && context.now < owner.next_attempt) return;
  if (!owner.loss_confirmed) owner.next_attempt = context.now + policy.takeover_retry;
  auto flows = FlowsToQuery(context.directory, owner);
  // The first query may remove `owner`.
  for (const auto& flow : flows) StartOwnerQuery(context, flow, nullptr, std::nullopt);
}

// Returns the balancer for replies until the first packet from the client. For such flows the agent
// chooses the route by probes.
auto AnyBalancer(const Directory& directory) -> base::Endpoint {
  return directory.balancers.empty() ? base::Endpoint{} : directory.balancers.front().tunnel;
}

auto MakeOwnedOrphan(StepContext& context, const StandByCopy& copy) -> OwnedFlow {
  auto& directory = context.directory;
  auto owned = OwnedFlow{};
  owned.opened = context.now;
  owned.last_from_client = copy.noted_at;
  owned.last_used = context.now;
  owned.balancer = AnyBalancer(directory);
  owned.stamp = ++directory.stamp;
  owned.lineage = copy.lineage;
  ExtendLineage(owned.lineage, copy.owner);
  return owned;
}

}  // namespace

auto StandByOf(const Directory& directory, const base::FlowKey& flow) -> std::optional<TargetRef> {
  if (!directory.in_view || directory.fenced) return std::nullopt;
  auto index = FindStandBy(directory.candidates, base::HashFlow(flow), directory.self.target,
                           directory.load.failure_domain);
  if (index == kNone) return std::nullopt;
  auto target = directory.candidates.candidates[index].target;
  auto target_of = [](const PeerTarget& peer) { return peer.ref.target; };
  return std::ranges::lower_bound(directory.peers, target, {}, target_of)->ref;
}

auto WriteBatchAddress(const Directory& directory, const TargetRef& keeper,
                       wire::pb::StandBy& batch) -> void {
  batch.set_service(directory.service.value);
  WriteRef(directory.self, *batch.mutable_owner());
  WriteRef(keeper, *batch.mutable_keeper());
}

auto WriteLineageOf(const Directory& directory, const base::FlowKey& flow,
                    wire::pb::Lineage& message) -> void {
  auto owned = directory.owned.find(flow);
  if (owned != directory.owned.end()) WriteLineage(owned->second.lineage, message);
}

auto HandleStandBy(StepContext& context, const wire::pb::StandBy& message) -> void {
  auto& directory = context.directory;
  auto* peer = FindPeer(directory, ReadRef(message.owner()));
  auto keeper = ReadRef(message.keeper());
  if (message.service() != directory.service.value || keeper != directory.self || peer == nullptr) {
    ++directory.counters.stale_sender;
    return;
  }
  // Safeguard: a duplicate of an earlier batch would restore a copy that was removed since.
  if (message.sequence() > peer->copies_applied) {
    peer->copies_applied = message.sequence();
    for (const auto& flow : message.flows()) ApplyCopy(context, flow, peer->ref);
  }
  Acknowledge(context, *peer, message.sequence());
}

auto IsOrphaned(Directory& directory, const base::FlowKey& flow) -> bool {
  auto copy = directory.copies.find(flow);
  return copy != directory.copies.end() && IsOutOfReach(directory, copy->second.owner);
}

auto TakeOverOrphan(StepContext& context, const base::FlowKey& flow) -> bool {
  auto& directory = context.directory;
  if (!IsOrphaned(directory, flow)) return false;
  auto copy = std::move(directory.copies.at(flow));
  directory.copied_bytes -= copy.record.size();
  directory.copies.erase(flow);
  UncountOwner(directory, copy.owner);
  RevokeLostClaim(context, flow, directory.self);
  directory.known.erase(flow);
  auto full = IsFull(directory);
  auto& owned = directory.owned[flow];
  owned = MakeOwnedOrphan(context, copy);
  ++directory.counters.copies_taken;
  context.effects.held.push_back(std::move(copy.record));
  context.effects.taken.push_back({flow, context.effects.held.back(), true, full});
  EnqueueRegistration(directory, flow, owned);
  return true;
}

auto ConcludeOrphanQuery(StepContext& context, const base::FlowKey& flow,
                         const PendingFlow& pending) -> bool {
  auto& directory = context.directory;
  if (!IsOrphaned(directory, flow)) return false;
  auto ref = directory.copies.at(flow).owner;
  if (!IsLossConfirmed(directory, ref, pending)) {
    PostponeTakeover(context, ref);
    return false;
  }
  TakeOverOrphan(context, flow);
  if (auto* owner = FindCopiedOwner(directory, ref)) {
    owner->loss_confirmed = true;
    owner->backoff = {};
    owner->next_attempt = {};
  }
  return true;
}

auto ReconcileCopy(StepContext& context, const base::FlowKey& flow, const TargetRef& owner)
    -> void {
  auto copy = context.directory.copies.find(flow);
  if (copy == context.directory.copies.end()) return;
  if (copy->second.owner == owner) return PostponeTakeover(context, owner);
  RemoveCopy(context.directory, flow);
}

// Queries the flows of unreachable owners: a single flow until the loss is confirmed, then all.
auto RetryTakeovers(StepContext& context) -> void {
  auto& directory = context.directory;
  if (directory.fenced || !directory.in_view) return;
  auto owners = directory.copied_owners;
  for (auto& known : owners) {
    auto* owner = FindCopiedOwner(directory, known.ref);
    if (owner == nullptr) continue;
    if (IsOutOfReach(directory, owner->ref)) {
      QueryOrphans(context, *owner);
    } else {
      owner->loss_confirmed = false;
      owner->backoff = {};
      owner->next_attempt = {};
    }
  }
}

auto ExpireCopies(StepContext& context) -> void {
  auto& directory = context.directory;
  auto old = std::vector<base::FlowKey>{};
  for (const auto& [flow, copy] : directory.copies) {
    if (context.now - copy.noted_at > directory.policy.copy_ttl) old.push_back(flow);
  }
  for (const auto& flow : old) RemoveCopy(directory, flow);
}

}  // namespace anvildrum::steering
