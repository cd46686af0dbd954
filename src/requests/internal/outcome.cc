// The three final outcomes and how each is sent.
#include <algorithm>

#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

constexpr auto kAckTimeout = base::seconds(2);  // RFC 7252, 4.8
constexpr auto kMaxSends = std::uint8_t{5};     // the first and MAX_RETRANSMIT more

auto HadAnswer(const LedgerEntry& entry) -> bool {
  return entry.acknowledged || entry.stage == Stage::kObserving;
}

// The client no longer waits for an ACK: the outcome goes out as a CON of the agent's own.
auto OwnConfirmable(Context& context, LedgerEntry& entry) -> ReplyForm {
  auto& flow = FlowOf(context, entry.identity.flow);
  entry.client_message_id = flow.next_client_message_id++;
  entry.transmissions_left = kMaxSends - 1;
  RecordForwarded(flow, {entry.client_message_id, 0, entry.id});
  return {MessageType::kConfirmable, entry.client_message_id};
}

auto FormFor(Context& context, LedgerEntry& entry) -> ReplyForm {
  if (entry.identity.origin.value == 0 && HadAnswer(entry)) return OwnConfirmable(context, entry);
  return ReplyFormOf(context, AskerOf(entry));
}

auto MustBeKept(const LedgerEntry& entry) -> bool {
  // A copy of a read that ran out of its time would run once more, with all of that time again.
  auto missed_deadline = entry.client_deadline != kNoDeadline && entry.stage == Stage::kUnknown;
  // A copy of a NON is to be dropped (RFC 7252, 4.3); its answer would be matched by token alone.
  return missed_deadline || entry.method != MethodClass::kSafe || entry.transmissions_left > 0 ||
         entry.type == MessageType::kNonConfirmable;
}

auto Settle(Context& context, LedgerEntry& entry, Transition outcome, Bytes answer) -> void {
  auto& state = context.state;
  EndLive(context, entry);
  MoveOn(context, entry, outcome);
  Reply(context, AskerOf(entry), outcome == Transition::kRefuse, answer);
  if (!MustBeKept(entry)) return EraseRequest(state.ledger, entry.id);
  SetRequestBytes(state.ledger, entry, {});
  SetAnswerBytes(state.ledger, entry, std::move(answer));
  KeepUntil(state.ledger, entry, context.now + kExchangeLifetime);
  if (entry.transmissions_left > 0) SetEntryTimer(context, entry, context.now + kAckTimeout);
}

auto NoteTransfer(Context& context, const LedgerEntry& entry, const Message& answer) -> void {
  if (!answer.block2) return;
  auto& flow = FlowOf(context, entry.identity.flow);
  flow.transfer_path = entry.path_digest;
  flow.transfer_until = answer.block2->more ? context.now + context.state.parameters.transfer_idle
                                            : base::TimePoint{};
}

// A later block of a transfer is not shed: its flow has to stay where the transfer is.
auto NoteShed(Context& context, const LedgerEntry& entry, const Message& answer) -> void {
  if (answer.code != kCodeServiceUnavailable) return;
  if (entry.admission_exempt || entry.identity.origin.value != 0) return;
  context.effects.emplace_back(FlowShed{entry.identity.flow});
}

// A separate response of the target (RFC 7252, 5.2.2). The entry is kept, so that the target's
// retransmissions reach the client under the same message ID until it acknowledges one.
auto ForwardSeparateResponse(Context& context, LedgerEntry& entry, const Message& answer) -> void {
  auto& ledger = context.state.ledger;
  auto bytes = ForwardToClient(context, entry, answer);
  EndLive(context, entry);
  MoveOn(context, entry, Transition::kAnswer);
  SetRequestBytes(ledger, entry, {});
  if (entry.method != MethodClass::kSafe) SetAnswerBytes(ledger, entry, std::move(bytes));
  KeepUntil(ledger, entry, context.now + kExchangeLifetime);
  entry.awaits_ack = answer.type == MessageType::kConfirmable;
}

}  // namespace

auto AnswersInAck(const LedgerEntry& entry) -> bool {
  if (entry.identity.origin.value != 0) return true;
  return entry.type == MessageType::kConfirmable && !HadAnswer(entry);
}

// Safeguard: a target that refuses at once, or stops at its client's deadline, has run nothing to
// its end. Taken for a run, the slowest target would look like the fastest and draw new flows.
auto NoteServiceTime(Context& context, const LedgerEntry& entry, std::uint8_t code) -> void {
  if (!entry.holds_slot || code == kCodeServiceUnavailable) return;
  auto& admission = context.state.admission;
  const auto& parameters = context.state.parameters;
  auto taken = context.now - entry.started;
  auto was_cut = code == kCodeGatewayTimeout && entry.client_deadline != kNoDeadline;
  if (was_cut) return ObserveAbortedRun(admission, parameters, taken, context.now);
  admission::Observe(admission.service_time, taken, parameters.service_time_weight, context.now);
}

