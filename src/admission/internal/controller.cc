#include "admission/controller.h"

#include <algorithm>

namespace anvildrum::admission {
namespace {

// Limit for the most urgent requests under shortage, in requests per slot. Targets queue four
// requests per slot beyond the running ones and reject further ones.
constexpr auto kUrgentPerSlot = 4.0;

// Openings that less urgent requests may have in flight beyond the slots under shortage, so that no
// slot is idle during the round trip between an admitted opening and its request.
constexpr auto kPipelined = 1U;

// The same for urgent requests of callers over their share. It exceeds kPipelined, so that such a
// caller's urgent request still goes before the less urgent ones of others.
constexpr auto kUrgentOverShare = kPipelined + 1;

// A shortage ends this long after an opening last found the target at its ordinary limit. It is
// several times the interval between two openings at a busy target (12 to 40 ms).
constexpr auto kShortageMemory = base::milliseconds{500};

// How long openings are left to their clients' copies: bursts shorter than this end before the
// copies stop, after 600 ms.
constexpr auto kAwaitCopiesFor = base::milliseconds{1000};

// Times of a client's copies after its first opening.
constexpr auto kFirstCopyAfter = base::milliseconds{200};
constexpr auto kSecondCopyAfter = base::milliseconds{600};

// Limit for less urgent first openings, in requests per slot, where waits are predicted and urgent
// requests stay in time. It exceeds the limit of last copies, so that these do not displace first
// openings after a burst.
constexpr auto kLessUrgentPerSlot = 2.5;

// How long after the start of a shortage copies arrive of openings that were left to them.
constexpr auto kCopiesArriveFor = kAwaitCopiesFor + kSecondCopyAfter;

// Copies that a client sends of an opening.
constexpr auto kCopies = 2U;

// Hops of a less urgent opening that a target has turned away: nearly all other targets are at
// their limit too.
constexpr auto kHopsUnderShortage = std::uint8_t{1};

// Weight of a new observation in the moving averages.
constexpr auto kServiceTimeWeight = 0.1;

// A class without an answer for this long loses its service time. Its routes may have been removed
// or changed, and an objective of the past would keep less urgent openings from queueing.
constexpr auto kServiceTimeLifetime = base::seconds{60};

// Service time before the first observation, as a divisor of the latency objective.
constexpr auto kObjectivePerServiceTime = 5;

// Handshake time before the first observation: a round trip between client and target.
constexpr auto kInitialHandshake = base::milliseconds{6};

// Less urgent openings that may be saved up for admission beyond their limit, so that the share
// does not expire unused between two of them.
constexpr auto kMaxReserved = 4.0;

auto IsSameWork(const RequestClass& a, const RequestClass& b) -> bool {
  return a.priority == b.priority && a.objective == b.objective && a.repeatable == b.repeatable;
}

auto Find(const Controller& controller, const RequestClass& request) -> const ServiceTime* {
  const auto& times = controller.service_times;
  const auto entry = std::find_if(times.begin(), times.end(), [&](const auto& known) {
    return IsSameWork(known.request, request);
  });
  return entry == times.end() ? nullptr : &entry->estimate;
}

auto WaitedFor(std::uint32_t copies) -> base::Duration {
  if (copies == 0) return {};
  return copies == 1 ? kFirstCopyAfter : kSecondCopyAfter;
}

auto IsOrdered(const Controller& controller) -> bool {
  return controller.policy.order_by_priority && controller.most_urgent != controller.least_urgent;
}

// Whether the request belongs to the most urgent ones. All do while they are not ordered, or while
// there is a single priority.
auto IsUrgent(const Controller& controller, const RequestClass& request) -> bool {
  return !IsOrdered(controller) || request.priority <= controller.most_urgent;
}

auto Below(const TargetLoad& load, double per_slot) -> bool {
  return load.in_flight < per_slot * load.slots;
}

// Whether the opening would be answered later than `within` after its client's first one; zero is
// an unknown time.
auto EndsTooLate(const Controller& controller, const Candidate& candidate, const TargetLoad& load,
                 base::Duration within) -> bool {
  if (!controller.policy.admit_by_completion || within == base::Duration{}) return false;
  const auto predicted = PredictCompletion(controller, candidate.request, load);
  return WaitedFor(candidate.copies) + predicted > within;
}

// Whether copies of openings that were left to them compete with first openings. Copies wait for a
// slot only where the wait is predicted.
auto ExpectsCopies(const Controller& controller, base::TimePoint now) -> bool {
  const auto& policy = controller.policy;
  if (!policy.await_copies || !policy.admit_by_completion) return false;
  return now - controller.short_since < kCopiesArriveFor;
}

// Whether the opening is the last one of its client, which may then wait for a slot.
auto IsLastCopy(const Controller& controller, const Candidate& candidate, base::TimePoint now)
    -> bool {
  return candidate.copies >= kCopies && ExpectsCopies(controller, now);
}

// Requests in flight at which an opening of each kind is turned away under shortage.
auto CopyLimit(const Controller& controller, const Candidate& candidate, const TargetLoad& load,
               base::TimePoint now) -> double {
  const auto& policy = controller.policy;
  return (IsLastCopy(controller, candidate, now) ? policy.opening_limit : policy.copy_limit) *
         load.slots;
}

auto UrgentLimit(const Controller& controller, const TargetLoad& load) -> double {
  const auto& policy = controller.policy;
  return (policy.admit_by_completion ? kUrgentPerSlot : policy.opening_limit) * load.slots;
}

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

auto LessUrgentLimit(const Controller& controller, const TargetLoad& load) -> double {
  const auto queues =
      controller.policy.admit_by_completion && LeavesRoomForUrgent(controller, load);
  return queues ? kLessUrgentPerSlot * load.slots : load.slots + kPipelined;
}

// Decides on a first opening of less than the highest priority.
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
  if (verdict == Limit::kNone && IsUrgent(controller, candidate.request)) {
    const auto share = controller.policy.reserved_share;
    // With 0.05, 19 urgent openings earn one less urgent one, which is one of 20.
    const auto credit = controller.reserved + share / (1 - share);
    controller.reserved = std::min(credit, kMaxReserved);
  }
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
  auto entry = std::find_if(times.begin(), times.end(),
                            [&](const auto& known) { return IsSameWork(known.request, request); });
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
  const auto* own = Find(controller, request);
  const auto start = request.objective / kObjectivePerServiceTime;
  const auto measured = controller.mix.observed != base::TimePoint{};
  const auto full = controller.service_times.size() >= kMaxClasses;
  const auto unknown = full && measured ? UpperBound(controller.mix) : start;
  const auto run = own != nullptr ? UpperBound(*own) : unknown;
  const auto each = measured ? controller.mix.mean : start;
  const auto handshake = controller.handshake.observed != base::TimePoint{}
                             ? controller.handshake.mean
                             : base::Duration{kInitialHandshake};
  const auto ahead = static_cast<base::Duration::rep>(AheadOf(load));
  const auto slots = static_cast<base::Duration::rep>(std::max(load.slots, 1U));
  return handshake + each * ahead / slots + run;
}

auto MaxHops(const Controller& controller, const Candidate& candidate, std::uint8_t ordinary,
             base::TimePoint now) -> std::uint8_t {
  const auto urgent = !candidate.request.known || IsUrgent(controller, candidate.request);
  const auto last = IsLastCopy(controller, candidate, now);
  if (urgent || last || !IsShort(controller, now)) return ordinary;
  return std::min(ordinary, kHopsUnderShortage);
}

auto AwaitsCopy(const Controller& controller, const Candidate& candidate, base::TimePoint now)
    -> bool {
  const auto& request = candidate.request;
  if (!controller.policy.await_copies || !request.known || !IsShort(controller, now)) return false;
  if (candidate.copies >= kCopies || now - controller.short_since >= kAwaitCopiesFor) return false;
  const auto idle = TargetLoad{.in_flight = 0, .slots = 1};
  const auto answered =
      WaitedFor(candidate.copies + 1) + PredictCompletion(controller, request, idle);
  return answered <= request.timeout;
}

}  // namespace anvildrum::admission
