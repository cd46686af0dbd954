#pragma once

#include <cstdint>

#include "steering/placement.h"

namespace anvildrum::bench {

/// How evenly connections lie on the targets: most over mean, and the coefficient of variation.
struct Evenness {
  double max_over_mean = 0;
  double cv = 0;
};

struct BurstResult {
  Evenness steady;             ///< means over the 10 s before the join
  Evenness after_join;         ///< 10 s after the join
  double newcomer_at_end = 0;  ///< its connections over the mean, 10 s after the join
  double worst = 0;            ///< most over mean, at its highest from the burst's end to 10 s
  double worst_newcomer = 0;   ///< the same, at its highest in those 10 s
  double exceptions = 0;       ///< flows away from their home at the join: an extra hop a packet
  double passed_on = 0;        ///< packets between agents, of each opening after the join
};

struct BurstPlan {
  steering::PlacementKind placement = steering::PlacementKind::kHomeFirst;
  double arrivals_per_second = 100;  ///< of flows of a minute each, always
  double burst_per_second = 0;       ///< beside those
  double burst_after = 1;            ///< seconds after the join
  double burst_seconds = 5;
  std::uint32_t seed = 1;
};

/// Seven real directories, joined by a network of 1 to 2 ms, in a steady state; an eighth joins,
/// every instance hears of it up to 1.5 s late, and a burst of openings begins. Loads are told
/// twice a second, between each pair at moments of its own.
auto RunBurst(const BurstPlan& plan) -> BurstResult;

}  // namespace anvildrum::bench
