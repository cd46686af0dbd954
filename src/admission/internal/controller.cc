#include "admission/controller.h"

#include "admission/internal/decisions.h"

namespace anvildrum::admission {
namespace {

// Openings that urgent requests of callers over their share may have in flight beyond the slots. It
// exceeds kPipelined, so that they still go before the less urgent requests of others.
constexpr auto kUrgentOverShare = kPipelined + 1;

// A shortage ends this long after an opening last found the target at its ordinary limit. It is
// several times the interval between two openings at a busy target (12 to 40 ms).
constexpr auto kShortageMemory = base::milliseconds{500};

auto Below(const TargetLoad& load, double per_slot) -> bool {
  return load.in_flight < per_slot * load.slots;
}

// Requests in flight at which an opening of each kind is turned away under shortage.
auto CopyLimit(const Controller& controller, const Candidate& candidate, const TargetLoad& load,
               base::TimePoint now) -> double {
  const auto& policy = controller.policy;
  return (IsLastCopy(controller, candidate, now) ? policy.opening_limit : policy.copy_limit) *
         load.slots;
}

// Decides by the rules of a shortage, without the reserved share's credit for an admitted opening.
auto DecideByLimits(Controller& controller, const Candidate& candidate, const TargetLoad& load,
                    base::TimePoint now) -> Limit {
  const auto& request = candidate.request;
  if (load.in_flight < load.slots) return Limit::kNone;
  const auto copy = candidate.copies != 0;
  const auto urgent = IsUrgent(controller, request);
  if (controller.policy.fair_callers && candidate.over_share) {
    const auto before_others = IsOrdered(controller) && urgent && !copy;
    const auto queued = before_others ? kUrgentOverShare : 0U;
    return load.in_flight < load.slots + queued ? Limit::kNone : Limit::kCaller;
  }
  if (!copy && !urgent) {
    return DecideLessUrgent(controller, candidate, load);
  }
  const auto limit =
      copy ? CopyLimit(controller, candidate, load, now) : UrgentLimit(controller, load);
  if (load.in_flight >= limit) return Limit::kSlots;
  // A copy's client has missed its objective already or is about to, so that only its timeout
  // counts.
  const auto within = copy ? request.timeout : request.objective;
  return EndsTooLate(controller, candidate, load, within) ? Limit::kCompletion : Limit::kNone;
}

auto DecideUnderShortage(Controller& controller, const Candidate& candidate, const TargetLoad& load,
                         base::TimePoint now) -> Limit {
  const auto verdict = DecideByLimits(controller, candidate, load, now);
  if (verdict == Limit::kNone && IsUrgent(controller, candidate.request)) EarnReserved(controller);
  return verdict;
}

}  // namespace

auto NameOf(Limit limit) -> std::string_view {
  switch (limit) {
    case Limit::kNone:
      return "admitted";
    case Limit::kSlots:
      return "slots";
    case Limit::kPriority:
      return "priority";
    case Limit::kCompletion:
      return "completion";
    case Limit::kCaller:
      return "caller";
  }
  return "unknown";
}

auto IsShort(const Controller& controller, base::TimePoint now) -> bool {
  return now < controller.short_until;
}

auto Decide(Controller& controller, const Candidate& candidate, const TargetLoad& load,
            base::TimePoint now) -> Limit {
  const auto& policy = controller.policy;
  if (!Below(load, policy.opening_limit)) {
    if (!IsShort(controller, now)) controller.short_since = now;
    controller.short_until = now + kShortageMemory;
  }
  const auto short_of_slots = IsShort(controller, now);
  if (!candidate.request.known || !short_of_slots) {
    const auto most = candidate.copies == 0 ? policy.opening_limit : policy.copy_limit;
    return Below(load, most) ? Limit::kNone : Limit::kSlots;
  }
  return DecideUnderShortage(controller, candidate, load, now);
}

auto GoesFirst(const Controller& controller, const Candidate& candidate, const TargetLoad& load,
               base::TimePoint now) -> bool {
  if (!IsOrdered(controller)) return false;
  if (!candidate.request.known || candidate.copies != 0) return false;
  if (!IsShort(controller, now) || !IsUrgent(controller, candidate.request)) return false;
  return load.in_flight >= LessUrgentLimit(controller, load);
}

}  // namespace anvildrum::admission
