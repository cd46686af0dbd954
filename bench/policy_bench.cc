// All policies and baselines on the same arrivals, as CSV on standard output. Run:
//   policy_bench > docs/figures/policy_bench.csv
#include <array>
#include <cstdio>

#include "policy_model.h"

namespace anvildrum::bench {
namespace {

constexpr auto kSeeds = 3U;

auto Variants() -> std::vector<Variant> {
  using steering::PlacementKind;
  return {{"hash+cache", Finder::kHashAndCache, PlacementKind::kRendezvous},
          {"previous-chain", Finder::kPreviousChain, PlacementKind::kRendezvous},
          {"directory/random", Finder::kDirectory, PlacementKind::kRandom},
          {"directory/least-reported", Finder::kDirectory, PlacementKind::kLeastReportedLoad},
          {"directory/rendezvous", Finder::kDirectory, PlacementKind::kRendezvous},
          {"directory/power-of-two", Finder::kDirectory, PlacementKind::kPowerOfTwo},
          {"directory/home-first", Finder::kDirectory, PlacementKind::kHomeFirst}};
}

auto Print(const std::string& condition, const Variant& variant, std::uint32_t seed,
           const Result& r) -> void {
  std::printf("%s,%s,%u,%llu,%llu,%llu,%.4f,%.4f,%.4f,%.4f,%.4f,%.3f,%.4f\n", condition.c_str(),
              variant.name.c_str(), seed, static_cast<unsigned long long>(r.flows),
              static_cast<unsigned long long>(r.broken_planned),
              static_cast<unsigned long long>(r.broken_unplanned), r.steady_max_over_mean,
              r.steady_cv, r.join_max_over_mean, r.busy_max_over_mean, r.busy_cv, r.p99_queue_ms,
              r.hops);
}

auto RunAll() -> void {
  const auto conditions =
      std::array{std::pair("equal", Condition::kEqual), std::pair("cold", Condition::kCold),
                 std::pair("slow", Condition::kSlow), std::pair("lying", Condition::kLying)};
  std::printf(
      "condition,variant,seed,flows,broken_planned,broken_unplanned,steady_max_over_mean,steady_cv,"
      "join_max_over_mean,busy_max_over_mean,busy_cv,p99_queue_ms,extra_hops\n");
  for (const auto& [name, condition] : conditions) {
    for (const auto& variant : Variants()) {
      for (auto seed = 1U; seed <= kSeeds; ++seed) {
        Print(name, variant, seed, RunModel(variant, condition, seed));
      }
    }
  }
}

}  // namespace
}  // namespace anvildrum::bench

auto main() -> int {
  anvildrum::bench::RunAll();
  return 0;
}
