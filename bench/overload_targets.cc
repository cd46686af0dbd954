// The targets of the simulation, what is known of them, and the clock.
#include <algorithm>
#include <cmath>

#include "overload_sim.h"

namespace anvildrum::requests {
namespace {

auto DrawServiceTime(Sim& sim, std::size_t target) -> Milliseconds {
  auto spread = std::normal_distribution<>(-kServiceSpread * kServiceSpread / 2, kServiceSpread);
  auto taken = kServiceTime * std::exp(spread(sim.random));
  if (target == kSlow) taken *= kSlowFactor;
  if (target == kCold && sim.now < kColdFor) {
    taken *= kColdFactor - (kColdFactor - 1) * sim.now / kColdFor;
  }
  return taken;
}

auto StartNext(Sim& sim, std::size_t target) -> void {
  auto& at = sim.targets[target];
  if (at.running == kSlots || at.waiting.empty()) return;
  auto [done, ends] = std::move(at.waiting.front());
  at.waiting.pop();
  ++at.running;
  ++at.runs;
  auto needed = DrawServiceTime(sim, target);
  auto taken = std::min(needed, std::max(ends - sim.now, 0.0));
  After(sim, taken, [&sim, target, done = std::move(done), cut = taken < needed] {
    --sim.targets[target].running;
    StartNext(sim, target);
    done(cut);
  });
}

auto InFlight(const SimTarget& target) -> std::size_t {
  return target.running + target.waiting.size();
}

auto Better(const Sim& sim, std::size_t left, std::size_t right) -> std::size_t {
  return sim.targets[left].observed <= sim.targets[right].observed ? left : right;
}

auto LeastReported(Sim& sim) -> std::size_t {
  auto least = [](const auto& left, const auto& right) { return left.reported < right.reported; };
  auto at = std::min_element(sim.targets.begin(), sim.targets.end(), least);
  return static_cast<std::size_t>(at - sim.targets.begin());
}

}  // namespace

auto At(Milliseconds now) -> base::TimePoint {
  return base::TimePoint(base::hours(1)) +
         base::microseconds(static_cast<std::int64_t>(now * 1000));
}

auto After(Sim& sim, Milliseconds delay, std::function<void()> job) -> void {
  sim.jobs.emplace(sim.now + std::max(delay, 0.0), std::move(job));
}

auto RunAtTarget(Sim& sim, std::size_t target, AfterRun done, Milliseconds ends) -> void {
  sim.targets[target].waiting.push({std::move(done), ends});
  StartNext(sim, target);
}

auto TwoChoices(Sim& sim, std::size_t but_not) -> std::size_t {
  auto draw = [&] {
    auto target = sim.random() % kTargets;
    return target == but_not ? (target + 1) % kTargets : target;
  };
  auto left = draw();
  return Better(sim, left, draw());
}

auto Place(Sim& sim, std::size_t client) -> std::size_t {
  switch (sim.trial.policy) {
    case Policy::kRandom:
      return sim.random() % kTargets;
    case Policy::kLeastReported:
      return LeastReported(sim);
    case Policy::kCorePinned:
    case Policy::kCoreAlone:
      return client % kTargets;
    default:
      return TwoChoices(sim, kTargets);
  }
}

auto Report(Sim& sim) -> void {
  for (auto i = std::size_t{0}; i < kTargets; ++i) {
    sim.targets[i].reported = i == kLiar ? 0 : InFlight(sim.targets[i]);
  }
  After(sim, kReportEvery, [&sim] { Report(sim); });
}

// What is observed without asking the target: requests in flight and how long they take.
auto Observe(Sim& sim) -> void {
  for (auto i = std::size_t{0}; i < kTargets; ++i) {
    auto& target = sim.targets[i];
    if (sim.cores.empty()) {
      target.observed = static_cast<double>(InFlight(target));
      continue;
    }
    auto busy = RequestLoadOf(*sim.cores[i], At(sim.now));
    target.observed = static_cast<double>(busy.running + busy.queued + 1) *
                      static_cast<double>(busy.service_time.count());
  }
  After(sim, kObserveEvery, [&sim] { Observe(sim); });
}

}  // namespace anvildrum::requests
