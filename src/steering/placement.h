#pragma once

#include <cstdint>
#include <random>
#include <span>

#include "base/types/time.h"

namespace anvildrum::steering {

/// Seeded by the caller; 8 bytes of state would do, the standard engine keeps runs comparable.
using Random = std::minstd_rand;

/// What the placing agent knows of one target when a flow opens.
struct TargetLoad {
  double weight = 1.0;
  std::uint64_t failure_domain = 0;
  std::uint32_t flows = 0;        ///< last report plus what was placed here since
  std::uint32_t connections = 0;  ///< limit; 0: none
  std::uint32_t slots = 1;
  std::uint32_t in_flight = 0;  ///< running and queued
  base::Duration delay{};       ///< observed service time; zero: none yet
  std::uint32_t refused_permille = 0;
  std::uint32_t reported_load = 0;      ///< the target's own word in permille: may lag or lie
  base::Duration age = base::hours(1);  ///< since it was announced; for slow start
  bool eligible = true;                 ///< live, not draining, able to take a flow now
};

enum class PlacementKind : std::uint8_t {
  kRandom,             ///< any eligible target
  kLeastReportedLoad,  ///< by the targets' own word
  kRendezvous,         ///< always the home
  kPowerOfTwo,         ///< the less loaded of two random targets
  kHomeFirst,          ///< the home within its bound, else the less loaded of two
};

struct PlacementPolicy {
  PlacementKind kind = PlacementKind::kHomeFirst;
  /// A target's share of the service's flows goes with its weight, its age (slow start), the mean
  /// delay over its own and the requests that it does not refuse. It is over its bound with more
  /// than (1 + flow_margin) x share + flow_slack flows.
  double flow_margin = 0.03;
  double flow_slack = 2.0;
  double delay_margin = 1.25;    ///< delay up to this much over the mean counts as equal
  double refused_margin = 50.0;  ///< refused requests of a thousand over the mean, likewise
  double min_factor = 0.1;       ///< a slow or refusing target keeps this much of its share
  /// Full share after this age; before, one that grows linearly from `slow_start_floor` of it.
  base::Duration slow_start = base::seconds(10);
  double slow_start_floor = 0.2;
  /// Targets of `preferred_domain` first, while any of them is within its bound.
  bool prefer_domain = false;
};

inline constexpr auto kNoTarget = std::uint32_t{0xffffffff};

struct PlacementRequest {
  std::span<const TargetLoad> loads;
  std::uint32_t home = kNoTarget;      ///< index into loads
  std::uint64_t preferred_domain = 0;  ///< of the balancer that the flow came through
};

/// Chooses the target of a new flow: an index into `loads`, or kNoTarget when none can take it
/// (none eligible, or all at their connection limit). Linear in the number of targets, allocates
/// nothing. A target at its connection limit is never chosen.
auto Place(const PlacementPolicy& policy, const PlacementRequest& request, Random& random)
    -> std::uint32_t;

}  // namespace anvildrum::steering
