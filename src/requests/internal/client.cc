// Datagrams from the client.
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

auto IsAgentMessage(const LedgerEntry* entry, const ForwardedMessage& forwarded) -> bool {
  return entry != nullptr && entry->transmissions_left > 0 &&
         entry->client_message_id == forwarded.client_side;
}

auto StopRetransmitting(Context& context, LedgerEntry& entry) -> void {
  entry.transmissions_left = 0;
  SetEntryTimer(context, entry, {});
}

auto OnAcknowledged(Context& context, const base::FlowKey& flow, const ForwardedMessage& forwarded)
    -> void {
  auto* entry = FindById(context.state.ledger, forwarded.request);
  if (IsAgentMessage(entry, forwarded)) return StopRetransmitting(context, *entry);
  context.effects.emplace_back(SendToTarget{flow, BuildEmptyAck(forwarded.target_side)});
  if (entry != nullptr) entry->awaits_ack = false;
  // The ACK shows that the client of the stream is alive.
  if (entry != nullptr && entry->stage == Stage::kObserving) SetEntryTimer(context, *entry, {});
}

auto OnReset(Context& context, const base::FlowKey& flow, const ForwardedMessage& forwarded)
    -> void {
  auto* entry = FindById(context.state.ledger, forwarded.request);
  if (IsAgentMessage(entry, forwarded)) return StopRetransmitting(context, *entry);
  context.effects.emplace_back(SendToTarget{flow, BuildReset(forwarded.target_side)});
  if (entry != nullptr) entry->awaits_ack = false;
  if (entry == nullptr || entry->stage != Stage::kObserving) return;
  EndStream(context, *entry, Counter::kStreamClientGone);
}

auto OnAckOrReset(Context& context, const base::FlowKey& flow, const Message& message) -> void {
  auto* forwarded = FindForwardedByClient(FlowOf(context, flow), message.message_id);
  if (forwarded == nullptr || message.code != kCodeEmpty) {
    return CountOne(context, Counter::kUnexpectedFromClient);
  }
  auto found = *forwarded;
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
  // An empty CON is a ping (RFC 7252, 4.3). Other messages are rejected.
  if (message->code != kCodeEmpty) CountOne(context, Counter::kUnexpectedFromClient);
  if (message->type != MessageType::kConfirmable) return;
  SendBack(context, event.flow, BuildReset(message->message_id));
}

}  // namespace anvildrum::requests
