// Hand-over of a flow from a draining agent to another one, both sides.
#include "requests/hand_over.h"

#include <algorithm>

#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

// A client answers a challenge within a round trip. Its next retransmission comes after 3 s at the
// latest (RFC 7252, 4.8.2).
constexpr auto kChallengeAnswerTime = base::seconds(5);

auto TimeKept(const LedgerEntry& entry, base::TimePoint now) -> base::Duration {
  return now - (entry.expires - kExchangeLifetime);
}

// Safeguard: the target retransmits a lost separate answer until the client acknowledges it. If the
// flow moved before that, its client would get no final answer.
auto AwaitsClient(const LedgerEntry& entry, base::TimePoint now) -> bool {
  if (entry.transmissions_left > 0) return true;
  return entry.awaits_ack && TimeKept(entry, now) < kMaxTransmitWait;
}

auto BlocksHandOver(const LedgerEntry& entry, base::TimePoint now) -> bool {
  if (entry.stage == Stage::kObserving) return false;
  if (IsLive(entry.stage)) return true;
  if (entry.stage == Stage::kChallenged) return TimeKept(entry, now) < kChallengeAnswerTime;
  return AwaitsClient(entry, now);
}

auto BlocksHandOver(const FlowState& flow, base::TimePoint now) -> bool {
  return flow.transfer_until > now || (flow.upload && flow.upload->expires > now);
}

auto ToHandedOverRequest(const LedgerEntry& entry, base::TimePoint now) -> HandedOverRequest {
  auto handed = HandedOverRequest{};
  handed.token = entry.identity.token;
  handed.message_id = entry.identity.message_id;
  handed.was_challenged = entry.was_challenged;
  handed.challenged_token = entry.challenged.token;
  handed.challenged_message_id = entry.challenged.message_id;
  handed.type = entry.type;
  handed.method = entry.method;
  handed.stage = entry.stage == Stage::kChallenged ? Stage::kUnknown : entry.stage;
  handed.acknowledged = entry.acknowledged;
  handed.content_digest = entry.content_digest;
  handed.left = entry.expires - now;
  handed.answer = entry.answer;
  return handed;
}

// The client has not answered its challenge here. If it answers later, its value is foreign to the
// new owner. Both messages then get the same outcome.
auto SetUnknownAnswer(HandedOverRequest& handed, FlowRecord& record) -> void {
  auto confirmable = handed.type == MessageType::kConfirmable;
  auto type = confirmable ? MessageType::kAcknowledgement : MessageType::kNonConfirmable;
  auto message_id = confirmable ? handed.message_id : record.next_client_message_id++;
  handed.answer = BuildUnknown(type, message_id, handed.token);
}

auto AppendToRecord(FlowRecord& record, const LedgerEntry& entry, base::TimePoint now) -> void {
  if (entry.stage == Stage::kObserving) {
    record.streams.push_back(StreamOf(entry));
    return;
  }
  if (entry.expires <= now) return;
  auto handed = ToHandedOverRequest(entry, now);
  if (entry.stage == Stage::kChallenged) SetUnknownAnswer(handed, record);
  record.requests.push_back(std::move(handed));
}

auto ImportRequest(Context& context, const base::FlowKey& flow, const HandedOverRequest& handed)
    -> void {
  auto& ledger = context.state.ledger;
  auto identity = RequestIdentity{flow, handed.token, handed.message_id, {}};
  auto entry = LedgerEntry{};
  entry.challenged = {flow, handed.challenged_token, handed.challenged_message_id, {}};
  entry.was_challenged = handed.was_challenged;
  entry.identity = entry.was_challenged ? entry.challenged : identity;
  entry.type = handed.type;
  entry.method = handed.method;
  entry.stage = handed.stage;
  entry.acknowledged = handed.acknowledged;
  entry.content_digest = handed.content_digest;
  entry.answer = handed.answer;
  auto& kept = InsertRequest(ledger, std::move(entry));
  if (kept.identity != identity) AddIdentity(ledger, kept, identity);
  KeepUntil(ledger, kept, context.now + std::min(handed.left, base::Duration(kExchangeLifetime)));
}

