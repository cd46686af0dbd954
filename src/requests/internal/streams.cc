// Observations (RFC 7641) and the message IDs of messages initiated by the target.
#include <algorithm>

#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

constexpr auto kMaxForwarded = std::size_t{32};
// RFC 7641, 3.4: a sequence number has 24 bits and is newer within half of that range, or after
// this much time whatever its value.
constexpr auto kSequenceHalf = std::uint32_t{1} << 23;
constexpr auto kSequenceTime = base::seconds(128);
constexpr auto kSuccessClass = 2;

auto IsFresh(const LedgerEntry& entry, std::uint32_t sequence, base::TimePoint now) -> bool {
  auto last = entry.notification_sequence;
  if (last < sequence) return sequence - last < kSequenceHalf;
  if (last > sequence && last - sequence > kSequenceHalf) return true;
  return now > entry.notified + kSequenceTime;
}

auto RecordNotification(Context& context, LedgerEntry& entry, const Message& message) -> void {
  entry.notification_sequence = message.observe.value_or(entry.notification_sequence);
  entry.notification_message_id = message.message_id;
  entry.notified = context.now;
}

auto ForwardNotification(Context& context, LedgerEntry& entry, const Message& message) -> void {
  if (message.type == MessageType::kAcknowledgement) {
    auto form = ReplyFormOf(context, RequesterOf(entry));
    context.effects.emplace_back(SendToClient{
        entry.identity.flow,
        WithIdentity(message.whole, form.type, form.message_id, entry.identity.token)});
    return;
  }
  ForwardToClient(context, entry, message);
  auto waits = entry.timer_due != base::TimePoint{};
  if (message.type != MessageType::kConfirmable || waits) return;
  SetEntryTimer(context, entry, context.now + context.state.parameters.stream_ack_limit);
}

// Safeguard: a client drops a notification whose number is not newer than the last one (RFC 7641,
// 3.4), and each target has its own numbers. After a move the client would show no updates for 128
// s.
auto ForwardWithClientSequence(Context& context, LedgerEntry& entry, const Message& message)
    -> void {
  if (!message.observe) return ForwardNotification(context, entry, message);
  SetSequenceOffset(entry, *message.observe);
  if (entry.sequence_offset == 0) return ForwardNotification(context, entry, message);
  auto bytes = WithObserve(message, ClientSequence(entry, *message.observe));
  ForwardNotification(context, entry, *ParseMessage(bytes));
}

// The first answer ends the request. The stream keeps the flow's socket but no slot.
auto OpenStream(Context& context, LedgerEntry& entry, std::uint8_t code) -> void {
  RecordServiceTime(context, entry, code);
  RemoveLive(context, entry);
  ApplyTransition(context, entry, Transition::kOpenStream);
  FlowOf(context, entry.identity.flow).live.push_back(entry.id);
  CountOne(context, Counter::kStreamOpened);
  CountOne(context, Counter::kAnswered);
  MarkTrace(context, entry, Mark::kAnswered);
}

auto IsStale(const Context& context, const LedgerEntry& entry, const Message& message) -> bool {
  return message.observe && message.type != MessageType::kAcknowledgement &&
         !IsFresh(entry, *message.observe, context.now);
}

auto DropStale(Context& context, const LedgerEntry& entry, const Message& message) -> void {
  CountOne(context, Counter::kStaleNotification);
  if (message.type != MessageType::kConfirmable) return;
  context.effects.emplace_back(
      SendToTarget{entry.identity.flow, BuildEmptyAck(message.message_id)});
}

auto EndsStream(const Message& message) -> bool {
  return !message.observe || message.code >> 5 != kSuccessClass;
}

}  // namespace

auto OnNotification(Context& context, LedgerEntry& entry, const Message& message) -> void {
  auto& flow = FlowOf(context, entry.identity.flow);
  if (entry.stage == Stage::kRunning) {
    OpenStream(context, entry, message.code);
  } else if (FindForwardedByTarget(flow, entry.id, message.message_id) == nullptr &&
             IsStale(context, entry, message)) {
    return DropStale(context, entry, message);
  }
  ForwardWithClientSequence(context, entry, message);
  if (EndsStream(message)) return EndStream(context, entry, Counter::kStreamEnded);
  RecordNotification(context, entry, message);
}

