#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "base/types/time.h"

namespace anvildrum::admission {

/// Recent use of a target by caller, in a count-min sketch of constant size. Forged addresses cost
/// no memory. The sketch never understates a caller's use.
struct CallerShare {
  /// Counters of two generations; a generation is dropped when it is two periods old.
  std::array<std::vector<std::uint32_t>, 2> counters;
  std::array<std::uint64_t, 2> total{};    ///< use counted, by generation
  std::array<std::uint32_t, 2> callers{};  ///< callers seen (estimated), by generation
  base::TimePoint turned_at{};             ///< start of the current generation
};

/// Counts one admitted request of the caller.
auto CountUse(CallerShare& share, std::uint32_t caller, base::TimePoint now) -> void;

/// Whether the caller has used more than twice the mean of the callers seen within the last two
/// generations. False while too little is known to tell.
auto IsOverShare(CallerShare& share, std::uint32_t caller, base::TimePoint now) -> bool;

}  // namespace anvildrum::admission
