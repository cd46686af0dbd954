// What becomes of a request that comes in: a repetition, a read, or one that changes something.
#include <algorithm>

#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

constexpr auto kRepeatToTargetAfter = base::seconds(1);

struct Intake {
  const Message& message;
  const Asker& asker;
  base::Duration left;
};

auto EntryFor(const Context& context, const Intake& intake) -> LedgerEntry {
  auto entry = LedgerEntry{};
  entry.identity = intake.asker.identity;
  entry.type = intake.message.type;
  entry.origin_request = intake.asker.origin_request;
  entry.method = MethodClassOf(intake.message.code);
  entry.content_digest = intake.message.content_digest;
  entry.path_digest = intake.message.path_digest;
  entry.arrived = context.now;
  entry.client_deadline = ClientDeadlineOf(context, intake.message);
  entry.deadline = std::min(context.now + intake.left, entry.client_deadline);
  entry.request = Bytes(intake.message.whole.begin(), intake.message.whole.end());
  return entry;
}

auto HasRoomFor(const Context& context, const Intake& intake) -> bool {
  const auto& state = context.state;
  return HasRoom(state.ledger, state.parameters.ledger_bytes, intake.message.whole.size());
}

auto SendChallenge(Context& context, const LedgerEntry& entry) -> void {
  auto asker = Asker{entry.challenged, entry.type, entry.origin_request};
  auto form = ReplyFormOf(context, asker);
  auto binding = EchoBinding{entry.challenged.flow, entry.challenged.origin, entry.content_digest};
  auto echo = EchoOfIssue(context.state.mint, binding, entry.echo_issue);
  Reply(context, asker, false,
        BuildChallenge(form.type, form.message_id, entry.challenged.token, echo));
}

auto IsChallengedCopy(const LedgerEntry& entry, const RequestIdentity& identity) -> bool {
  return entry.was_challenged && entry.challenged == identity && entry.identity != identity;
}

auto RepeatToTarget(Context& context, LedgerEntry& entry) -> void {
  if (entry.method != MethodClass::kSafe || entry.request.empty()) return;
  if (context.now - entry.started < kRepeatToTargetAfter) return;
  SendRequest(context, entry);
}

auto OnLiveRepeated(Context& context, LedgerEntry& entry) -> void {
  CountOne(context, Counter::kRetransmissionWhileRunning);
  auto from_client = entry.identity.origin.value == 0;
  if (entry.acknowledged && from_client) {
    context.effects.emplace_back(
        SendToClient{entry.identity.flow, BuildEmptyAck(entry.identity.message_id)});
    return;
  }
  if (entry.stage == Stage::kRunning || entry.stage == Stage::kObserving) {
    RepeatToTarget(context, entry);
  }
}

auto OnRepeated(Context& context, const Intake& intake, LedgerEntry& entry) -> void {
  if (entry.content_digest != intake.message.content_digest) {
    return ReplyUnknown(context, intake.asker, Counter::kUnknownIdentityReuse);
  }
  if (entry.stage == Stage::kChallenged) return SendChallenge(context, entry);
  // The client has the challenge, since it has answered it.
  if (IsChallengedCopy(entry, intake.asker.identity)) {
    return CountOne(context, Counter::kRetransmissionWhileRunning);
  }
  if (IsLive(entry.stage)) return OnLiveRepeated(context, entry);
  RepeatAnswer(context, entry);
}

// A challenge answered now would be refused at once, and no other agent may be asked.
auto WouldBeRefused(const Context& context, const Intake& intake) -> std::optional<Counter> {
  const auto& state = context.state;
  auto client_deadline = ClientDeadlineOf(context, intake.message);
  auto can_hand_on = state.parameters.retry_share > 0 && state.retries.tokens >= 1 &&
                     intake.asker.identity.origin.value == 0 &&
                     LeavesTimeElsewhere(context, client_deadline);
  if (can_hand_on) return std::nullopt;
  auto candidate = Candidate{intake.asker.identity.flow.client.address,
                             std::min(context.now + intake.left, client_deadline), client_deadline};
  return RefusalOf(DecideAdmission(state.admission, state.parameters, candidate, context.now));
}