auto EndStream(Context& context, LedgerEntry& entry, Counter counter) -> void {
  CountOne(context, counter);
  RemoveLive(context, entry);
  // The entry is kept without an answer, so that a late copy of the registration does not reopen
  // the stream.
  ApplyTransition(context, entry, Transition::kAnswer);
  SetRequestBytes(context.state.ledger, entry, {});
  KeepUntil(context.state.ledger, entry, context.now + kExchangeLifetime);
}

auto OnStreamTimer(Context& context, LedgerEntry& entry) -> void {
  // A target that sends confirmable notifications also waits for their ACKs. The RST makes it drop
  // the stream at once rather than after its own retransmissions (RFC 7641, 3.6).
  context.effects.emplace_back(
      SendToTarget{entry.identity.flow, BuildReset(entry.notification_message_id)});
  EndStream(context, entry, Counter::kStreamClientGone);
}

auto CancelPending(Context& context, const Message& message, const Requester& requester) -> void {
  auto& ledger = context.state.ledger;
  auto live = FlowOf(context, requester.identity.flow).live;
  for (auto id : live) {
    auto& entry = *FindById(ledger, id);
    auto is_it = entry.observe && entry.identity.token == requester.identity.token &&
                 entry.path_digest == message.path_digest;
    if (!is_it) continue;
    if (entry.stage == Stage::kQueued) FinishNotRun(context, entry, Counter::kStreamEnded);
    if (entry.stage != Stage::kRunning) continue;
    CancelAtTarget(context, entry);
    entry.observe = false;
  }
}

auto RefreshStream(Context& context, const Message& message, const Requester& requester) -> bool {
  auto& ledger = context.state.ledger;
  auto matches = [&](std::uint64_t id) {
    const auto& entry = ledger.entries.at(id);
    return entry.stage == Stage::kObserving && entry.identity.token == requester.identity.token &&
           entry.path_digest == message.path_digest;
  };
  const auto& live = FlowOf(context, requester.identity.flow).live;
  auto found = std::find_if(live.begin(), live.end(), matches);
  if (requester.identity.origin.value != 0 || found == live.end()) return false;
  auto& entry = *FindById(ledger, *found);
  AddIdentity(ledger, entry, requester.identity);
  entry.type = requester.type;
  entry.acknowledged = false;
  entry.content_digest = message.content_digest;
  SetRequestBytes(ledger, entry, message.whole);
  if (message.observe != 0U) {
    // The client cancels the observation, so the next answer is a plain one.
    entry.observe = false;
    entry.admission_exempt = true;
    ApplyTransition(context, entry, Transition::kCancelStream);
    entry.started = context.now;
    SetEntryTimer(context, entry, context.now + context.state.parameters.run_limit);
  }
  SendRequest(context, entry);
  return true;
}

auto FindForwardedByTarget(FlowState& flow, std::uint64_t request, std::uint16_t target_side)
    -> ForwardedMessage* {
  for (auto& forwarded : flow.forwarded) {
    if (forwarded.request == request && forwarded.target_side == target_side) return &forwarded;
  }
  return nullptr;
}

auto FindForwardedByClient(FlowState& flow, std::uint16_t client_side) -> ForwardedMessage* {
  for (auto& forwarded : flow.forwarded) {
    if (forwarded.client_side == client_side) return &forwarded;
  }
  return nullptr;
}

auto RecordForwarded(FlowState& flow, const ForwardedMessage& message) -> void {
  if (flow.forwarded.size() < kMaxForwarded) {
    flow.forwarded.push_back(message);
    return;
  }
  flow.forwarded[flow.forwarded_next] = message;
  flow.forwarded_next = (flow.forwarded_next + 1) % kMaxForwarded;
}

auto ForwardToClient(Context& context, LedgerEntry& entry, const Message& message) -> Bytes {
  auto& flow = FlowOf(context, entry.identity.flow);
  auto* known = FindForwardedByTarget(flow, entry.id, message.message_id);
  auto client_side = std::uint16_t{0};
  if (known != nullptr) {
    client_side = known->client_side;
  } else {
    client_side = flow.next_client_message_id++;
    RecordForwarded(flow, {client_side, message.message_id, entry.id});
  }
  auto bytes = WithIdentity(message.whole, message.type, client_side, entry.identity.token);
  context.effects.emplace_back(SendToClient{entry.identity.flow, bytes});
  return bytes;
}

}  // namespace anvildrum::requests
