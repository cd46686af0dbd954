// All policies and baselines on the same arrivals, as CSV on standard output. Run:
//   policy_bench > docs/figures/policy_bench.csv
//   policy_bench hops > docs/figures/policy_hops.csv
//   policy_bench burst > docs/figures/policy_burst.csv
#include <array>
#include <cstdio>
#include <string_view>

#include "burst_model.h"
#include "policy_model.h"

namespace anvildrum::bench {
namespace {

constexpr auto kSeeds = 3U;
constexpr auto kBurstSeeds = 10U;

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

// Flows away from their home cost a hop a packet, unless the balancer has a hint.
auto RunHops() -> void {
  std::printf(
      "condition,balancers,lifetime_s,variant,seed,steady_max_over_mean,p99_queue_ms,extra_hops\n");
  struct Way {
    std::string name;
    bool hints = false;
    bool reweighs = false;
  };
  const auto ways = std::array{Way{"home-first"}, Way{"home-first, hints", true},
                               Way{"home-first, half the weight", false, true},
                               Way{"home-first, both", true, true}};
  const auto conditions =
      std::array{std::pair("equal", Condition::kEqual), std::pair("slow", Condition::kSlow)};
  for (const auto& [condition_name, condition] : conditions) {
    for (auto [balancers, lifetime] :
         {std::pair(3U, 60.0), {64U, 60.0}, {3U, 600.0}, {64U, 600.0}}) {
      for (const auto& way : ways) {
        for (auto seed = 1U; seed <= kSeeds; ++seed) {
          auto variant =
              Variant{way.name,    Finder::kDirectory, steering::PlacementKind::kHomeFirst,
                      balancers,   lifetime,           way.hints,
                      way.reweighs};
          auto r = RunModel(variant, condition, seed);
          std::printf("%s,%u,%.0f,\"%s\",%u,%.4f,%.3f,%.4f\n", condition_name, balancers, lifetime,
                      way.name.c_str(), seed, r.steady_max_over_mean, r.p99_queue_ms, r.hops);
        }
      }
    }
  }
}

auto PrintBurst(const std::string& burst, const std::string& name, const BurstPlan& plan,
                const BurstResult& r) -> void {
  std::printf("%s,%s,%u,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f,%.4f\n", burst.c_str(),
              name.c_str(), plan.seed, r.steady.max_over_mean, r.steady.cv,
              r.after_join.max_over_mean, r.after_join.cv, r.worst, r.newcomer_at_end,
              r.worst_newcomer, r.passed_on, r.exceptions);
}

struct Burst {
  std::string name;
  double arrivals_per_second = 0;
  double burst_per_second = 0;
  double after = 0;
  double seconds = 0;
};

// Flows before the join: 60 times the arrivals.
auto Bursts() -> std::vector<Burst> {
  return {{"none", 100, 0, 0, 0},
          {"6000 flows + 5000 in 5 s after 1 s", 100, 1000, 1, 5},
          {"6000 flows + 3000 in 0.3 s after 1 s", 100, 10'000, 1, 0.3},
          {"6000 flows + 3000 in 0.3 s after 3 s", 100, 10'000, 3, 0.3},
          {"360 flows + 350 in 5 s after 1 s", 6, 70, 1, 5},
          {"360 flows + 350 in 0.3 s after 1 s", 6, 1167, 1, 0.3},
          {"360 flows + 350 in 0.3 s after 3 s", 6, 1167, 3, 0.3}};
}

// The targets' own word of their load is not part of what agents tell each other.
auto CanRunOnDirectories(const Variant& variant) -> bool {
  return variant.finder == Finder::kDirectory &&
         variant.placement != steering::PlacementKind::kLeastReportedLoad;
}

auto RunBursts() -> void {
  std::printf(
      "burst,variant,seed,steady_max_over_mean,steady_cv,join_max_over_mean,join_cv,"
      "worst_max_over_mean,newcomer_over_mean,newcomer_worst,passed_on,steady_extra_hops\n");
  for (const auto& burst : Bursts()) {
    for (const auto& variant : Variants()) {
      if (!CanRunOnDirectories(variant)) continue;
      for (auto seed = 1U; seed <= kBurstSeeds; ++seed) {
        auto plan = BurstPlan{variant.placement,      burst.arrivals_per_second,
                              burst.burst_per_second, burst.after,
                              burst.seconds,          seed};
        PrintBurst(burst.name, variant.name, plan, RunBurst(plan));
      }
    }
  }
}

}  // namespace
}  // namespace anvildrum::bench

auto main(int count, char** arguments) -> int {
  auto mode = std::string_view(count > 1 ? arguments[1] : "");
  if (mode == "burst") {
    anvildrum::bench::RunBursts();
  } else if (mode == "hops") {
    anvildrum::bench::RunHops();
  } else {
    anvildrum::bench::RunAll();
  }
  return 0;
}
