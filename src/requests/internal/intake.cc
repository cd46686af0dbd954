// Handling of an incoming request: a repetition, a safe request, or one that needs a challenge.
#include <algorithm>

#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

constexpr auto kMinRepeatInterval = base::seconds(1);

struct Intake {
  const Message& message;
  const Requester& requester;
  base::Duration left;
};

auto EntryFor(const Context& context, const Intake& intake) -> LedgerEntry {
  auto entry = LedgerEntry{};
  entry.identity = intake.requester.identity;
  entry.type = intake.message.type;
  entry.origin_request = intake.requester.origin_request;
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
  auto requester = Requester{entry.challenged, entry.type, entry.origin_request};
  auto form = ReplyFormOf(context, requester);
  auto binding = EchoBinding{entry.challenged.flow, entry.challenged.origin, entry.content_digest};
  auto echo = EchoOfIssue(context.state.mint, binding, entry.echo_issue);
  Reply(context, requester, false,
        BuildChallenge(form.type, form.message_id, entry.challenged.token, echo));
}

auto IsChallengedCopy(const LedgerEntry& entry, const RequestIdentity& identity) -> bool {
  return entry.was_challenged && entry.challenged == identity && entry.identity != identity;
}

auto RepeatToTarget(Context& context, LedgerEntry& entry) -> void {
  if (entry.method != MethodClass::kSafe || entry.request.empty()) return;
  if (context.now - entry.started < kMinRepeatInterval) return;
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
    return ReplyUnknown(context, intake.requester, Counter::kUnknownIdentityReuse);
  }
  if (entry.stage == Stage::kChallenged) return SendChallenge(context, entry);
  // The client has answered the challenge, so it needs no other copy.
  if (IsChallengedCopy(entry, intake.requester.identity)) {
    return CountOne(context, Counter::kRetransmissionWhileRunning);
  }
  if (IsLive(entry.stage)) return OnLiveRepeated(context, entry);
  RepeatAnswer(context, entry);
}

// Returns the counter for a request that would be refused at once after answering its challenge,
// and that no other agent may run. Such a request is refused without a challenge.
auto RefusalOnArrival(const Context& context, const Intake& intake) -> std::optional<Counter> {
  const auto& state = context.state;
  auto client_deadline = ClientDeadlineOf(context, intake.message);
  auto can_hand_on = state.parameters.retry_share > 0 && state.retries.tokens >= 1 &&
                     intake.requester.identity.origin.value == 0 &&
                     CanFinishElsewhere(context, client_deadline);
  if (can_hand_on) return std::nullopt;
  auto candidate = Candidate{intake.requester.identity.flow.client.address,
                             std::min(context.now + intake.left, client_deadline), client_deadline};
  return RefusalOf(DecideAdmission(state.admission, state.parameters, candidate, context.now));
}

auto TooManyChallenges(const Context& context, const Intake& intake) -> bool {
  const auto& state = context.state;
  auto of_client = ChallengesOf(state.admission, intake.requester.identity.flow.client.address);
  if (of_client >= state.parameters.client_challenges) return true;
  auto share =
      state.parameters.challenge_share * static_cast<double>(state.parameters.ledger_bytes);
  return static_cast<double>(state.admission.open_challenges * kLedgerEntryBytes) > share;
}

// Challenges a request that must not run twice and has no Echo value issued for it. This message
// never runs. Only the repetition with the value proves that the client still waits for the
// request.
auto Challenge(Context& context, const Intake& intake) -> void {
  auto& state = context.state;
  const auto& requester = intake.requester;
  // A copy of a request with a cached value gets the same challenge, not a second value.
  auto* known = FindRequest(state.ledger, requester.identity);
  if (known != nullptr) return OnRepeated(context, intake, *known);
  if (FlowOf(context, requester.identity.flow).adopted_until > context.now) {
    return ReplyUnknown(context, requester, Counter::kUnknownAdoptedFlow);
  }
  if (auto refusal = RefusalOnArrival(context, intake)) {
    return ReplyNotRun(context, requester, *refusal);
  }
  if (TooManyChallenges(context, intake)) {
    return ReplyNotRun(context, requester, Counter::kRefusedChallenges);
  }
  if (!HasRoom(state.ledger, state.parameters.ledger_bytes, 0)) {
    return ReplyNotRun(context, requester, Counter::kRefusedLedgerFull);
  }
  auto entry = EntryFor(context, intake);
  entry.request.clear();
  ApplyTransition(context, entry, Transition::kChallenge);
  entry.was_challenged = true;
  entry.challenged = requester.identity;
  auto binding =
      EchoBinding{requester.identity.flow, requester.identity.origin, entry.content_digest};
  entry.echo_issue = MintEcho(state.mint, binding, context.now).issue;
  FlowOf(context, requester.identity.flow).last_echo = entry.echo_issue;
  auto& kept = InsertRequest(state.ledger, std::move(entry));
  KeepUntil(state.ledger, kept, context.now + kExchangeLifetime);
  AddChallenge(state.admission, requester.identity.flow.client.address);
  CountOne(context, Counter::kChallenged);
  MarkTrace(context, kept, Mark::kChallenged);
  SendChallenge(context, kept);
}

// An origin agent waits for the answer up to this long after the deadline of its offer
// (hand_on.cc). Nothing may start here after it has told its client "unknown".
auto EchoLifetimeOf(const Context& context, const Intake& intake) -> base::Duration {
  const auto& parameters = context.state.parameters;
  auto from_client = intake.requester.identity.origin.value == 0;
  return from_client ? parameters.echo_lifetime : parameters.queue_limit;
}

