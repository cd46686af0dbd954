// Requests handed on between agents, both sides.
#include <algorithm>

#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

constexpr auto kServiceTimeFactor = 4;

// The request's bytes are kept only for reads and until the request is sent to the target. Streams
// and transfers stay with their flow.
auto MayBeHandedOn(const LedgerEntry& entry) -> bool {
  if (entry.identity.origin.value != 0 || entry.request.empty()) return false;
  if (entry.observe || entry.admission_exempt) return false;
  return entry.stage != Stage::kOffered && entry.stage != Stage::kObserving;
}

// The other agent may start the request up to its deadline, and the run takes time after that.
auto HandOnTimeout(const Context& context, const LedgerEntry& entry) -> base::TimePoint {
  return std::max(entry.deadline, context.now) + context.state.parameters.queue_limit +
         kServiceTimeFactor * admission::UpperBound(context.state.admission.service_time);
}

// Safeguard: the network may duplicate the first offer, and one copy be refused while the other is
// challenged and then runs. If that refusal arrived late, the client would be told "not run" of a
// request that runs. Answers therefore name the offer that they belong to.
auto OfferId(const LedgerEntry& entry) -> std::uint64_t {
  return entry.offer_confirmed ? entry.id + 1 : entry.id;
}

auto Offer(Context& context, LedgerEntry& entry, Bytes bytes, base::TargetId only_to) -> void {
  context.effects.emplace_back(
      OfferHandOn{entry.identity.flow, OfferId(entry), std::move(bytes), entry.deadline, only_to});
  SetEntryTimer(context, entry, std::min(HandOnTimeout(context, entry), entry.client_deadline));
}

// Returns the request with the client's remaining time.
auto OfferBytes(const Context& context, const LedgerEntry& entry) -> Bytes {
  auto request = ParseMessage(entry.request);
  return ForTarget(*request, request->message_id, request->token, DeadlineLeft(context, entry));
}

// The other agent challenged the offer. It has not run the request, and this value is valid only
// there.
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
  if (!CanFinishElsewhere(context, entry.client_deadline)) return false;
  if (!SpendRetry(state.retries)) {
    CountOne(context, Counter::kHandOnBudgetSpent);
    return false;
  }
  RemoveLive(context, entry);
  ApplyTransition(context, entry, Transition::kOffer);
  FlowOf(context, entry.identity.flow).live.push_back(entry.id);
  CountOne(context, Counter::kHandOnOffered);
  Offer(context, entry, OfferBytes(context, entry), {});
  return true;
}

auto OnHandOnRequested(Context& context, const HandOnRequested& event) -> void {
  auto message = ParseMessage(event.bytes);
  if (!message || !IsRequest(*message)) return CountOne(context, Counter::kClientMalformed);
  auto identity = RequestIdentity{event.flow, message->token, message->message_id, event.origin};
  auto requester = Requester{identity, message->type, event.request};
  if (context.state.draining) return ReplyNotRun(context, requester, Counter::kRefusedQueue);
  OnRequest(context, *message, requester, event.left);
}

auto OnHandOnAnswered(Context& context, const HandOnAnswered& event) -> void {
  auto* entry = FindOffered(context, event);
  if (entry == nullptr) return CountOne(context, Counter::kLateAnswer);
  // A read that was running when its target died may have run there.
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
