#pragma once

#include <cstdint>
#include <random>
#include <span>

#include "base/types/time.h"

namespace anvildrum::steering {

/// The caller seeds it. A standard engine keeps runs comparable, although 8 bytes of state would
/// do.
using Random = std::minstd_rand;

/// What the agent that places a flow knows about a target.
struct TargetLoad {
  double weight = 1.0;
  std::uint64_t failure_domain = 0;
  std::uint32_t flows = 0;        ///< last report plus the flows placed here since
  std::uint32_t connections = 0;  ///< limit; 0: none
  std::uint32_t slots = 1;
  std::uint32_t in_flight = 0;  ///< running and queued
  base::Duration delay{};       ///< observed service time; zero: unknown
  std::uint32_t refused_permille = 0;
  /// As reported by the target, in permille; may be stale or wrong.
  std::uint32_t reported_load = 0;
  base::Duration age = base::hours(1);  ///< since its announcement; for slow start
  bool eligible = true;                 ///< alive, not draining and able to take a flow
};

enum class PlacementKind : std::uint8_t {
  kRandom,             ///< any eligible target
  kLeastReportedLoad,  ///< lowest reported_load
  kRendezvous,         ///< always the home
  kPowerOfTwo,         ///< the less loaded of two random targets
  kHomeFirst,          ///< the home while within its bound, else kPowerOfTwo
};

struct PlacementPolicy {
  PlacementKind kind = PlacementKind::kHomeFirst;
  /// A target's share of the service's flows is proportional to its weight, its slow-start factor,
  /// the ratio of the mean delay to its own delay and the share of requests that it does not
  /// refuse. A target is over its bound with more than (1 + flow_margin) x share + flow_slack
  /// flows.
  double flow_margin = 0.03;
  double flow_slack = 2.0;
  double delay_margin = 1.25;    ///< delays up to this multiple of the mean count as equal
  double refused_margin = 50.0;  ///< refusals up to this many permille over the mean count as equal
  double min_factor = 0.1;       ///< minimum share of a slow or refusing target
  /// Age at which a target gets its full share. Until then the share grows linearly from
  /// `slow_start_floor` of it.
  base::Duration slow_start = base::seconds(10);
  double slow_start_floor = 0.2;
  /// Prefers targets of `preferred_domain` while any of them is within its bound.
  bool prefer_domain = false;
};

inline constexpr auto kNoTarget = std::uint32_t{0xffffffff};

struct PlacementRequest {
  std::span<const TargetLoad> loads;
  std::uint32_t home = kNoTarget;      ///< index into loads
  std::uint64_t preferred_domain = 0;  ///< of the balancer that sent the packet
};

/// Chooses the target of a new flow. Returns an index into `loads`, or kNoTarget if no target can
/// take the flow (none is eligible, or all are at their connection limit). A target at its
/// connection limit is never chosen. The time is linear in the number of targets; nothing is
/// allocated.
auto Place(const PlacementPolicy& policy, const PlacementRequest& request, Random& random)
    -> std::uint32_t;

}  // namespace anvildrum::steering