auto TooManyChallenges(const Context& context, const Intake& intake) -> bool {
  const auto& state = context.state;
  auto of_client = ChallengesOf(state.admission, intake.asker.identity.flow.client.address);
  if (of_client >= state.parameters.client_challenges) return true;
  auto share =
      state.parameters.challenge_share * static_cast<double>(state.parameters.ledger_bytes);
  return static_cast<double>(state.admission.open_challenges * kLedgerEntryBytes) > share;
}

// A request that must not run twice and carries no Echo value made for it. It never runs: only its
// sender, by sending it again with the value, shows that it still waits for it.
auto Challenge(Context& context, const Intake& intake) -> void {
  auto& state = context.state;
  const auto& asker = intake.asker;
  // A copy of a request with a cached value gets the challenge again, not a second value.
  auto* known = FindRequest(state.ledger, asker.identity);
  if (known != nullptr) return OnRepeated(context, intake, *known);
  if (FlowOf(context, asker.identity.flow).adopted_until > context.now) {
    return ReplyUnknown(context, asker, Counter::kUnknownAdoptedFlow);
  }
  if (auto refusal = WouldBeRefused(context, intake)) {
    return ReplyNotRun(context, asker, *refusal);
  }
  if (TooManyChallenges(context, intake)) {
    return ReplyNotRun(context, asker, Counter::kRefusedChallenges);
  }
  if (!HasRoom(state.ledger, state.parameters.ledger_bytes, 0)) {
    return ReplyNotRun(context, asker, Counter::kRefusedLedgerFull);
  }
  auto entry = EntryFor(context, intake);
  entry.request.clear();
  MoveOn(context, entry, Transition::kChallenge);
  entry.was_challenged = true;
  entry.challenged = asker.identity;
  auto binding = EchoBinding{asker.identity.flow, asker.identity.origin, entry.content_digest};
  entry.echo_issue = MintEcho(state.mint, binding, context.now).issue;
  FlowOf(context, asker.identity.flow).last_echo = entry.echo_issue;
  auto& kept = InsertRequest(state.ledger, std::move(entry));
  KeepUntil(state.ledger, kept, context.now + kExchangeLifetime);
  AddChallenge(state.admission, asker.identity.flow.client.address);
  CountOne(context, Counter::kChallenged);
  MarkTrace(context, kept, Mark::kChallenged);
  SendChallenge(context, kept);
}

// Another agent answers at once or gives up: it waits this long beyond the deadline of its offer
// (hand_on.cc), so that nothing starts here after it has told its client "unknown".
auto EchoLifetimeOf(const Context& context, const Intake& intake) -> base::Duration {
  const auto& parameters = context.state.parameters;
  auto from_client = intake.asker.identity.origin.value == 0;
  return from_client ? parameters.echo_lifetime : parameters.queue_limit;
}

// The request came back with the Echo value of its challenge, which from here on is used up.
auto Confirm(Context& context, const Intake& intake, LedgerEntry& entry) -> void {
  auto& state = context.state;
  EndChallenge(state.admission, intake.asker.identity.flow.client.address);
  MoveOn(context, entry, Transition::kConfirm);
  AddIdentity(state.ledger, entry, intake.asker.identity);
  entry.type = intake.message.type;
  entry.origin_request = intake.asker.origin_request;
  entry.arrived = context.now;
  // The time runs from the first message, whatever the second one says is left of it.
  entry.client_deadline =
      std::min(entry.client_deadline, ClientDeadlineOf(context, intake.message));
  entry.deadline = std::min(context.now + intake.left, entry.client_deadline);
  // A copy that was minutes on its way: its sender may have stopped waiting. It has not run, and
  // the used value sees to it that no other copy will.
  if (EchoAge(entry.echo_issue, context.now) > EchoLifetimeOf(context, intake)) {
    return FinishNotRun(context, entry, Counter::kRefusedExpiredEcho);
  }
  SetRequestBytes(state.ledger, entry, intake.message.whole);
  auto id = entry.id;
  Admit(context, entry);
  NoteUpload(context, intake.message, intake.asker.identity.flow, id);
}

