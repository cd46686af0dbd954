#pragma once

#include "admission/controller.h"

/// The decisions that admission under shortage consists of. Each has a file of its own.
namespace anvildrum::admission {

/// Openings that less urgent requests may have in flight beyond the slots under shortage, so that
/// no slot is idle during the round trip between an admitted opening and its request.
inline constexpr auto kPipelined = 1U;

/// Whether requests are ordered by priority: the switch is on and several priorities are in use.
auto IsOrdered(const Controller& controller) -> bool;

/// Whether the request belongs to the most urgent ones. All do while they are not ordered.
auto IsUrgent(const Controller& controller, const RequestClass& request) -> bool;

/// Requests in flight at which an urgent opening is turned away.
auto UrgentLimit(const Controller& controller, const TargetLoad& load) -> double;

/// Requests in flight at which a less urgent opening without reserved share is turned away.
auto LessUrgentLimit(const Controller& controller, const TargetLoad& load) -> double;

/// Decides on a first opening of less than the highest priority.
auto DecideLessUrgent(Controller& controller, const Candidate& candidate, const TargetLoad& load)
    -> Limit;

/// Adds the reserved share of one admitted urgent opening.
auto EarnReserved(Controller& controller) -> void;

/// Whether the opening would be answered later than `within` after its client's first one; zero is
/// an unknown time.
auto EndsTooLate(const Controller& controller, const Candidate& candidate, const TargetLoad& load,
                 base::Duration within) -> bool;

/// Time for which the client of an opening has waited after that many copies.
auto WaitedFor(std::uint32_t copies) -> base::Duration;

/// Whether the opening is the last one of its client, which may then wait for a slot.
auto IsLastCopy(const Controller& controller, const Candidate& candidate, base::TimePoint now)
    -> bool;

}  // namespace anvildrum::admission
