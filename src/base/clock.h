#pragma once

#include "base/types/time.h"

namespace anvildrum::base {

/// The moment that the daemon hands to its cores: CLOCK_BOOTTIME (clock_gettime(2)), which no
/// setting of the wall clock moves and which goes on while the machine is suspended. Differences of
/// it may be waited for with any steady timer; its points may not, since base::Clock stands still
/// during a suspension.
///
/// Safeguard: by a clock that stands still, a balancer or agent of a machine that was suspended for
/// hours finds no gap, goes on by its old tables, and its peers have long given its flows to
/// others. By this one it sees the gap and is fenced (daemon/internal/wake_fence.h,
/// steering/directory.h).
auto Now() -> TimePoint;

}  // namespace anvildrum::base
