#include <algorithm>

#include "admission/controller.h"
#include "admission/internal/decisions.h"

// Order of priorities. Load: requests of several priorities exceed the slots for seconds, and less
// urgent ones take the places that urgent ones need.
namespace anvildrum::admission {
namespace {

// Limit for the most urgent requests under shortage, in requests per slot. Targets queue four
// requests per slot beyond the running ones and reject further ones.
constexpr auto kUrgentPerSlot = 4.0;

// Limit for less urgent first openings, in requests per slot, where waits are predicted and urgent
// requests stay in time. It exceeds the limit of last copies, so that these do not displace first
// openings after a burst.
constexpr auto kLessUrgentPerSlot = 2.5;

// Less urgent openings that may be saved up for admission beyond their limit, so that the share
// does not expire unused between two of them.
constexpr auto kMaxReserved = 4.0;

// Whether each measured class of the highest priority would still be in time behind one more
// request.
auto LeavesRoomForUrgent(const Controller& controller, const TargetLoad& load) -> bool {
  const auto behind = TargetLoad{.in_flight = load.in_flight + 1, .slots = load.slots};
  const auto& times = controller.service_times;
  return std::none_of(times.begin(), times.end(), [&](const auto& known) {
    const auto& request = known.request;
    if (!IsUrgent(controller, request) || request.objective == base::Duration{}) return false;
    return PredictCompletion(controller, request, behind) > request.objective;
  });
}

}  // namespace

auto IsOrdered(const Controller& controller) -> bool {
  return controller.policy.order_by_priority && controller.most_urgent != controller.least_urgent;
}

auto IsUrgent(const Controller& controller, const RequestClass& request) -> bool {
  return !IsOrdered(controller) || request.priority <= controller.most_urgent;
}

auto UrgentLimit(const Controller& controller, const TargetLoad& load) -> double {
  const auto& policy = controller.policy;
  return (policy.admit_by_completion ? kUrgentPerSlot : policy.opening_limit) * load.slots;
}

auto LessUrgentLimit(const Controller& controller, const TargetLoad& load) -> double {
  const auto queues =
      controller.policy.admit_by_completion && LeavesRoomForUrgent(controller, load);
  return queues ? kLessUrgentPerSlot * load.slots : load.slots + kPipelined;
}

auto DecideLessUrgent(Controller& controller, const Candidate& candidate, const TargetLoad& load)
    -> Limit {
  const auto& request = candidate.request;
  const auto late = EndsTooLate(controller, candidate, load, request.objective);
  if (!late && load.in_flight < LessUrgentLimit(controller, load)) return Limit::kNone;
  const auto reserved = controller.reserved >= 1 &&
                        load.in_flight < UrgentLimit(controller, load) &&
                        !EndsTooLate(controller, candidate, load, request.timeout);
  if (!reserved) return late ? Limit::kCompletion : Limit::kPriority;
  controller.reserved -= 1;
  return Limit::kNone;
}

auto EarnReserved(Controller& controller) -> void {
  const auto share = controller.policy.reserved_share;
  // With 0.05, 19 urgent openings earn one less urgent one, which is one of 20.
  const auto credit = controller.reserved + share / (1 - share);
  controller.reserved = std::min(credit, kMaxReserved);
}

}  // namespace anvildrum::admission
