// Holds under load on a virtual clock: seven targets with four slots each, of which one is slow,
// one starts cold and one reports no load. Prints a table of the request core against plain
// baselines.
#include <algorithm>
#include <cstdio>
#include <string_view>
#include <vector>

#include "overload_sim.h"

namespace anvildrum::requests {
namespace {

auto Percentile(const std::vector<Milliseconds>& sorted, double share) -> Milliseconds {
  if (sorted.empty()) return 0;
  auto at = static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1));
  return sorted[at];
}

struct Named {
  std::string_view name;
  Trial trial;
};

auto Rows() -> std::vector<Named> {
  return {
      {"random target, unbounded queue", {.policy = Policy::kRandom}},
      {"least reported load, unbounded queue", {.policy = Policy::kLeastReported}},
      {"two choices by in flight, unbounded queue", {.policy = Policy::kObservedUnbounded}},
      {"request core, new flows placed by observed delay", {.policy = Policy::kCore}},
      {"the same, clients with a deadline of 250 ms", {.policy = Policy::kCore, .deadlines = true}},
      {"request core, flows pinned evenly", {.policy = Policy::kCorePinned}},
      {"request core, flows pinned evenly, no hand-on", {.policy = Policy::kCoreAlone}},
  };
}

// Reads: no challenge, and hedging. Placed and pinned; with the shipped hand-on of 4 %, and with
// hedges in place of it or beside it, within the same 4 %.
auto HedgeRows() -> std::vector<Named> {
  auto rows = std::vector<Named>{};
  for (auto policy : {Policy::kCore, Policy::kCorePinned}) {
    auto plain = Trial{.policy = policy, .reads = true};
    auto after_50 = plain;
    after_50.hedge_after = 50;
    after_50.hedge_share = plain.retry_share;
    after_50.retry_share = 0;
    auto after_100 = after_50;
    after_100.hedge_after = 100;
    auto shared = after_100;
    shared.hedge_share = plain.retry_share / 2;
    shared.retry_share = plain.retry_share / 2;
    auto placed = policy == Policy::kCore;
    rows.push_back({placed ? "placed, hand-on 4 %" : "pinned, hand-on 4 %", plain});
    rows.push_back(
        {placed ? "placed, hedge after 50 ms 4 %" : "pinned, hedge after 50 ms 4 %", after_50});
    rows.push_back(
        {placed ? "placed, hedge after 100 ms 4 %" : "pinned, hedge after 100 ms 4 %", after_100});
    rows.push_back({placed ? "placed, hedge after 100 ms 2 %, hand-on 2 %"
                           : "pinned, hedge after 100 ms 2 %, hand-on 2 %",
                    shared});
  }
  return rows;
}

auto PrintRow(std::string_view name, Sim& sim) -> void {
  std::sort(sim.latencies.begin(), sim.latencies.end());
  auto in_time = std::upper_bound(sim.latencies.begin(), sim.latencies.end(), kDeadline) -
                 sim.latencies.begin();
  auto sent = static_cast<double>(sim.holds.size());
  auto runs = std::uint64_t{0};
  for (const auto& target : sim.targets) runs += target.runs;
  auto all_runs = static_cast<double>(std::max(runs, std::uint64_t{1}));
  auto capacity = CapacityPerSecond() * kRun / 1000;
  std::printf(
      "| %3.0f %% | %s | %.1f | %.1f | %.1f | %.1f %% | %.1f %% | %.1f %% | %llu | %.2f %% | %.2f "
      "%% "
      "|\n",
      sim.trial.load * 100, name.data(), Percentile(sim.latencies, 0.5),
      Percentile(sim.latencies, 0.99), Percentile(sim.latencies, 0.999),
      100 * static_cast<double>(in_time) / sent, 100 * static_cast<double>(in_time) / capacity,
      100 * static_cast<double>(sim.refused) / sent, static_cast<unsigned long long>(sim.unknown),
      100 * static_cast<double>(sim.offers) / all_runs,
      100 * static_cast<double>(sim.hedge_runs) / all_runs);
}

auto PrintTable(const std::vector<Named>& rows) -> void {
  std::printf(
      "| load | policy | p50 ms | p99 ms | p99.9 ms | within 250 ms | goodput/capacity | not run | "
      "unknown | hand-ons/runs | hedged runs/runs "
      "|\n|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (auto load : {0.5, 0.8, 0.95, 1.2, 2.0}) {
    for (auto [name, trial] : rows) {
      trial.load = load;
      auto sim = RunSim(trial);
      PrintRow(name, sim);
    }
  }
}

auto Main() -> void {
  std::printf(
      "Capacity of the slots: %.0f holds/s; %zu targets x %zu slots, %.0f ms a hold, "
      "one %.0fx slow, one %.0fx slow at first for %.0f s, one that reports no load.\n\n",
      CapacityPerSecond(), kTargets, kSlots, kServiceTime, kSlowFactor, kColdFactor,
      kColdFor / 1000);
  PrintTable(Rows());
  std::printf(
      "\nReads (no challenge), request core. A hedge is a second copy at another target while the "
      "first one is under way.\n\n");
  PrintTable(HedgeRows());
}

}  // namespace
}  // namespace anvildrum::requests

auto main() -> int { anvildrum::requests::Main(); }
