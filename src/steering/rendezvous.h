#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/types/ids.h"
#include "membership/view.h"

namespace anvildrum::steering {

/// What rendezvous hashing needs of a target, packed so that a service's targets lie side by side.
struct Candidate {
  base::TargetId target;
  double weight = 1.0;
  std::uint64_t failure_domain = 0;  ///< hash of its name
  bool placeable = true;             ///< neither draining nor weight 0; the same for all instances
  bool suspect = false;              ///< this instance's opinion
};

/// The candidates of one service, in the order of ServiceView::targets.
struct CandidateSet {
  std::vector<Candidate> candidates;
  bool equal_weights = true;  ///< then the order needs no logarithms
};

auto MakeCandidates(const membership::ServiceView& service) -> CandidateSet;

/// Indexes into the candidates; kNone when there is none.
inline constexpr auto kNone = std::uint32_t{0xffffffff};
struct Homes {
  std::uint32_t first = kNone;
  /// Next in order, in another failure domain where there is one.
  std::uint32_t second = kNone;
};

/// Highest-random-weight order (Thaler and Ravishankar, 1998), weighted as -weight / ln(u). Only
/// placeable candidates count; suspicion does not change the order. Allocates nothing; linear in
/// the number of candidates.
auto FindHomes(const CandidateSet& set, std::uint64_t flow_hash) -> Homes;

/// The first home alone, at half the cost.
auto FindFirstHome(const CandidateSet& set, std::uint64_t flow_hash) -> std::uint32_t;

/// Who keeps copies of the flow's observations while `owner` serves it: the first in order that is
/// neither the owner nor suspect, in another failure domain than the owner's where there is one.
auto FindStandBy(const CandidateSet& set, std::uint64_t flow_hash, base::TargetId owner,
                 std::uint64_t owner_domain) -> std::uint32_t;

/// The home to send to: the first unless this instance suspects it, then the second, then any that
/// is not suspect, then the first again (all are suspect: the observer itself may be cut off).
auto FindActingHome(const CandidateSet& set, std::uint64_t flow_hash) -> std::uint32_t;

}  // namespace anvildrum::steering
