#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "base/types/time.h"

namespace anvildrum::admission {

/// Recent use of a target by caller, in a count-min sketch of constant size: 32 KiB from the first
/// use on, whatever the number of addresses. Use is forgotten 2.5 to 5 s after it was counted.
struct CallerShare {
  /// Seed of the hashes. It has to be unpredictable: a caller that knew it could choose addresses
  /// whose counters are another caller's.
  std::uint64_t seed = 0;
  /// Counters of the current and the previous generation, row by row; empty before the first use.
  std::array<std::vector<std::uint32_t>, 2> counters{};
  std::array<std::uint64_t, 2> total{};     ///< use counted, by generation
  std::array<std::uint32_t, 2> occupied{};  ///< counters of the first row in use, by generation
  std::uint32_t occupied_in_either = 0;     ///< the same, in use in either generation
  std::uint8_t current = 0;                 ///< index of the current generation
  base::TimePoint rotated_at{};             ///< start of the current generation
};

/// Counts one admitted request of the caller. It is to be counted when the client's first data
/// arrives, not at its opening: a forged address does not get that far.
auto CountUse(CallerShare& share, std::uint32_t caller, base::TimePoint now) -> void;

/// Requests of the caller in the current and the previous generation. Never fewer than counted;
/// more if others share its counters in all rows.
auto UseOf(CallerShare& share, std::uint32_t caller, base::TimePoint now) -> std::uint64_t;

/// Number of callers seen in the current and the previous generation, estimated by linear counting.
/// Numbers above 7,100 cannot be told apart.
auto CallersSeen(CallerShare& share, base::TimePoint now) -> double;

/// Whether the caller has had more than its share: so much use as a caller with twice the mean
/// demand has in less than a tenth of the cases, and at least two requests. False while fewer than
/// 16 callers were seen.
auto IsOverShare(CallerShare& share, std::uint32_t caller, base::TimePoint now) -> bool;

}  // namespace anvildrum::admission
