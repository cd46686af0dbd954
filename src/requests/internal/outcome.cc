// The three final outcomes and their transmission.
#include <algorithm>

#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

constexpr auto kAckTimeout = base::seconds(2);  // RFC 7252, 4.8
constexpr auto kMaxSends = std::uint8_t{5};     // the first transmission and MAX_RETRANSMIT more

auto HadAnswer(const LedgerEntry& entry) -> bool {
  return entry.acknowledged || entry.stage == Stage::kObserving;
}

// The client already has an ACK, so the outcome is sent as a CON of the agent.
auto NewAgentConfirmable(Context& context, LedgerEntry& entry) -> ReplyForm {
  auto& flow = FlowOf(context, entry.identity.flow);
  entry.client_message_id = flow.next_client_message_id++;
  entry.transmissions_left = kMaxSends - 1;
  RecordForwarded(flow, {entry.client_message_id, 0, entry.id});
  return {MessageType::kConfirmable, entry.client_message_id};
}

auto FormFor(Context& context, LedgerEntry& entry) -> ReplyForm {
  if (entry.identity.origin.value == 0 && HadAnswer(entry)) {
    return NewAgentConfirmable(context, entry);
  }
  return ReplyFormOf(context, RequesterOf(entry));
}

auto IsKeptAfterOutcome(const LedgerEntry& entry) -> bool {
  // A copy of a read that missed its deadline would run again with the full deadline.
  auto missed_deadline = entry.client_deadline != kNoDeadline && entry.stage == Stage::kUnknown;
  // A copy of a NON is ignored (RFC 7252, 4.3). A second answer would be matched by token alone.
  return missed_deadline || entry.method != MethodClass::kSafe || entry.transmissions_left > 0 ||
         entry.type == MessageType::kNonConfirmable;
}

auto Complete(Context& context, LedgerEntry& entry, Transition outcome, Bytes answer) -> void {
  auto& state = context.state;
  RemoveLive(context, entry);
  ApplyTransition(context, entry, outcome);
  Reply(context, RequesterOf(entry), outcome == Transition::kRefuse, answer);
  if (!IsKeptAfterOutcome(entry)) return EraseRequest(state.ledger, entry.id);
  SetRequestBytes(state.ledger, entry, {});
  SetAnswerBytes(state.ledger, entry, std::move(answer));
  KeepUntil(state.ledger, entry, context.now + kExchangeLifetime);
  if (entry.transmissions_left > 0) SetEntryTimer(context, entry, context.now + kAckTimeout);
}

auto RecordTransfer(Context& context, const LedgerEntry& entry, const Message& answer) -> void {
  if (!answer.block2) return;
  auto& flow = FlowOf(context, entry.identity.flow);
  flow.transfer_path = entry.path_digest;
  flow.transfer_until = answer.block2->more ? context.now + context.state.parameters.transfer_idle
                                            : base::TimePoint{};
}

// A refused later block of a transfer does not count as shed: the flow has to stay with its
// transfer.
auto ReportShed(Context& context, const LedgerEntry& entry, const Message& answer) -> void {
  if (answer.code != kCodeServiceUnavailable) return;
  if (entry.admission_exempt || entry.identity.origin.value != 0) return;
  context.effects.emplace_back(FlowShed{entry.identity.flow});
}

