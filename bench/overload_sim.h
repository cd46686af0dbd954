#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "requests/requests.h"
#include "requests/retry_budget.h"

// Holds sent to targets on a virtual clock, under the request core or a plain baseline.
namespace anvildrum::requests {

using Milliseconds = double;

inline constexpr auto kTargets = std::size_t{7};
inline constexpr auto kSlots = std::size_t{4};
inline constexpr auto kSlow = std::size_t{0};
inline constexpr auto kCold = std::size_t{1};
inline constexpr auto kLiar = std::size_t{2};
inline constexpr auto kServiceTime = Milliseconds{20};
inline constexpr auto kSlowFactor = 3.0;
inline constexpr auto kColdFactor = 5.0;
inline constexpr auto kColdFor = Milliseconds{10'000};
inline constexpr auto kNetwork = Milliseconds{2};  // one way, client to agent
inline constexpr auto kBetweenAgents = Milliseconds{1.5};
inline constexpr auto kReportEvery = Milliseconds{100};  // reported load is this old at most
inline constexpr auto kObserveEvery = Milliseconds{20};  // so is what a balancer observed
inline constexpr auto kRun = Milliseconds{60'000};
inline constexpr auto kDeadline = Milliseconds{250};
inline constexpr auto kClients = std::size_t{200};
inline constexpr auto kServiceSpread = 0.5;  // sigma of the log-normal service time
inline constexpr auto kSeed = 20260101;
inline constexpr auto kNever = Milliseconds{1e12};

enum class Policy { kRandom, kLeastReported, kObservedUnbounded, kCore, kCorePinned, kCoreAlone };

/// What clients send, and what is tried on top of the policy.
struct Trial {
  Policy policy = Policy::kRandom;
  double load = 0;
  bool reads = false;      ///< GETs in place of holds: no challenge, and they may be hedged
  bool deadlines = false;  ///< every request carries a Deadline option of kDeadline
  /// A read that has no answer this long after it reached its agent is also sent to another one,
  /// and the first answer counts; 0: never.
  Milliseconds hedge_after = 0;
  double retry_share = Parameters{}.retry_share;
  double hedge_share = 0;  ///< hedges for each read, at most
};

struct Hold {
  Milliseconds sent = 0;
  std::size_t target = 0;
  base::FlowKey flow;
  bool settled = false;  ///< its client has a final answer
};

/// What follows a run; `cut`: it was stopped before its end.
using AfterRun = std::function<void(bool cut)>;

struct Waiting {
  AfterRun done;
  Milliseconds ends = 0;  ///< the run stops then at the latest
};

struct SimTarget {
  std::size_t running = 0;
  std::queue<Waiting> waiting;
  std::size_t reported = 0;
  double observed = 0;
  std::uint64_t runs = 0;
};

struct Sim {
  Trial trial;
  RetryBudget hedge_budget;
  std::mt19937_64 random{kSeed};
  Milliseconds now = 0;
  std::multimap<Milliseconds, std::function<void()>> jobs;
  std::vector<SimTarget> targets{kTargets};
  std::vector<StatePtr> cores;
  std::vector<Hold> holds;
  std::vector<Milliseconds> latencies;
  std::uint64_t refused = 0;
  std::uint64_t unknown = 0;
  std::uint64_t offers = 0;
  std::uint64_t hedge_runs = 0;  ///< runs of what runs at another target too
};

auto At(Milliseconds now) -> base::TimePoint;
auto After(Sim& sim, Milliseconds delay, std::function<void()> job) -> void;

/// Calls `done` when a slot of the target has been free and the request has run, or been stopped.
auto RunAtTarget(Sim& sim, std::size_t target, AfterRun done, Milliseconds ends = kNever) -> void;

/// The better of two random targets by what was observed last; `but_not` none of them.
auto TwoChoices(Sim& sim, std::size_t but_not) -> std::size_t;

/// The target of a new request, by the policy.
auto Place(Sim& sim, std::size_t client) -> std::size_t;

/// What targets report, and what is observed without asking them; each goes on by itself.
auto Report(Sim& sim) -> void;
auto Observe(Sim& sim) -> void;

auto CapacityPerSecond() -> double;

/// Runs the load for kRun and until all holds that are in flight have ended.
auto RunSim(const Trial& trial) -> Sim;

}  // namespace anvildrum::requests
