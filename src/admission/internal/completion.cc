#include <algorithm>

#include "admission/controller.h"
#include "admission/internal/decisions.h"

// Prediction of an opening's completion. Load: requests queue at a target until they are answered
// too late to be of use, whether they take milliseconds or hundreds of them.
namespace anvildrum::admission {
namespace {

// Weight of a new observation in the moving averages.
constexpr auto kServiceTimeWeight = 0.1;

// A class without an answer for this long loses its service time. Its routes may have been removed
// or changed, and an objective of the past would keep less urgent openings from queueing.
constexpr auto kServiceTimeLifetime = base::seconds{60};

// Service time before the first observation, as a divisor of the latency objective.
constexpr auto kObjectivePerServiceTime = 5;

// Handshake time before the first observation: a round trip between client and target.
constexpr auto kInitialHandshake = base::milliseconds{6};

auto IsSameWork(const RequestClass& a, const RequestClass& b) -> bool {
  return a.priority == b.priority && a.objective == b.objective && a.repeatable == b.repeatable;
}

// Returns the entry of the class; the end if there is none.
template <typename Times>
auto FindClass(Times& times, const RequestClass& request) -> decltype(times.begin()) {
  return std::find_if(times.begin(), times.end(),
                      [&](const auto& known) { return IsSameWork(known.request, request); });
}

}  // namespace

auto EndsTooLate(const Controller& controller, const Candidate& candidate, const TargetLoad& load,
                 base::Duration within) -> bool {
  if (!controller.policy.admit_by_completion || within == base::Duration{}) return false;
  const auto predicted = PredictCompletion(controller, candidate.request, load);
  return WaitedFor(candidate.copies) + predicted > within;
}

auto AheadOf(const TargetLoad& load) -> std::uint32_t {
  return load.in_flight < load.slots ? 0U : load.in_flight + 1 - load.slots;
}

auto RecordAnswer(Controller& controller, const RequestClass& request, base::Duration taken,
                  std::uint32_t ahead, std::uint32_t slots, base::TimePoint now) -> void {
  const auto service_time = WithoutWait(taken, ahead, slots);
  Observe(controller.mix, service_time, kServiceTimeWeight, now);
  if (!request.known) return;
  auto& times = controller.service_times;
  std::erase_if(times, [&](const auto& known) {
    return now - known.estimate.observed > kServiceTimeLifetime;
  });
  auto entry = FindClass(times, request);
  if (entry == times.end()) {
    if (times.size() >= kMaxClasses) return;
    entry = times.insert(entry, {request, {}});
  }
  Observe(entry->estimate, service_time, kServiceTimeWeight, now);
}

auto RecordHandshake(Controller& controller, base::Duration taken, base::TimePoint now) -> void {
  Observe(controller.handshake, taken, kServiceTimeWeight, now);
}

auto PredictCompletion(const Controller& controller, const RequestClass& request,
                       const TargetLoad& load) -> base::Duration {
  const auto own = FindClass(controller.service_times, request);
  const auto start = request.objective / kObjectivePerServiceTime;
  const auto measured = controller.mix.observed != base::TimePoint{};
  const auto full = controller.service_times.size() >= kMaxClasses;
  const auto unknown = full && measured ? UpperBound(controller.mix) : start;
  const auto run = own != controller.service_times.end() ? UpperBound(own->estimate) : unknown;
  const auto each = measured ? controller.mix.mean : start;
  const auto handshake = controller.handshake.observed != base::TimePoint{}
                             ? controller.handshake.mean
                             : base::Duration{kInitialHandshake};
  const auto ahead = static_cast<base::Duration::rep>(AheadOf(load));
  const auto slots = static_cast<base::Duration::rep>(std::max(load.slots, 1U));
  return handshake + each * ahead / slots + run;
}

}  // namespace anvildrum::admission
