// Datagrams from the target.
#include <algorithm>

#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

auto SendBack(Context& context, const base::FlowKey& flow, Bytes bytes) -> void {
  context.effects.emplace_back(SendToTarget{flow, std::move(bytes)});
}

auto FindSent(Context& context, const base::FlowKey& flow, std::uint16_t message_id)
    -> LedgerEntry* {
  for (auto id : FlowOf(context, flow).live) {
    auto* entry = FindById(context.state.ledger, id);
    if (entry->started == base::TimePoint{}) continue;
    if (entry->target_message_id == message_id) return entry;
  }
  return nullptr;
}

// The target has accepted the request and answers later, so the client may stop retransmitting.
auto OnEmptyAck(Context& context, LedgerEntry& entry) -> void {
  if (entry.stage != Stage::kRunning) return;
  if (entry.identity.origin.value != 0 || entry.type != MessageType::kConfirmable) return;
  // Safeguard: the answer to a read is always piggybacked on the ACK of its own message ID. A late
  // copy of a read runs again. A separate answer, matched by token alone, could be taken for the
  // answer to a later request with the same token.
  if (entry.method == MethodClass::kSafe && !entry.observe) return;
  entry.acknowledged = true;
  context.effects.emplace_back(
      SendToClient{entry.identity.flow, BuildEmptyAck(entry.identity.message_id)});
}

auto OnReset(Context& context, LedgerEntry& entry) -> void {
  if (entry.stage == Stage::kObserving) {
    return EndStream(context, entry, Counter::kStreamEnded);
  }
  FinishUnknown(context, entry, Counter::kUnknownTargetGone);
}

auto OnEmpty(Context& context, const base::FlowKey& flow, const Message& message) -> void {
  if (message.type == MessageType::kConfirmable) {
    return SendBack(context, flow, BuildReset(message.message_id));
  }
  auto* entry = FindSent(context, flow, message.message_id);
  if (entry == nullptr) return CountOne(context, Counter::kUnexpectedFromTarget);
  if (message.type == MessageType::kAcknowledgement) return OnEmptyAck(context, *entry);
  OnReset(context, *entry);
}

// Safeguard: if the late answer to a finished request were forwarded, its client would get two
// outcomes, or a later request with the same token would get it.
auto DropLate(Context& context, const base::FlowKey& flow, const Message& message) -> void {
  CountOne(context, Counter::kLateAnswer);
  if (message.type != MessageType::kConfirmable) return;
  SendBack(context, flow, BuildReset(message.message_id));
}

auto OpensStream(const LedgerEntry& entry, const Message& message) -> bool {
  return entry.observe && message.observe.has_value();
}

auto OnAnswer(Context& context, LedgerEntry& entry, const Message& message) -> void {
  if (OpensStream(entry, message)) return OnNotification(context, entry, message);
  if (AnswersInAck(entry) && message.type == MessageType::kConfirmable) {
    SendBack(context, entry.identity.flow, BuildEmptyAck(message.message_id));
  }
  FinishAnswered(context, entry, message);
}

auto IsRetransmission(Context& context, const LedgerEntry& entry, const Message& message) -> bool {
  auto& flow = FlowOf(context, entry.identity.flow);
  return message.type == MessageType::kConfirmable &&
         FindForwardedByTarget(flow, entry.id, message.message_id) != nullptr;
}

auto OnResponse(Context& context, const base::FlowKey& flow, const Message& message) -> void {
  auto* entry = FindById(context.state.ledger, IdOfToken(message.token));
  if (entry == nullptr || entry->identity.flow != flow) {
    return DropLate(context, flow, message);
  }
  if (entry->stage == Stage::kRunning) return OnAnswer(context, *entry, message);
  if (entry->stage == Stage::kObserving) return OnNotification(context, *entry, message);
  if (entry->stage == Stage::kAnswered && IsRetransmission(context, *entry, message)) {
    ForwardToClient(context, *entry, message);
    return;
  }
  DropLate(context, flow, message);
}

}  // namespace

auto OnTargetDatagram(Context& context, const TargetDatagram& event) -> void {
  auto message = ParseMessage(event.bytes);
  if (!message) return CountOne(context, Counter::kTargetMalformed);
  if (message->code == kCodeEmpty) return OnEmpty(context, event.flow, *message);
  if (IsResponse(*message)) return OnResponse(context, event.flow, *message);
  CountOne(context, Counter::kUnexpectedFromTarget);
}

}  // namespace anvildrum::requests
