// Placement of packet flows beside baselines, on the same arrivals, as CSV on standard output. Run:
//   placement_bench > docs/figures/placement_bench.csv
#include <array>
#include <cstdio>

#include "placement_model.h"

namespace anvildrum::bench {
namespace {

constexpr auto kSeeds = 3U;
constexpr auto kLoads = std::array{0.6, 0.8, 1.0, 1.2, 2.0};
constexpr auto kReportsMs = std::array{50U, 200U, 1000U};
constexpr auto kSlow = 4.0;

auto Variants() -> std::array<PlacementVariant, 6> {
  return {{{"random", Choice::kRandom, false},
           {"rendezvous", Choice::kRendezvous, false},
           {"least-reported", Choice::kLeastReported, false},
           {"power-of-two", Choice::kPowerOfTwo, false},
           {"product-unlimited", Choice::kProduct, false},
           {"product", Choice::kProduct, true}}};
}

auto Print(const PlacementVariant& variant, const PlacementLoad& load) -> void {
  for (auto seed = 1U; seed <= kSeeds; ++seed) {
    const auto r = RunPlacement(variant, load, seed);
    std::printf("%s,%.1f,%u,%.0f,%u,%.2f,%.2f,%.4f,%.4f,%.0f,%.2f,%.2f\n", variant.name.c_str(),
                load.of_slots, load.report_ms, load.slow_factor, seed, r.max_over_mean, r.cv,
                r.in_aim, r.served, r.p99_ms, r.tries, r.hops);
  }
}

auto RunAll() -> void {
  std::printf("policy,load,report_ms,slow,seed,max_over_mean,cv,in_aim,served,p99_ms,tries,hops\n");
  for (const auto& variant : Variants()) {
    for (const auto load : kLoads) Print(variant, {.of_slots = load});
    for (const auto report_ms : kReportsMs) Print(variant, {.report_ms = report_ms});
    Print(variant, {.slow_factor = kSlow});
  }
}

}  // namespace
}  // namespace anvildrum::bench

auto main() -> int { anvildrum::bench::RunAll(); }
