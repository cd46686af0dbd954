// Datagrams of the client.
#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

auto SendBack(Context& context, const base::FlowKey& flow, Bytes bytes) -> void {
  context.effects.emplace_back(SendToClient{flow, std::move(bytes)});
}

auto OnMalformed(Context& context, const ClientDatagram& event) -> void {
  CountOne(context, Counter::kClientMalformed);
  if (auto reset = ResetForMalformed(event.bytes)) {
    SendBack(context, event.flow, std::move(*reset));
  }
}

auto IsOwn(const LedgerEntry* entry, const ForwardedMessage& passed) -> bool {
  return entry != nullptr && entry->transmissions_left > 0 &&
         entry->client_message_id == passed.client_side;
}

auto StopResending(Context& context, LedgerEntry& entry) -> void {
  entry.transmissions_left = 0;
  SetEntryTimer(context, entry, {});
}

auto OnAcknowledged(Context& context, const base::FlowKey& flow, const ForwardedMessage& passed)
    -> void {
  auto* entry = FindById(context.state.ledger, passed.request);
  if (IsOwn(entry, passed)) return StopResending(context, *entry);
  context.effects.emplace_back(SendToTarget{flow, BuildEmptyAck(passed.target_side)});
  if (entry != nullptr) entry->awaits_ack = false;
  // The client of the stream is there.
  if (entry != nullptr && entry->stage == Stage::kObserving) SetEntryTimer(context, *entry, {});
}

auto OnReset(Context& context, const base::FlowKey& flow, const ForwardedMessage& passed) -> void {
  auto* entry = FindById(context.state.ledger, passed.request);
  if (IsOwn(entry, passed)) return StopResending(context, *entry);
  context.effects.emplace_back(SendToTarget{flow, BuildReset(passed.target_side)});
  if (entry != nullptr) entry->awaits_ack = false;
  if (entry == nullptr || entry->stage != Stage::kObserving) return;
  EndStream(context, *entry, Counter::kStreamClientGone);
}

auto OnAckOrReset(Context& context, const base::FlowKey& flow, const Message& message) -> void {
  auto* passed = FindForwardedByClient(FlowOf(context, flow), message.message_id);
  if (passed == nullptr || message.code != kCodeEmpty) {
    return CountOne(context, Counter::kUnexpectedFromClient);
  }
  auto found = *passed;
  if (message.type == MessageType::kReset) return OnReset(context, flow, found);
  OnAcknowledged(context, flow, found);
}

}  // namespace

auto OnClientDatagram(Context& context, const ClientDatagram& event) -> void {
  auto message = ParseMessage(event.bytes);
  if (!message) return OnMalformed(context, event);
  auto is_answer =
      message->type == MessageType::kAcknowledgement || message->type == MessageType::kReset;
  if (is_answer) return OnAckOrReset(context, event.flow, *message);
  if (IsRequest(*message)) {
    auto identity = RequestIdentity{event.flow, message->token, message->message_id, {}};
    auto left = context.state.parameters.queue_limit;
    return OnRequest(context, *message, {identity, message->type, 0}, left);
  }
  // An empty CON asks whether anyone is there (RFC 7252, 4.3); anything else is rejected.
  if (message->code != kCodeEmpty) CountOne(context, Counter::kUnexpectedFromClient);
  if (message->type != MessageType::kConfirmable) return;
  SendBack(context, event.flow, BuildReset(message->message_id));
}

}  // namespace anvildrum::requests