// Forwards a separate response of the target (RFC 7252, 5.2.2). The entry is kept, so that the
// target's retransmissions reach the client under the same message ID until it acknowledges one.
auto ForwardSeparateResponse(Context& context, LedgerEntry& entry, const Message& answer) -> void {
  auto& ledger = context.state.ledger;
  auto bytes = ForwardToClient(context, entry, answer);
  RemoveLive(context, entry);
  ApplyTransition(context, entry, Transition::kAnswer);
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

// Safeguard: a target that refuses at once, or stops at the client's deadline, has not completed a
// run. If that time were observed as a service time, the slowest target would look like the fastest
// and attract new flows.
auto RecordServiceTime(Context& context, const LedgerEntry& entry, std::uint8_t code) -> void {
  if (!entry.holds_slot || code == kCodeServiceUnavailable) return;
  auto& admission = context.state.admission;
  const auto& parameters = context.state.parameters;
  auto taken = context.now - entry.started;
  auto was_cut = code == kCodeGatewayTimeout && entry.client_deadline != kNoDeadline;
  if (was_cut) return ObserveAbortedRun(admission, parameters, taken, context.now);
  admission::Observe(admission.service_time, taken, parameters.service_time_weight, context.now);
}

auto RequesterOf(const LedgerEntry& entry) -> Requester {
  return {entry.identity, entry.type, entry.origin_request};
}

auto ReplyFormOf(Context& context, const Requester& requester) -> ReplyForm {
  if (requester.type == MessageType::kConfirmable || requester.identity.origin.value != 0) {
    return {MessageType::kAcknowledgement, requester.identity.message_id};
  }
  auto& flow = FlowOf(context, requester.identity.flow);
  return {MessageType::kNonConfirmable, flow.next_client_message_id++};
}

auto Reply(Context& context, const Requester& requester, bool not_run, Bytes bytes) -> void {
  const auto& identity = requester.identity;
  if (identity.origin.value == 0) {
    context.effects.emplace_back(SendToClient{identity.flow, std::move(bytes)});
    return;
  }
  context.effects.emplace_back(AnswerHandOn{identity.flow, identity.origin,
                                            requester.origin_request, not_run, std::move(bytes)});
}

auto ReplyNotRun(Context& context, const Requester& requester, Counter counter) -> void {
  auto& state = context.state;
  auto form = ReplyFormOf(context, requester);
  auto max_age = DrawMaxAge(state.admission, state.parameters, state.random);
  ++state.refused;
  ObserveDecision(state.admission, true);
  CountOne(context, counter);
  Reply(context, requester, true,
        BuildNotRun(form.type, form.message_id, requester.identity.token, max_age));
}

auto ReplyUnknown(Context& context, const Requester& requester, Counter counter) -> void {
  auto form = ReplyFormOf(context, requester);
  CountOne(context, counter);
  Reply(context, requester, false,
        BuildUnknown(form.type, form.message_id, requester.identity.token));
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
  Complete(context, entry, Transition::kRefuse,
           BuildNotRun(form.type, form.message_id, entry.identity.token, max_age));
}

auto FinishUnknown(Context& context, LedgerEntry& entry, Counter counter) -> void {
  auto form = FormFor(context, entry);
  CountOne(context, counter);
  MarkTrace(context, entry, Mark::kUnknown);
  Complete(context, entry, Transition::kGiveUp,
           BuildUnknown(form.type, form.message_id, entry.identity.token));
}

auto FinishAnswered(Context& context, LedgerEntry& entry, const Message& answer) -> void {
  RecordServiceTime(context, entry, answer.code);
  RecordTransfer(context, entry, answer);
  ReportShed(context, entry, answer);
  CountOne(context, Counter::kAnswered);
  MarkTrace(context, entry, Mark::kAnswered);
  auto piggybacked = answer.type == MessageType::kAcknowledgement;
  if (!piggybacked && !AnswersInAck(entry)) return ForwardSeparateResponse(context, entry, answer);
  auto form = FormFor(context, entry);
  Complete(context, entry, Transition::kAnswer,
           WithIdentity(answer.whole, form.type, form.message_id, entry.identity.token));
}

auto RepeatAnswer(Context& context, LedgerEntry& entry) -> void {
  CountOne(context, Counter::kRetransmissionAnswered);
  const auto& flow = entry.identity.flow;
  if (entry.acknowledged) {
    context.effects.emplace_back(SendToClient{flow, BuildEmptyAck(entry.identity.message_id)});
  }
  if (entry.answer.empty()) return;
  Reply(context, RequesterOf(entry), entry.stage == Stage::kRefused, entry.answer);
}

auto Retransmit(Context& context, LedgerEntry& entry) -> void {
  if (entry.transmissions_left == 0) return;
  auto round = kMaxSends - entry.transmissions_left;
  --entry.transmissions_left;
  context.effects.emplace_back(SendToClient{entry.identity.flow, entry.answer});
  if (entry.transmissions_left > 0) {
    SetEntryTimer(context, entry, context.now + kAckTimeout * (1 << round));
  }
}

}  // namespace anvildrum::requests
