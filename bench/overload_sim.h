#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <queue>
#include <random>
#include <vector>

#include "requests/requests.h"

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

enum class Policy { kRandom, kLeastReported, kObservedUnbounded, kCore, kCorePinned, kCoreAlone };

struct Hold {
  Milliseconds sent = 0;
  std::size_t target = 0;
  base::FlowKey flow;
};

struct SimTarget {
  std::size_t running = 0;
  std::queue<std::function<void()>> waiting;
  std::size_t reported = 0;
  double observed = 0;
  std::uint64_t runs = 0;
};

struct Sim {
  Policy policy = Policy::kRandom;
  double load = 0;
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
};

auto CapacityPerSecond() -> double;

/// Runs the load for kRun and until all holds that are in flight have ended.
auto RunSim(Policy policy, double load) -> Sim;

}  // namespace anvildrum::requests