auto AskerOf(const LedgerEntry& entry) -> Asker {
  return {entry.identity, entry.type, entry.origin_request};
}

auto ReplyFormOf(Context& context, const Asker& asker) -> ReplyForm {
  if (asker.type == MessageType::kConfirmable || asker.identity.origin.value != 0) {
    return {MessageType::kAcknowledgement, asker.identity.message_id};
  }
  auto& flow = FlowOf(context, asker.identity.flow);
  return {MessageType::kNonConfirmable, flow.next_client_message_id++};
}

auto Reply(Context& context, const Asker& asker, bool not_run, Bytes bytes) -> void {
  const auto& identity = asker.identity;
  if (identity.origin.value == 0) {
    context.effects.emplace_back(SendToClient{identity.flow, std::move(bytes)});
    return;
  }
  context.effects.emplace_back(AnswerHandOn{identity.flow, identity.origin, asker.origin_request,
                                            not_run, std::move(bytes)});
}

auto ReplyNotRun(Context& context, const Asker& asker, Counter counter) -> void {
  auto& state = context.state;
  auto form = ReplyFormOf(context, asker);
  auto max_age = DrawMaxAge(state.admission, state.parameters, state.random);
  ++state.refused;
  ObserveDecision(state.admission, true);
  CountOne(context, counter);
  Reply(context, asker, true,
        BuildNotRun(form.type, form.message_id, asker.identity.token, max_age));
}

auto ReplyUnknown(Context& context, const Asker& asker, Counter counter) -> void {
  auto form = ReplyFormOf(context, asker);
  CountOne(context, counter);
  Reply(context, asker, false, BuildUnknown(form.type, form.message_id, asker.identity.token));
}

auto FinishNotRun(Context& context, LedgerEntry& entry, Counter counter) -> void {
  auto& state = context.state;
  entry.refusal = counter;
  if (TryHandOn(context, entry)) return;
  auto form = FormFor(context, entry);
  auto max_age = DrawMaxAge(state.admission, state.parameters, state.random);
  ++state.refused;
  ObserveDecision(state.admission, true);
  CountOne(context, counter);
  MarkTrace(context, entry, Mark::kRefused);
  Settle(context, entry, Transition::kRefuse,
         BuildNotRun(form.type, form.message_id, entry.identity.token, max_age));
}

auto FinishUnknown(Context& context, LedgerEntry& entry, Counter counter) -> void {
  auto form = FormFor(context, entry);
  CountOne(context, counter);
  MarkTrace(context, entry, Mark::kUnknown);
  Settle(context, entry, Transition::kGiveUp,
         BuildUnknown(form.type, form.message_id, entry.identity.token));
}

auto FinishAnswered(Context& context, LedgerEntry& entry, const Message& answer) -> void {
  NoteServiceTime(context, entry, answer.code);
  NoteTransfer(context, entry, answer);
  NoteShed(context, entry, answer);
  CountOne(context, Counter::kAnswered);
  MarkTrace(context, entry, Mark::kAnswered);
  auto piggybacked = answer.type == MessageType::kAcknowledgement;
  if (!piggybacked && !AnswersInAck(entry)) return ForwardSeparateResponse(context, entry, answer);
  auto form = FormFor(context, entry);
  Settle(context, entry, Transition::kAnswer,
         WithIdentity(answer.whole, form.type, form.message_id, entry.identity.token));
}

auto RepeatAnswer(Context& context, LedgerEntry& entry) -> void {
  CountOne(context, Counter::kRetransmissionAnswered);
  const auto& flow = entry.identity.flow;
  if (entry.acknowledged) {
    context.effects.emplace_back(SendToClient{flow, BuildEmptyAck(entry.identity.message_id)});
  }
  if (entry.answer.empty()) return;
  Reply(context, AskerOf(entry), entry.stage == Stage::kRefused, entry.answer);
}

auto ResendOwn(Context& context, LedgerEntry& entry) -> void {
  if (entry.transmissions_left == 0) return;
  auto round = kMaxSends - entry.transmissions_left;
  --entry.transmissions_left;
  context.effects.emplace_back(SendToClient{entry.identity.flow, entry.answer});
  if (entry.transmissions_left > 0)
    SetEntryTimer(context, entry, context.now + kAckTimeout * (1 << round));
}

}  // namespace anvildrum::requests
