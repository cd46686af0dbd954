#include <algorithm>

#include "steering/internal/directory_parts.h"
#include "wire/convert.h"

namespace anvildrum::steering {
namespace {

constexpr auto kMaxYieldAttempts = std::uint32_t{50};
constexpr auto kSimultaneousWindow = base::milliseconds(100);  // allows for network delay only

// A target's claim to own a flow.
struct Claim {
  TargetRef owner;
  base::TimePoint opened{};
  base::TimePoint last_from_client{};
  std::uint64_t stamp = 0;
  Lineage lineage;
};

auto HaveSameOpening(const Claim& one, const Claim& other) -> bool {
  if (one.lineage.stamp == 0 || one.lineage.stamp != other.lineage.stamp) return false;
  return one.lineage.opener == other.lineage.opener;
}

// Whether `claim` is from an owner that took the flow over, directly or not, from the owner of
// `other`, about which this home knows nothing else.
auto Follows(const Claim& claim, const Claim& other) -> bool {
  if (other.lineage.stamp != 0) return false;
  return std::ranges::count(claim.lineage.previous, other.owner) != 0;
}

// Whether the first claim takes precedence. The owner that received a client packet last has the
// client's current state; the other one was disconnected or paused in the meantime. If both
// received one, the older owner has more state to lose.
auto HasPrecedence(const Claim& one, const Claim& other) -> bool {
  if (Follows(one, other) != Follows(other, one)) return Follows(one, other);
  // Safeguard: the new owner of a flow that was handed over registers it while the home still names
  // the old owner. If the two were judged as competing owners, the one that serves the flow could
  // be told to drop it.
  if (HaveSameOpening(one, other)) return one.lineage.hand_overs > other.lineage.hand_overs;
  auto lead = one.last_from_client - other.last_from_client;
  if (lead > kSimultaneousWindow) return true;
  if (-lead > kSimultaneousWindow) return false;
  if (one.opened != other.opened) return one.opened < other.opened;
  return one.owner.target < other.owner.target;
}

auto DropOwnedFlow(StepContext& context, const base::FlowKey& flow) -> void {
  auto& directory = context.directory;
  directory.owned.erase(flow);
  directory.outgoing.erase(flow);
  ++directory.counters.yielded;
  context.effects.dropped.push_back({flow});
}

auto SendYield(StepContext& context, PendingYield& yield) -> void {
  yield.next_retry = context.now + context.directory.policy.register_retry;
  ++yield.attempts;
  auto* peer = FindPeer(context.directory, yield.loser);
  if (peer == nullptr) return;
  auto header = MakeHeader(context.directory);
  auto* message = header.mutable_yield();
  wire::WriteFlow(yield.flow, *message->mutable_flow());
  WriteRef(yield.loser, *message->mutable_loser());
  WriteRef(yield.winner, *message->mutable_winner());
  message->set_stamp(yield.stamp);
  SendControl(context, peer->tunnel, header);
}

auto RevokeClaim(StepContext& context, const base::FlowKey& flow, const Claim& loser,
                 const TargetRef& winner) -> void {
  auto& directory = context.directory;
  if (loser.owner == directory.self) {
    auto* own = FindOwned(directory, flow);
    if (own != nullptr && own->offered) return CompleteHandOver(context, flow, winner);
    DropOwnedFlow(context, flow);
    return;
  }
  // Safeguard: a decision against an unreachable owner may still be waiting when that owner is
  // heard again and wins. If it were still sent, both owners would drop the flow and nobody would
  // serve it.
  auto is_earlier = [&](const PendingYield& yield) {
    return yield.flow == flow && (yield.loser == loser.owner || yield.loser == winner);
  };
  std::erase_if(directory.yields, is_earlier);
  directory.yields.push_back({flow, loser.owner, winner, loser.stamp, context.now, 0});
  SendYield(context, directory.yields.back());
}

auto RecordOwner(StepContext& context, const base::FlowKey& flow, const Claim& claim) -> void {
  auto known = KnownOwner{};
  known.owner = claim.owner;
  known.opened = claim.opened;
  known.noted_at = context.now;
  known.last_packet = claim.last_from_client;
  known.stamp = claim.stamp;
  known.lineage = claim.lineage;
  RevokeLostClaim(context, flow, claim.owner);
  if (context.directory.pending.contains(flow)) {
    ResolveOwner(context, flow, known);
    return;
  }
  context.directory.known[flow] = known;
}

// Returns the claim of the owner that this home knows so far, if that owner is alive and is not
// `owner`.
auto OtherClaim(StepContext& context, const base::FlowKey& flow, const TargetRef& owner)
    -> std::optional<Claim> {
  auto& directory = context.directory;
  auto* own = FindOwned(directory, flow);
  if (own != nullptr && !own->closing) {
    return Claim{directory.self, own->opened, own->last_from_client, own->stamp, own->lineage};
  }
  auto known = directory.known.find(flow);
  if (known == directory.known.end()) return std::nullopt;
  const auto& entry = known->second;
  if (entry.tentative || entry.owner == owner) return std::nullopt;
  if (FindPeer(directory, entry.owner) == nullptr) return std::nullopt;
  return Claim{entry.owner, entry.opened, entry.last_packet, entry.stamp, entry.lineage};
}

auto ApplyRegistration(StepContext& context, const base::FlowKey& flow, const Claim& claim)
    -> void {
  auto other = OtherClaim(context, flow, claim.owner);
  if (!other) {
    RecordOwner(context, flow, claim);
    return;
  }
  ++context.directory.counters.conflicts;
  if (HasPrecedence(claim, *other)) {
    RevokeClaim(context, flow, *other, claim.owner);
    RecordOwner(context, flow, claim);
  } else {
    RevokeClaim(context, flow, claim, other->owner);
  }
}

// Safeguard: this home has handed the flow over, and the flow has ended at its new owner before the
// acceptance arrived here. If the acceptance were processed afterwards, the home would send the
// client's next packets to an agent that has discarded the flow and returns them, indefinitely.
auto CompleteEndedOffer(StepContext& context, const base::FlowKey& flow, const TargetRef& owner)
    -> void {
  auto& directory = context.directory;
  auto offer = directory.outgoing.find(flow);
  if (offer == directory.outgoing.end() || offer->second.to != owner) return;
  if (!offer->second.accepted) CompleteHandOver(context, flow, owner);
  directory.outgoing.erase(flow);
}

auto ApplyEnd(StepContext& context, const base::FlowKey& flow, const TargetRef& owner,
              std::uint64_t stamp) -> void {
  auto& directory = context.directory;
  CompleteEndedOffer(context, flow, owner);
  auto known = directory.known.find(flow);
  if (known == directory.known.end() || known->second.owner != owner) return;
  if (known->second.stamp != 0 && known->second.stamp != stamp) return;
  directory.known.erase(known);
}

auto ApplyBatch(StepContext& context, const wire::pb::Register& message, const TargetRef& owner)
    -> void {
  auto& directory = context.directory;
  for (const auto& registration : message.flows()) {
    auto client = wire::ReadEndpoint(registration.client());
    if (!client) {
      ++directory.counters.malformed;
      continue;
    }
    auto flow = base::FlowKey{*client, directory.service};
    if (registration.ended()) {
      ApplyEnd(context, flow, owner, registration.stamp());
      continue;
    }
    auto claim = Claim{owner, context.now - base::milliseconds(registration.age_ms()),
                       context.now - base::milliseconds(registration.idle_ms()),
                       registration.stamp(), ReadLineage(registration.lineage())};
    ApplyRegistration(context, flow, claim);
  }
}

}  // namespace

auto HandleRegister(StepContext& context, const wire::pb::Register& message) -> void {
  auto& directory = context.directory;
  auto* peer = FindPeer(directory, ReadRef(message.owner()));
  auto home = ReadRef(message.home());
  if (message.service() != directory.service.value || home != directory.self || peer == nullptr) {
    ++directory.counters.stale_sender;
    return;
  }
  // Safeguard: a duplicate of an earlier batch could end a flow that was opened since.
  if (message.sequence() > peer->applied) {
    peer->applied = message.sequence();
    ApplyBatch(context, message, peer->ref);
    if (message.settled()) peer->settled_view = message.view();
  }
  auto header = MakeHeader(directory);
  auto* ack = header.mutable_register_ack();
  ack->set_service(directory.service.value);
  ack->set_sequence(message.sequence());
  WriteRef(directory.self, *ack->mutable_home());
  SendControl(context, peer->tunnel, header);
}

auto LostOwnerOf(const Directory& directory, const base::FlowKey& flow) -> LostOwner {
  auto found = directory.known.find(flow);
  if (found == directory.known.end()) return {};
  const auto& known = found->second;
  // Without a stamp the owner's registration is still to come, and will be judged when it arrives.
  if (known.tentative || known.stamp == 0) return known.lost;
  return {known.owner, known.stamp};
}

auto RevokeLostClaim(StepContext& context, const base::FlowKey& flow, const TargetRef& winner)
    -> void {
  auto lost = LostOwnerOf(context.directory, flow);
  if (lost.stamp == 0 || lost.owner == winner) return;
  if (FindPeer(context.directory, lost.owner) == nullptr) return;
  RevokeClaim(context, flow, {lost.owner, {}, {}, lost.stamp, {}}, winner);
}

auto HandleYield(StepContext& context, const base::Endpoint& from, const wire::pb::Yield& message)
    -> void {
  auto& directory = context.directory;
  auto flow = wire::ReadFlow(message.flow());
  if (!flow || ReadRef(message.loser()) != directory.self) return;
  auto* owned = FindOwned(directory, *flow);
  // Safeguard: a late duplicate must not end a flow that was opened here afterwards.
  if (owned != nullptr && owned->stamp == message.stamp() && owned->offered) {
    CompleteHandOver(context, *flow, ReadRef(message.winner()));
  } else if (owned != nullptr && owned->stamp == message.stamp()) {
    DropOwnedFlow(context, *flow);
    auto known = KnownOwner{};
    known.owner = ReadRef(message.winner());
    known.opened = context.now;
    known.noted_at = context.now;
    known.last_packet = context.now;
    directory.known[*flow] = known;
  }
  auto header = MakeHeader(directory);
  auto* ack = header.mutable_yield_ack();
  *ack->mutable_flow() = message.flow();
  *ack->mutable_loser() = message.loser();
  ack->set_stamp(message.stamp());
  SendControl(context, from, header);
}

auto HandleYieldAck(StepContext& context, const wire::pb::YieldAck& message) -> void {
  auto flow = wire::ReadFlow(message.flow());
  if (!flow) return;
  auto loser = ReadRef(message.loser());
  std::erase_if(context.directory.yields, [&](const PendingYield& yield) {
    return yield.flow == *flow && yield.loser == loser && yield.stamp == message.stamp();
  });
}

auto RetryYields(StepContext& context) -> void {
  auto& directory = context.directory;
  std::erase_if(directory.yields, [&](const PendingYield& yield) {
    return yield.attempts >= kMaxYieldAttempts || FindPeer(directory, yield.loser) == nullptr;
  });
  for (auto& yield : directory.yields) {
    // An unreachable loser is told when it is reachable again.
    if (FindPeer(directory, yield.loser)->suspect) continue;
    if (context.now >= yield.next_retry) SendYield(context, yield);
  }
}

}  // namespace anvildrum::steering
