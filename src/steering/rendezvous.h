#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/types/ids.h"
#include "membership/view.h"

namespace anvildrum::steering {

/// The data of a target that rendezvous hashing needs, packed so that a service's targets are
/// contiguous in memory.
struct Candidate {
  base::TargetId target;
  double weight = 1.0;
  std::uint64_t failure_domain = 0;  ///< hash of its name
  /// Neither draining nor of weight 0; the same on all instances.
  bool placeable = true;
  bool suspect = false;  ///< this instance's opinion
};

/// The candidates of one service, in the order of ServiceView::targets.
struct CandidateSet {
  std::vector<Candidate> candidates;
  bool equal_weights = true;  ///< the order then needs no logarithms
};

auto MakeCandidates(const membership::ServiceView& service) -> CandidateSet;

/// Index into the candidates for "no candidate".
inline constexpr auto kNone = std::uint32_t{0xffffffff};
struct Homes {
  std::uint32_t first = kNone;
  /// Next in order, in another failure domain if there is one.
  std::uint32_t second = kNone;
};

/// Returns the first two candidates in highest-random-weight order (Thaler and Ravishankar, 1998),
/// weighted as -weight / ln(u). Only placeable candidates count; suspicion does not change the
/// order. The time is linear in the number of candidates; nothing is allocated.
auto FindHomes(const CandidateSet& set, std::uint64_t flow_hash) -> Homes;

/// Returns the first home only, at half the cost of FindHomes.
auto FindFirstHome(const CandidateSet& set, std::uint64_t flow_hash) -> std::uint32_t;

/// Returns the target that keeps copies of the flow's observations while `owner` serves it: the
/// first in order that is neither the owner nor suspect, in another failure domain than the owner's
/// if there is one.
auto FindStandBy(const CandidateSet& set, std::uint64_t flow_hash, base::TargetId owner,
                 std::uint64_t owner_domain) -> std::uint32_t;

/// Returns the home to send packets to: the first home unless this instance suspects it, then the
/// second, then the first in order that is not suspect. If all are suspect, returns the first home,
/// since this instance itself may be disconnected.
auto FindActingHome(const CandidateSet& set, std::uint64_t flow_hash) -> std::uint32_t;

}  // namespace anvildrum::steering
