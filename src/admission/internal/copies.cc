#include "admission/controller.h"
#include "admission/internal/decisions.h"

// Openings that are left to their clients' copies. Load: a burst of less than a second, in which a
// client that is refused uses up its tries within milliseconds.
namespace anvildrum::admission {
namespace {

// How long openings are left to their clients' copies: bursts shorter than this end before the
// copies stop, after 600 ms.
constexpr auto kAwaitCopiesFor = base::milliseconds{1000};

// Times of a client's copies after its first opening.
constexpr auto kFirstCopyAfter = base::milliseconds{200};
constexpr auto kSecondCopyAfter = base::milliseconds{600};

// How long after the start of a shortage copies arrive of openings that were left to them.
constexpr auto kCopiesArriveFor = kAwaitCopiesFor + kSecondCopyAfter;

// Copies that a client sends of an opening.
constexpr auto kCopies = 2U;

// Whether copies of openings that were left to them compete with first openings. Copies wait for a
// slot only where the wait is predicted.
auto ExpectsCopies(const Controller& controller, base::TimePoint now) -> bool {
  const auto& policy = controller.policy;
  if (!policy.await_copies || !policy.admit_by_completion) return false;
  return now - controller.short_since < kCopiesArriveFor;
}

}  // namespace

auto WaitedFor(std::uint32_t copies) -> base::Duration {
  if (copies == 0) return {};
  return copies == 1 ? kFirstCopyAfter : kSecondCopyAfter;
}

auto IsLastCopy(const Controller& controller, const Candidate& candidate, base::TimePoint now)
    -> bool {
  return candidate.copies >= kCopies && ExpectsCopies(controller, now);
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
