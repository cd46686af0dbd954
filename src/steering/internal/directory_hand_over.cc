// Both sides of a hand-over, in which a flow moves from its owner to another target.
// docs/design/handover.md explains the protocol.
#include <algorithm>

#include "steering/internal/directory_parts.h"
#include "wire/convert.h"

namespace anvildrum::steering {
namespace {

auto MillisecondsSince(base::TimePoint then, base::TimePoint now) -> std::uint64_t {
  return std::chrono::duration_cast<base::milliseconds>(now - then).count();
}

auto HasFreeSlot(const TargetLoad& load) -> bool {
  return load.in_flight < std::max(load.slots, 1U);
}

auto MayBeOffered(const OutgoingHandOver& offer, base::TargetId target, const TargetLoad& load)
    -> bool {
  auto refused = std::ranges::any_of(offer.refused_by,
                                     [&](const TargetRef& ref) { return ref.target == target; });
  if (refused) return false;
  return offer.reason == HandOverReason::kDrain || HasFreeSlot(load);
}

// Chooses a target as for a new flow, except those that have refused this one.
auto ChooseTarget(StepContext& context, const base::FlowKey& flow, const OutgoingHandOver& offer)
    -> PeerTarget* {
  auto& directory = context.directory;
  FillLoads(context);
  const auto& candidates = directory.candidates.candidates;
  for (auto i = std::size_t{0}; i < candidates.size(); ++i) {
    auto& load = directory.load_scratch[i];
    auto own = candidates[i].target == directory.self.target;
    if (own || !MayBeOffered(offer, candidates[i].target, load)) load.eligible = false;
  }
  auto home = FindFirstHome(directory.candidates, base::HashFlow(flow));
  auto request = PlacementRequest{directory.load_scratch, home, 0};
  auto index = Place(directory.policy.placement, request, directory.random);
  if (index == kNoTarget) return nullptr;
  return FindPeer(directory, candidates[index].target);
}

auto SendOffer(StepContext& context, const base::FlowKey& flow, OutgoingHandOver& offer) -> void {
  auto& directory = context.directory;
  offer.next_send = context.now + directory.policy.hand_over_retry;
  auto* peer = FindPeer(directory, offer.to);
  if (peer == nullptr) return;
  auto header = MakeHeader(directory);
  auto* message = header.mutable_hand_over();
  wire::WriteFlow(flow, *message->mutable_flow());
  WriteRef(directory.self, *message->mutable_from());
  WriteRef(offer.to, *message->mutable_to());
  message->set_attempt(offer.attempt);
  wire::WriteEndpoint(offer.flow.balancer, *message->mutable_balancer());
  message->set_age_ms(MillisecondsSince(offer.flow.opened, context.now));
  message->set_idle_ms(MillisecondsSince(offer.flow.last_from_client, context.now));
  WriteLineage(offer.flow.lineage, *message->mutable_lineage());
  message->set_settled(offer.accepted);
  directory.counters.control_bytes += header.ByteSizeLong();
  auto record = offer.accepted ? wire::BytesView{} : wire::BytesView(offer.record);
  context.effects.sends.push_back({peer->tunnel, std::move(header), record});
}

// No target has accepted the flow; it continues to be served here.
auto CancelOffer(StepContext& context, const base::FlowKey& flow) -> void {
  auto& directory = context.directory;
  auto node = directory.outgoing.extract(flow);
  auto* owned = FindOwned(directory, flow);
  if (node.empty() || owned == nullptr) return;
  ++directory.counters.hand_overs_taken_back;
  owned->offered = false;
  owned->next_offer = context.now + directory.policy.hand_over_backoff;
  for (auto& held : node.mapped().held) {
    context.effects.held.push_back(std::move(held.payload));
    AcceptPacket(context, {flow, held.packet, context.effects.held.back(), {}});
  }
}

// Offers the flow to the next target, or cancels the offer if there is none.
auto OfferNext(StepContext& context, const base::FlowKey& flow, OutgoingHandOver& offer) -> void {
  auto* peer = ChooseTarget(context, flow, offer);
  if (peer == nullptr) return CancelOffer(context, flow);
  ++peer->load.flows;
  offer.to = peer->ref;
  offer.attempt = ++context.directory.sequence;
  offer.started = context.now;
  SendOffer(context, flow, offer);
}

// Safeguard: a target that does not answer may have accepted the flow. The flow is offered
// elsewhere or served here again only when the target is certainly gone. A target that is merely
// suspect delays the flow for a limited time, as an unreachable owner does.
auto IsExpired(StepContext& context, const OutgoingHandOver& offer) -> bool {
  auto* peer = FindPeer(context.directory, offer.to);
  if (peer == nullptr) return true;
  auto waited = context.now - offer.started;
  return peer->suspect && waited > context.directory.policy.hand_over_timeout;
}

auto ContinueOffer(StepContext& context, const base::FlowKey& flow, OutgoingHandOver& offer)
    -> void {
  auto& outgoing = context.directory.outgoing;
  if (IsExpired(context, offer)) {
    if (offer.accepted) {
      outgoing.erase(flow);
    } else {
      CancelOffer(context, flow);
    }
    return;
  }
  if (context.now >= offer.next_send) SendOffer(context, flow, offer);
}

auto IsRegistered(const Directory& directory, const base::FlowKey& flow) -> bool {
  auto owned = directory.owned.find(flow);
  // If the flow has moved on or ended, that is registered separately.
  if (owned == directory.owned.end() || owned->second.closing) return true;
  auto home = HomeOf(directory, flow);
  const auto& first = owned->second.first;
  return home && (*home == directory.self || (first.home == *home && !first.queued));
}

auto AcknowledgeOffer(StepContext& context, const base::Endpoint& to,
                      const wire::pb::HandOver& message, bool accepted) -> void {
  auto flow = wire::ReadFlow(message.flow());
  auto header = MakeHeader(context.directory);
  auto* ack = header.mutable_hand_over_ack();
  *ack->mutable_flow() = message.flow();
  *ack->mutable_from() = message.from();
  *ack->mutable_to() = message.to();
  ack->set_attempt(message.attempt());
  ack->set_accepted(accepted);
  ack->set_registered(accepted && IsRegistered(context.directory, *flow));
  SendControl(context, to, header);
}

auto ReleasePending(StepContext& context, const base::FlowKey& flow) -> void {
  auto node = context.directory.pending.extract(flow);
  if (node.empty()) return;
  for (auto& held : node.mapped().held) {
    context.effects.held.push_back(std::move(held.payload));
    AcceptPacket(context, {flow, held.packet, context.effects.held.back(), {}});
  }
}

auto TakeOver(StepContext& context, const base::FlowKey& flow, const HandOverArrived& event)
    -> void {
  auto& directory = context.directory;
  const auto& message = event.header->hand_over();
  directory.known.erase(flow);
  auto& owned = directory.owned[flow];
  owned = OwnedFlow{};
  owned.opened = context.now - base::milliseconds(message.age_ms());
  owned.last_from_client = context.now - base::milliseconds(message.idle_ms());
  owned.last_used = context.now;
  if (auto balancer = wire::ReadEndpoint(message.balancer())) owned.balancer = *balancer;
  owned.stamp = ++directory.stamp;
  owned.lineage = ReadLineage(message.lineage());
  ++directory.counters.taken_over;
  context.effects.taken.push_back({flow, event.record});
  EnqueueRegistration(directory, flow, owned);
  ReleasePending(context, flow);
}

auto CanTakeOver(const Directory& directory, const HandOverArrived& event) -> bool {
  return event.acceptable && directory.in_view && !directory.draining && !IsFull(directory);
}

auto DecideOffer(StepContext& context, const base::FlowKey& flow, const HandOverArrived& event)
    -> bool {
  auto& directory = context.directory;
  auto* owned = FindOwned(directory, flow);
  // Safeguard: this agent has offered the flow itself, perhaps to the sender of this offer, which
  // has accepted it and offers it back before its acceptance has arrived here. If this offer were
  // accepted, both would drop the flow when that acceptance arrives. After a refusal the sender
  // continues to serve it.
  if (owned != nullptr && owned->offered) return false;
  // There are two owners after a network partition; the old one drops the flow.
  if (owned != nullptr) return !owned->closing;
  if (CanTakeOver(directory, event)) {
    TakeOver(context, flow, event);
    return true;
  }
  ++directory.counters.hand_overs_refused;
  return false;
}

}  // namespace

auto CanHandOver(const Directory& directory, const base::FlowKey& flow, base::TimePoint now)
    -> bool {
  if (directory.fenced || !directory.in_view) return false;
  auto found = directory.owned.find(flow);
  if (found == directory.owned.end()) return false;
  const auto& owned = found->second;
  if (now < owned.next_offer) return false;
  auto home = HomeOf(directory, flow);
  // Safeguard: a home that does not know the flow at all would open it again beside the new owner
  // once the old owner is gone.
  auto known =
      home && (*home == directory.self || (owned.first.home == *home && !owned.first.queued));
  return known && !owned.closing && !owned.offered && !directory.outgoing.contains(flow);
}

auto OfferFlow(StepContext& context, const FlowOffered& event) -> void {
  auto& directory = context.directory;
  if (!CanHandOver(directory, event.flow, context.now)) return;
  auto& owned = *FindOwned(directory, event.flow);
  auto& offer = directory.outgoing[event.flow];
  offer.reason = event.reason;
  offer.record = event.record;
  offer.flow = owned;
  ExtendLineage(offer.flow.lineage, directory.self);
  // From here on nothing is delivered or sent to the client, so that the flow has one owner at any
  // time.
  owned.offered = true;
  OfferNext(context, event.flow, offer);
}

auto HandleHandOver(StepContext& context, const HandOverArrived& event) -> void {
  auto& directory = context.directory;
  const auto& message = event.header->hand_over();
  auto flow = wire::ReadFlow(message.flow());
  if (!flow) {
    ++directory.counters.malformed;
    return;
  }
  // Safeguard: an offer that waited in the socket of a paused process may have been withdrawn
  // since.
  if (flow->service != directory.service || directory.fenced) return;
  auto from = ReadRef(message.from());
  auto* peer = FindPeer(directory, from);
  if (peer == nullptr || ReadRef(message.to()) != directory.self) {
    ++directory.counters.stale_sender;
    return;
  }
  // Safeguard: a duplicate of an offer that was answered long ago would open the flow a second
  // time, after it has ended here or moved on.
  auto& last = directory.incoming[*flow];
  auto repeated = last.from == from && message.attempt() <= last.attempt;
  if (repeated && message.attempt() < last.attempt) return;
  last.at = context.now;
  if (!repeated && !message.settled()) {
    last.from = from;
    last.attempt = message.attempt();
    last.accepted = DecideOffer(context, *flow, event);
  }
  AcknowledgeOffer(context, peer->tunnel, message, message.settled() || last.accepted);
}

auto HandleHandOverAck(StepContext& context, const wire::pb::HandOverAck& ack) -> void {
  auto& directory = context.directory;
  auto flow = wire::ReadFlow(ack.flow());
  if (!flow) return;
  auto found = directory.outgoing.find(*flow);
  if (found == directory.outgoing.end()) return;
  auto& offer = found->second;
  if (offer.attempt != ack.attempt() || ReadRef(ack.from()) != directory.self) return;
  if (!ack.accepted()) {
    if (offer.accepted) return;
    offer.refused_by.push_back(offer.to);
    OfferNext(context, *flow, offer);
    return;
  }
  if (!offer.accepted) CompleteHandOver(context, *flow, offer.to);
  if (ack.registered()) directory.outgoing.erase(*flow);
}

auto RetryHandOvers(StepContext& context) -> void {
  auto& directory = context.directory;
  if (directory.fenced) return;
  auto flows = std::vector<base::FlowKey>{};
  for (const auto& [flow, offer] : directory.outgoing) flows.push_back(flow);
  std::ranges::sort(flows);
  for (const auto& flow : flows) ContinueOffer(context, flow, directory.outgoing.at(flow));
}

auto HoldForHandOver(StepContext& context, const PacketArrival& arrival) -> void {
  auto& directory = context.directory;
  auto& held = directory.outgoing.at(arrival.flow).held;
  if (held.size() >= directory.policy.held_packets_per_flow) {
    ++directory.counters.held_dropped;
    return;
  }
  held.push_back({arrival.packet, {arrival.payload.begin(), arrival.payload.end()}});
}

auto CompleteHandOver(StepContext& context, const base::FlowKey& flow, const TargetRef& owner)
    -> void {
  auto& directory = context.directory;
  auto& offer = directory.outgoing.at(flow);
  offer.accepted = true;
  offer.record.clear();
  directory.owned.erase(flow);
  ++directory.counters.handed_over;
  context.effects.dropped.push_back({flow});
  auto known = KnownOwner{};
  known.owner = owner;
  known.opened = offer.flow.opened;
  known.noted_at = context.now;
  known.last_packet = context.now;
  known.lineage = offer.flow.lineage;
  directory.known[flow] = known;
  auto held = std::move(offer.held);
  offer.held.clear();
  for (auto& packet : held) {
    context.effects.held.push_back(std::move(packet.payload));
    AcceptPacket(context, {flow, packet.packet, context.effects.held.back(), {}});
  }
}

}  // namespace anvildrum::steering
