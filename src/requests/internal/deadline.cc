// Deadlines that clients set with the Deadline option.
#include <algorithm>

#include "requests/internal/state.h"

namespace anvildrum::requests {
namespace {

using base::milliseconds;

// An offer runs nothing at the other agent until it is repeated with that agent's Echo value.
auto CannotHaveRun(const LedgerEntry& entry) -> bool {
  return entry.stage == Stage::kOffered && entry.method != MethodClass::kSafe &&
         !entry.offer_confirmed;
}

}  // namespace

auto ClientDeadlineOf(const Context& context, const Message& message) -> base::TimePoint {
  if (!message.deadline) return kNoDeadline;
  auto left = std::min<base::Duration>(milliseconds(*message.deadline), kMaxClientDeadline);
  return context.now + left;
}

auto DeadlineLeft(const Context& context, const LedgerEntry& entry)
    -> std::optional<std::uint32_t> {
  if (entry.client_deadline == kNoDeadline) return std::nullopt;
  auto left = std::max(entry.client_deadline - context.now, base::Duration{});
  return static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(left).count());
}

// The service time of a slow target says nothing about the others. The initial service time stands
// for that of a healthy target.
auto CanFinishElsewhere(const Context& context, base::TimePoint client_deadline) -> bool {
  if (client_deadline == kNoDeadline) return true;
  const auto& state = context.state;
  auto needed = std::min(admission::UpperBound(state.admission.service_time),
                         state.parameters.initial_service_time);
  return client_deadline - context.now > needed;
}

auto CancelAtTarget(Context& context, const LedgerEntry& entry) -> void {
  if (!entry.observe || entry.stage != Stage::kRunning) return;
  auto& flow = FlowOf(context, entry.identity.flow);
  auto request = ParseMessage(entry.request);
  auto message_id = flow.next_target_message_id++;
  context.effects.emplace_back(
      SendToTarget{entry.identity.flow, Deregistration(*request, message_id, TokenOfId(entry.id))});
}

auto OnClientDeadline(Context& context, LedgerEntry& entry) -> void {
  if (CannotHaveRun(entry)) return FinishNotRun(context, entry, Counter::kRefusedDeadline);
  if (entry.holds_slot) {
    ObserveAbortedRun(context.state.admission, context.state.parameters,
                      context.now - entry.started, context.now);
  }
  CancelAtTarget(context, entry);
  FinishUnknown(context, entry, Counter::kUnknownDeadline);
}

}  // namespace anvildrum::requests
