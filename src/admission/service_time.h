#pragma once

#include <cstdint>

#include "base/types/time.h"

namespace anvildrum::admission {

/// Moving average of observed service times, and of their distance from it.
struct ServiceTime {
  base::Duration mean{};
  base::Duration deviation{};
  base::TimePoint observed{};  ///< last observation; the epoch: none
  bool started = false;        ///< the mean has a value, observed or assumed
};

/// Returns an estimate with an assumed mean, which observations then move.
auto StartingAt(base::Duration mean) -> ServiceTime;

/// Adds an observation with `weight` in (0, 1]. Without an assumed mean, the first observation sets
/// it.
auto Observe(ServiceTime& estimate, base::Duration taken, double weight, base::TimePoint now)
    -> void;

/// Time within which most runs end: the mean and twice the mean deviation, as RFC 6298 bounds a
/// round trip.
auto UpperBound(const ServiceTime& estimate) -> base::Duration;

/// Returns the service time of a request that was answered `taken` after its arrival at a target
/// with `slots` slots, when `ahead` requests had to end before it got a slot: one more than were
/// waiting, or none if a slot was free. The target's queue is part of what is measured, so that the
/// wait has to be taken out.
auto WithoutWait(base::Duration taken, std::uint32_t ahead, std::uint32_t slots) -> base::Duration;

}  // namespace anvildrum::admission
