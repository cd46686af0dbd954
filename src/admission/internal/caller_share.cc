#include "admission/caller_share.h"

#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstddef>
#include <utility>

namespace anvildrum::admission {
namespace {

constexpr auto kRows = std::size_t{4};
constexpr auto kColumnBits = 10U;
constexpr auto kColumns = std::size_t{1} << kColumnBits;
constexpr auto kGeneration = base::milliseconds{2500};

// With fewer callers, the mean says little about what is usual.
constexpr auto kMinCallers = 16.0;

// One request is never more than a share, however many callers there are.
constexpr auto kMinUse = 2.0;

// A share is this many times the mean demand.
constexpr auto kShareOfMean = 2.0;

// Standard deviations above the mean that a normally distributed number exceeds in a tenth of the
// cases.
constexpr auto kTenthQuantile = 1.28;

// A number of requests is whole; the normal distribution that approximates it is not.
constexpr auto kContinuityCorrection = 0.5;

using Positions = std::array<std::size_t, kRows>;

auto PositionsOf(const CallerShare& share, std::uint32_t caller) -> Positions {
  auto hash = XXH3_64bits_withSeed(&caller, sizeof caller, share.seed);
  auto positions = Positions{};
  for (auto row = std::size_t{0}; row < kRows; ++row) {
    positions[row] = row * kColumns + (hash & (kColumns - 1));
    hash >>= kColumnBits;
  }
  return positions;
}

auto Least(const std::vector<std::uint32_t>& counters, const Positions& positions)
    -> std::uint32_t {
  auto least = counters[positions.front()];
  for (const auto position : positions) least = std::min(least, counters[position]);
  return least;
}

auto Clear(CallerShare& share, std::size_t generation) -> void {
  auto& counters = share.counters[generation];
  std::fill(counters.begin(), counters.end(), 0U);
  share.total[generation] = 0;
  share.occupied[generation] = 0;
}

// Starts a new generation if the current one is over.
auto RotateGenerations(CallerShare& share, base::TimePoint now) -> void {
  const auto age = now - share.rotated_at;
  if (age < kGeneration) return;
  const auto expired = std::size_t{1} - share.current;
  Clear(share, expired);
  if (age >= 2 * kGeneration) {
    Clear(share, share.current);
    share.rotated_at = now;
  } else {
    share.rotated_at += kGeneration;
  }
  share.occupied_in_either = share.occupied[share.current];
  share.current = static_cast<std::uint8_t>(expired);
}

auto IsEmpty(const CallerShare& share) -> bool { return share.counters.front().empty(); }

// Mean demand of the callers, those without a request included. `seen` is the mean of the callers
// with at least one request; it is the mean m of a Poisson distribution without its zeros,
// m / (1 - exp(-m)). The inverse is approximated within 6 %.
auto MeanDemand(double seen) -> double { return std::max(seen - 1 / seen, 0.0); }

// Use that a caller with this mean reaches in a tenth of the cases.
auto UpperTenth(double mean) -> double {
  return mean + kTenthQuantile * std::sqrt(mean) + kContinuityCorrection;
}

}  // namespace

auto CountUse(CallerShare& share, std::uint32_t caller, base::TimePoint now) -> void {
  if (IsEmpty(share)) {
    for (auto& counters : share.counters) counters.resize(kRows * kColumns);
    share.rotated_at = now;
  }
  RotateGenerations(share, now);
  auto& counters = share.counters[share.current];
  const auto positions = PositionsOf(share, caller);
  const auto first = positions.front();
  if (counters[first] == 0) {
    ++share.occupied[share.current];
    if (share.counters[std::size_t{1} - share.current][first] == 0) ++share.occupied_in_either;
  }
  // Counters that are higher already contain another caller's use and need not rise.
  const auto use = Least(counters, positions) + 1;
  for (const auto position : positions) counters[position] = std::max(counters[position], use);
  ++share.total[share.current];
}

auto UseOf(CallerShare& share, std::uint32_t caller, base::TimePoint now) -> std::uint64_t {
  if (IsEmpty(share)) return 0;
  RotateGenerations(share, now);
  const auto positions = PositionsOf(share, caller);
  return std::uint64_t{Least(share.counters[0], positions)} + Least(share.counters[1], positions);
}

auto CallersSeen(CallerShare& share, base::TimePoint now) -> double {
  if (IsEmpty(share)) return 0;
  RotateGenerations(share, now);
  const auto columns = static_cast<double>(kColumns);
  const auto unused = std::max(columns - share.occupied_in_either, 1.0);
  return columns * std::log(columns / unused);
}

auto IsOverShare(CallerShare& share, std::uint32_t caller, base::TimePoint now) -> bool {
  const auto use = static_cast<double>(UseOf(share, caller, now));
  if (use < kMinUse) return false;
  const auto callers = CallersSeen(share, now);
  if (callers < kMinCallers) return false;
  const auto total = static_cast<double>(share.total[0] + share.total[1]);
  const auto mean = MeanDemand(total / callers);
  // Other callers' use in one counter. Without it, a flood of single requests from many addresses
  // would put every caller over its share.
  const auto collisions = total / static_cast<double>(kColumns);
  return use >= UpperTenth(kShareOfMean * mean + collisions);
}

}  // namespace anvildrum::admission
