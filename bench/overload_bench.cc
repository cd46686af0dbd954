// Holds under load on a virtual clock: seven targets with four slots each, of which one is slow,
// one starts cold and one reports no load. Prints a table of the request core against plain
// baselines.
#include <algorithm>
#include <cstdio>
#include <string_view>

#include "overload_sim.h"

namespace anvildrum::requests {
namespace {

auto Percentile(const std::vector<Milliseconds>& sorted, double share) -> Milliseconds {
  if (sorted.empty()) return 0;
  auto at = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[at];
}

auto NameOf(Policy policy) -> std::string_view {
  switch (policy) {
    case Policy::kRandom:
      return "random target, unbounded queue";
    case Policy::kLeastReported:
      return "least reported load, unbounded queue";
    case Policy::kObservedUnbounded:
      return "two choices by in flight, unbounded queue";
    case Policy::kCore:
      return "request core, new flows placed by observed delay";
    case Policy::kCorePinned:
      return "request core, flows pinned evenly";
    case Policy::kCoreAlone:
      return "request core, flows pinned evenly, no hand-on";
  }
  return {};
}

auto PrintRow(Sim& sim) -> void {
  std::sort(sim.latencies.begin(), sim.latencies.end());
  auto in_time = std::upper_bound(sim.latencies.begin(), sim.latencies.end(), kDeadline) -
                 sim.latencies.begin();
  auto sent = static_cast<double>(sim.holds.size());
  auto runs = std::uint64_t{0};
  for (const auto& target : sim.targets) runs += target.runs;
  auto capacity = CapacityPerSecond() * kRun / 1000;
  std::printf(
      "| %3.0f %% | %s | %.1f | %.1f | %.1f | %.1f %% | %.1f %% | %.1f %% | %llu | %.2f %% |\n",
      sim.load * 100, NameOf(sim.policy).data(), Percentile(sim.latencies, 0.5),
      Percentile(sim.latencies, 0.99), Percentile(sim.latencies, 0.999),
      100 * static_cast<double>(in_time) / sent, 100 * static_cast<double>(in_time) / capacity,
      100 * static_cast<double>(sim.refused) / sent, static_cast<unsigned long long>(sim.unknown),
      100 * static_cast<double>(sim.offers) / static_cast<double>(std::max(runs, 1UL)));
}

auto Measure(Policy policy, double load) -> void {
  auto sim = RunSim(policy, load);
  PrintRow(sim);
}

auto Main() -> void {
  std::printf(
      "Capacity of the slots: %.0f holds/s; %zu targets x %zu slots, %.0f ms a hold, "
      "one %.0fx slow, one %.0fx slow at first for %.0f s, one that reports no load.\n\n",
      CapacityPerSecond(), kTargets, kSlots, kServiceTime, kSlowFactor, kColdFactor,
      kColdFor / 1000);
  std::printf(
      "| load | policy | p50 ms | p99 ms | p99.9 ms | within 250 ms | goodput/capacity | "
      "not run | unknown | hand-ons/runs |\n|---|---|---|---|---|---|---|---|---|---|\n");
  for (auto load : {0.5, 0.8, 0.95, 1.2, 2.0}) {
    for (auto policy : {Policy::kRandom, Policy::kLeastReported, Policy::kObservedUnbounded,
                        Policy::kCore, Policy::kCorePinned, Policy::kCoreAlone}) {
      Measure(policy, load);
    }
  }
}

}  // namespace
}  // namespace anvildrum::requests

auto main() -> int { anvildrum::requests::Main(); }