// Admits a request that returned with the Echo value of its challenge. The value cannot be used
// again.
auto Confirm(Context& context, const Intake& intake, LedgerEntry& entry) -> void {
  auto& state = context.state;
  EndChallenge(state.admission, intake.requester.identity.flow.client.address);
  ApplyTransition(context, entry, Transition::kConfirm);
  AddIdentity(state.ledger, entry, intake.requester.identity);
  entry.type = intake.message.type;
  entry.origin_request = intake.requester.origin_request;
  entry.arrived = context.now;
  // The client's deadline counts from the first message. The second one can only shorten it.
  entry.client_deadline =
      std::min(entry.client_deadline, ClientDeadlineOf(context, intake.message));
  entry.deadline = std::min(context.now + intake.left, entry.client_deadline);
  // This copy was delayed by minutes, and its client may have stopped waiting. It has not run, and
  // the used value prevents any other copy from running.
  if (EchoAge(entry.echo_issue, context.now) > EchoLifetimeOf(context, intake)) {
    return FinishNotRun(context, entry, Counter::kRefusedExpiredEcho);
  }
  SetRequestBytes(state.ledger, entry, intake.message.whole);
  auto id = entry.id;
  Admit(context, entry);
  RecordUpload(context, intake.message, intake.requester.identity.flow, id);
}

// Safeguard: a client that received the challenge twice may send the request twice, under two
// message IDs and tokens but with the same value. If both ran, a hold would be made twice. Each
// value therefore runs one request, once.
auto OnMintedEcho(Context& context, const Intake& intake, std::uint64_t issue) -> void {
  // Safeguard: meanwhile the flow was at another agent, where this request was foreign and its
  // client was told that it would not run. A copy that arrives here now must not run.
  if (issue <= FlowOf(context, intake.requester.identity.flow).echo_floor) {
    return ReplyUnknown(context, intake.requester, Counter::kUnknownForeignEcho);
  }
  auto* entry = FindByEcho(context.state.ledger, issue);
  // If the client were told "unknown" now, it might act on that before the first copy starts.
  if (entry != nullptr && IsLive(entry->stage)) {
    return CountOne(context, Counter::kRetransmissionWhileRunning);
  }
  if (entry == nullptr || entry->stage != Stage::kChallenged) {
    return ReplyUnknown(context, intake.requester, Counter::kUnknownEchoUsed);
  }
  Confirm(context, intake, *entry);
}

auto OnLaterBlock(Context& context, const Intake& intake) -> void {
  // Without its first block here, the upload began at another agent or incarnation, where this
  // block may have completed it.
  if (!ContinueUpload(context, intake.message, intake.requester.identity.flow)) {
    return ReplyUnknown(context, intake.requester, Counter::kUnknownUpload);
  }
  auto entry = EntryFor(context, intake);
  entry.admission_exempt = true;
  Admit(context, InsertRequest(context.state.ledger, std::move(entry)));
}

// Handles POST, PUT, DELETE and iPATCH. A late copy of a PUT at another agent would undo a later
// change, or run a request that was refused here as not run.
auto OnUnsafeRequest(Context& context, const Intake& intake) -> void {
  if (IsLaterBlock(intake.message)) return OnLaterBlock(context, intake);
  if (!intake.message.echo) return Challenge(context, intake);
  const auto& identity = intake.requester.identity;
  auto binding = EchoBinding{identity.flow, identity.origin, intake.message.content_digest};
  auto check = CheckEcho(context.state.mint, binding, *intake.message.echo);
  switch (check.verdict) {
    case EchoVerdict::kMinted:
      return OnMintedEcho(context, intake, check.issue);
    case EchoVerdict::kOtherContent:
      return Challenge(context, intake);
    case EchoVerdict::kForeign:
      return ReplyUnknown(context, intake.requester, Counter::kUnknownForeignEcho);
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

auto OnSafeRequest(Context& context, const Intake& intake) -> void {
  if (intake.message.observe && RefreshStream(context, intake.message, intake.requester)) return;
  auto cancels = intake.message.observe.value_or(0) != 0;
  if (cancels) CancelPending(context, intake.message, intake.requester);
  if (!HasRoomFor(context, intake)) {
    return ReplyNotRun(context, intake.requester, Counter::kRefusedLedgerFull);
  }
  const auto& flow = FlowOf(context, intake.requester.identity.flow);
  auto entry = EntryFor(context, intake);
  entry.observe = intake.message.observe == 0U && intake.requester.identity.origin.value == 0;
  entry.admission_exempt = ContinuesTransfer(context, flow, intake.message);
  if (entry.observe && StreamsOf(context, flow) >= context.state.parameters.flow_streams) {
    return ReplyNotRun(context, intake.requester, Counter::kRefusedStreams);
  }
  Admit(context, InsertRequest(context.state.ledger, std::move(entry)));
}

}  // namespace

auto OnRequest(Context& context, const Message& message, const Requester& requester,
               base::Duration left) -> void {
  auto intake = Intake{message, requester, left};
  if (message.bad_deadline) CountOne(context, Counter::kBadDeadline);
  auto* known = FindRequest(context.state.ledger, requester.identity);
  auto answers_challenge =
      known != nullptr && known->stage == Stage::kChallenged && message.echo.has_value();
  if (known != nullptr && !answers_challenge) return OnRepeated(context, intake, *known);
  if (MethodClassOf(message.code) == MethodClass::kSafe) return OnSafeRequest(context, intake);
  OnUnsafeRequest(context, intake);
}

}  // namespace anvildrum::requests