// Registers the observation at this target, exempt from admission and without a slot, because the
// client was admitted by an earlier owner. The first answer is sent as a notification: the client's
// request was answered long ago, so there is nothing to acknowledge.
auto ImportStream(Context& context, const base::FlowKey& flow, const HandedOverStream& handed)
    -> LedgerEntry* {
  auto request = ParseMessage(handed.request);
  if (!request || !IsRequest(*request)) {
    CountOne(context, Counter::kClientMalformed);
    return nullptr;
  }
  auto entry = LedgerEntry{};
  entry.identity = {flow, request->token, request->message_id, {}};
  entry.type = MessageType::kNonConfirmable;
  entry.method = MethodClassOf(request->code);
  entry.content_digest = request->content_digest;
  entry.path_digest = request->path_digest;
  entry.arrived = context.now;
  entry.deadline = context.now;
  entry.request = handed.request;
  entry.observe = true;
  entry.admission_exempt = true;
  entry.sequence_offset = handed.sequence;
  entry.sequence_offset_pending = true;
  return &InsertRequest(context.state.ledger, std::move(entry));
}

auto ResumeStream(Context& context, const base::FlowKey& flow, const HandedOverStream& handed)
    -> void {
  if (auto* entry = ImportStream(context, flow, handed)) Admit(context, *entry);
}

// Ends the observation with an error under the client's token, retransmitted until acknowledged, as
// after the loss of a target.
auto RefuseStream(Context& context, const base::FlowKey& flow, const HandedOverStream& handed)
    -> void {
  auto* entry = ImportStream(context, flow, handed);
  if (entry == nullptr) return;
  ApplyTransition(context, *entry, Transition::kSend);
  ApplyTransition(context, *entry, Transition::kOpenStream);
  FinishNotRun(context, *entry, Counter::kStreamEnded);
}

}  // namespace

auto IndexLedger(const State& state) -> FlowLedgers {
  auto ledgers = FlowLedgers{};
  for (const auto& [id, entry] : state.ledger.entries) {
    if (entry.identity.origin.value == 0) ledgers[entry.identity.flow].push_back(id);
  }
  return ledgers;
}

auto ExportFlow(const State& state, const FlowLedgers& ledgers, const base::FlowKey& key,
                base::TimePoint now) -> std::optional<FlowRecord> {
  auto record = FlowRecord{};
  auto flow = state.flows.find(key);
  if (flow == state.flows.end()) return record;
  if (BlocksHandOver(flow->second, now)) return std::nullopt;
  record.next_client_message_id = flow->second.next_client_message_id;
  record.quarantine_left = std::max(flow->second.adopted_until - now, base::Duration{});
  auto ids = ledgers.find(key);
  if (ids == ledgers.end()) return record;
  for (auto id : ids->second) {
    const auto& entry = state.ledger.entries.at(id);
    if (BlocksHandOver(entry, now)) return std::nullopt;
    AppendToRecord(record, entry, now);
  }
  return record;
}

auto HasRoomFor(const State& state, const FlowRecord& record) -> bool {
  auto bytes = std::size_t{0};
  for (const auto& handed : record.requests) bytes += kLedgerEntryBytes + handed.answer.size();
  for (const auto& handed : record.streams) bytes += kLedgerEntryBytes + handed.request.size();
  return state.ledger.bytes + bytes <= state.parameters.ledger_bytes;
}

auto OnFlowAdopted(Context& context, const FlowAdopted& event) -> void {
  auto& flow = FlowOf(context, event.flow);
  const auto& record = *event.record;
  flow.echo_floor = context.state.mint.last_issue;
  flow.next_client_message_id = record.next_client_message_id;
  flow.adopted_until = context.now + record.quarantine_left;
  for (const auto& handed : record.requests) ImportRequest(context, event.flow, handed);
  for (const auto& handed : record.streams) {
    if (event.served) ResumeStream(context, event.flow, handed);
    if (!event.served) RefuseStream(context, event.flow, handed);
  }
  if (event.served) return;
  context.effects.emplace_back(CloseFlow{event.flow, CloseReason::kTargetGone});
}

auto StreamOf(const LedgerEntry& entry) -> HandedOverStream {
  return {entry.request, ClientSequence(entry, entry.notification_sequence)};
}

auto SetSequenceOffset(LedgerEntry& entry, std::uint32_t first) -> void {
  if (!entry.sequence_offset_pending) return;
  entry.sequence_offset_pending = false;
  entry.sequence_offset = (entry.sequence_offset + 1 - first) & kSequenceMask;
}

auto ClientSequence(const LedgerEntry& entry, std::uint32_t sequence) -> std::uint32_t {
  return (sequence + entry.sequence_offset) & kSequenceMask;
}

}  // namespace anvildrum::requests