// Safeguard: a client that saw the challenge twice may send the request twice, under two message
// IDs and tokens but with the same value; run both, and one hold is made twice. Each value runs one
// request, once.
auto OnMintedEcho(Context& context, const Intake& intake, std::uint64_t issue) -> void {
  // Safeguard: the flow was elsewhere meanwhile, where this request was foreign and its client was
  // told that nobody would run it; a copy that comes here now must not.
  if (issue <= FlowOf(context, intake.asker.identity.flow).echo_floor) {
    return ReplyUnknown(context, intake.asker, Counter::kUnknownForeignEcho);
  }
  auto* entry = FindByEcho(context.state.ledger, issue);
  // Told "unknown" now, the client might act on it before the first copy even starts.
  if (entry != nullptr && IsLive(entry->stage)) {
    return CountOne(context, Counter::kRetransmissionWhileRunning);
  }
  if (entry == nullptr || entry->stage != Stage::kChallenged) {
    return ReplyUnknown(context, intake.asker, Counter::kUnknownEchoUsed);
  }
  Confirm(context, intake, *entry);
}

auto OnLaterBlock(Context& context, const Intake& intake) -> void {
  // Without its first block here the upload began at another agent or incarnation, where this may
  // have been the block that completed it.
  if (!ContinueUpload(context, intake.message, intake.asker.identity.flow)) {
    return ReplyUnknown(context, intake.asker, Counter::kUnknownUpload);
  }
  auto entry = EntryFor(context, intake);
  entry.admission_exempt = true;
  Admit(context, InsertRequest(context.state.ledger, std::move(entry)));
}

// POST, and PUT, DELETE and iPATCH too: a late copy of a PUT at another agent would undo what came
// after it, or run what was refused here as not run.
auto OnGuarded(Context& context, const Intake& intake) -> void {
  if (IsLaterBlock(intake.message)) return OnLaterBlock(context, intake);
  if (!intake.message.echo) return Challenge(context, intake);
  const auto& identity = intake.asker.identity;
  auto binding = EchoBinding{identity.flow, identity.origin, intake.message.content_digest};
  auto check = CheckEcho(context.state.mint, binding, *intake.message.echo);
  switch (check.verdict) {
    case EchoVerdict::kMinted:
      return OnMintedEcho(context, intake, check.issue);
    case EchoVerdict::kOtherContent:
      return Challenge(context, intake);
    case EchoVerdict::kForeign:
      return ReplyUnknown(context, intake.asker, Counter::kUnknownForeignEcho);
  }
}

auto StreamsOf(const Context& context, const FlowState& flow) -> std::uint32_t {
  auto streams = std::uint32_t{0};
  for (auto id : flow.live) {
    if (context.state.ledger.entries.at(id).observe) ++streams;
  }
  return streams;
}

auto ContinuesTransfer(const Context& context, const FlowState& flow, const Message& message)
    -> bool {
  return message.block2 && message.block2->number > 0 && flow.transfer_until > context.now &&
         flow.transfer_path == message.path_digest;
}

auto OnSafe(Context& context, const Intake& intake) -> void {
  if (intake.message.observe && RefreshStream(context, intake.message, intake.asker)) return;
  auto gives_up = intake.message.observe.value_or(0) != 0;
  if (gives_up) CancelPending(context, intake.message, intake.asker);
  if (!HasRoomFor(context, intake)) {
    return ReplyNotRun(context, intake.asker, Counter::kRefusedLedgerFull);
  }
  const auto& flow = FlowOf(context, intake.asker.identity.flow);
  auto entry = EntryFor(context, intake);
  entry.observe = intake.message.observe == 0U && intake.asker.identity.origin.value == 0;
  entry.admission_exempt = ContinuesTransfer(context, flow, intake.message);
  if (entry.observe && StreamsOf(context, flow) >= context.state.parameters.flow_streams) {
    return ReplyNotRun(context, intake.asker, Counter::kRefusedStreams);
  }
  Admit(context, InsertRequest(context.state.ledger, std::move(entry)));
}

}  // namespace

auto OnRequest(Context& context, const Message& message, const Asker& asker, base::Duration left)
    -> void {
  auto intake = Intake{message, asker, left};
  if (message.bad_deadline) CountOne(context, Counter::kBadDeadline);
  auto* known = FindRequest(context.state.ledger, asker.identity);
  auto answers_challenge =
      known != nullptr && known->stage == Stage::kChallenged && message.echo.has_value();
  if (known != nullptr && !answers_challenge) return OnRepeated(context, intake, *known);
  if (MethodClassOf(message.code) == MethodClass::kSafe) return OnSafe(context, intake);
  OnGuarded(context, intake);
}

}  // namespace anvildrum::requests
