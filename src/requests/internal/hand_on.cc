// Requests handed on between agents, both sides.
#include <algorithm>

#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

constexpr auto kRunsAllowed = 4;

// Only what has not been sent to the target here, or a read, still has its bytes. Streams and
// transfers stay with their flow.
auto MayBeHandedOn(const LedgerEntry& entry) -> bool {
  if (entry.identity.origin.value != 0 || entry.request.empty()) return false;
  if (entry.observe || entry.admission_exempt) return false;
  return entry.stage != Stage::kOffered && entry.stage != Stage::kObserving;
}

// The other agent may start it up to its deadline, and then it runs there.
auto GiveUpAt(const Context& context, const LedgerEntry& entry) -> base::TimePoint {
  return std::max(entry.deadline, context.now) + context.state.parameters.queue_limit +
         kRunsAllowed * admission::UpperBound(context.state.admission.service_time);
}

// Safeguard: the first offer may have been copied on its way, and one copy refused while the other
// was challenged and then run. That refusal, arriving late, would tell the client "not run" of a
// request that runs; so answers name the offer they are for.
auto OfferId(const LedgerEntry& entry) -> std::uint64_t {
  return entry.offer_confirmed ? entry.id + 1 : entry.id;
}

auto Offer(Context& context, LedgerEntry& entry, Bytes bytes, base::TargetId only_to) -> void {
  context.effects.emplace_back(
      OfferHandOn{entry.identity.flow, OfferId(entry), std::move(bytes), entry.deadline, only_to});
  SetEntryTimer(context, entry, std::min(GiveUpAt(context, entry), entry.client_deadline));
}

// With what is left of the client's time.
auto OfferBytes(const Context& context, const LedgerEntry& entry) -> Bytes {
  auto request = ParseMessage(entry.request);
  return ForTarget(*request, request->message_id, request->token, DeadlineLeft(context, entry));
}

// The other agent's challenge: it has not run the request, and only it can with this value.
auto OfferAgain(Context& context, LedgerEntry& entry, const Message& challenge,
                base::TargetId only_to) -> void {
  if (entry.offer_confirmed) return;
  entry.offer_confirmed = true;
  auto offer = OfferBytes(context, entry);
  Offer(context, entry, WithEcho(*ParseMessage(offer), *challenge.echo), only_to);
}

auto IsChallenge(const Message& message) -> bool {
  return message.code == kCodeUnauthorized && message.echo.has_value();
}

auto FindOffered(Context& context, const HandOnAnswered& event) -> LedgerEntry* {
  auto* entry = FindById(context.state.ledger, event.request / kIdStep * kIdStep);
  if (entry == nullptr || entry->stage != Stage::kOffered) return nullptr;
  auto is_for_it = entry->identity.flow == event.flow && OfferId(*entry) == event.request;
  return is_for_it ? entry : nullptr;
}

}  // namespace

auto TryHandOn(Context& context, LedgerEntry& entry) -> bool {
  auto& state = context.state;
  if (!MayBeHandedOn(entry) || state.parameters.retry_share <= 0) return false;
  if (entry.deadline <= context.now) return false;
  if (!LeavesTimeElsewhere(context, entry.client_deadline)) return false;
  if (!SpendRetry(state.retries)) {
    CountOne(context, Counter::kHandOnBudgetSpent);
    return false;
  }
  EndLive(context, entry);
  MoveOn(context, entry, Transition::kOffer);
  FlowOf(context, entry.identity.flow).live.push_back(entry.id);
  CountOne(context, Counter::kHandOnOffered);
  Offer(context, entry, OfferBytes(context, entry), {});
  return true;
}

auto OnHandOnRequested(Context& context, const HandOnRequested& event) -> void {
  auto message = ParseMessage(event.bytes);
  if (!message || !IsRequest(*message)) return CountOne(context, Counter::kClientMalformed);
  auto identity = RequestIdentity{event.flow, message->token, message->message_id, event.origin};
  auto asker = Asker{identity, message->type, event.request};
  if (context.state.draining) return ReplyNotRun(context, asker, Counter::kRefusedQueue);
  OnRequest(context, *message, asker, event.left);
}

auto OnHandOnAnswered(Context& context, const HandOnAnswered& event) -> void {
  auto* entry = FindOffered(context, event);
  if (entry == nullptr) return CountOne(context, Counter::kLateAnswer);
  // A read that was under way at a target that died may have run there.
  auto may_have_run_here = entry->started != base::TimePoint{};
  if (event.not_run && may_have_run_here) {
    return FinishUnknown(context, *entry, Counter::kUnknownTargetGone);
  }
  if (event.not_run) return FinishNotRun(context, *entry, entry->refusal);
  auto answer = ParseMessage(event.bytes);
  if (!answer || !IsResponse(*answer)) return CountOne(context, Counter::kTargetMalformed);
  if (IsChallenge(*answer)) return OfferAgain(context, *entry, *answer, event.from);
  CountOne(context, Counter::kHandOnAnswered);
  FinishAnswered(context, *entry, *answer);
}

}  // namespace anvildrum::requests
