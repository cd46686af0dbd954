#include "steering/placement.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace anvildrum::steering {
namespace {

constexpr auto kPermille = 1000.0;
constexpr auto kDraws = 2;
constexpr auto kMaxDrawAttempts = 8;

auto CanTake(const TargetLoad& load) -> bool {
  if (!load.eligible || load.weight <= 0) return false;
  return load.connections == 0 || load.flows < load.connections;
}

// Mean values of the service's eligible targets.
struct Means {
  double delay = 0;            ///< in ns, over the targets with a known delay
  double refused = 0;          ///< permille
  double flows_per_share = 0;  ///< number of flows divided by the sum of shares
};

auto SlowStartFactor(const PlacementPolicy& policy, const TargetLoad& load) -> double {
  if (load.age >= policy.slow_start) return 1.0;
  auto ramp =
      static_cast<double>(load.age.count()) / static_cast<double>(policy.slow_start.count());
  return policy.slow_start_floor + (1.0 - policy.slow_start_floor) * ramp;
}

// A target with twice the mean delay gets half the share.
auto DelayFactor(const PlacementPolicy& policy, const TargetLoad& load, const Means& means)
    -> double {
  auto delay = static_cast<double>(load.delay.count());
  if (means.delay <= 0 || delay <= policy.delay_margin * means.delay) return 1.0;
  return means.delay / delay;
}

auto RefusedFactor(const PlacementPolicy& policy, const TargetLoad& load, const Means& means)
    -> double {
  auto excess = load.refused_permille - means.refused;
  if (excess <= policy.refused_margin) return 1.0;
  return 1.0 - excess / kPermille;
}

auto ShareOf(const PlacementPolicy& policy, const TargetLoad& load, const Means& means) -> double {
  auto factor = DelayFactor(policy, load, means) * RefusedFactor(policy, load, means);
  return load.weight * SlowStartFactor(policy, load) * std::max(policy.min_factor, factor);
}

auto MeansOf(const PlacementPolicy& policy, std::span<const TargetLoad> loads) -> Means {
  auto delay = 0.0;
  auto delays = 0;
  auto refused = 0.0;
  auto count = 0;
  for (const auto& load : loads) {
    if (!load.eligible) continue;
    ++count;
    refused += load.refused_permille;
    if (load.delay <= base::Duration::zero()) continue;
    ++delays;
    delay += static_cast<double>(load.delay.count());
  }
  auto means = Means{delays > 0 ? delay / delays : 0, count > 0 ? refused / count : 0, 0};
  auto flows = 0.0;
  auto shares = 0.0;
  for (const auto& load : loads) {
    if (!load.eligible) continue;
    flows += load.flows;
    shares += ShareOf(policy, load, means);
  }
  means.flows_per_share = shares > 0 ? flows / shares : 0;
  return means;
}

auto IsWithinBound(const PlacementPolicy& policy, const TargetLoad& load, const Means& means)
    -> bool {
  if (!CanTake(load)) return false;
  auto mean = ShareOf(policy, load, means) * means.flows_per_share;
  return load.flows + 1.0 <= (1.0 + policy.flow_margin) * mean + policy.flow_slack;
}

// Combines the flows relative to the share and the requests that wait for a slot. Lower is better.
auto Cost(const PlacementPolicy& policy, const TargetLoad& load, const Means& means) -> double {
  auto flows = (load.flows + 1.0) / ShareOf(policy, load, means) / (means.flows_per_share + 1.0);
  auto busy = static_cast<double>(load.in_flight) / std::max(1U, load.slots);
  return flows + std::max(0.0, busy - 1.0);
}

// Draws a random target that can take the flow. Usually a few draws find one; after
// kMaxDrawAttempts all targets are checked.
template <typename Allowed>
auto Draw(std::span<const TargetLoad> loads, Random& random, Allowed allowed) -> std::uint32_t {
  auto any =
      std::uniform_int_distribution<std::uint32_t>(0, static_cast<std::uint32_t>(loads.size()) - 1);
  for (auto i = 0; i < kMaxDrawAttempts; ++i) {
    auto index = any(random);
    if (allowed(loads[index])) return index;
  }
  auto start = any(random);
  for (auto i = std::size_t{0}; i < loads.size(); ++i) {
    auto index = static_cast<std::uint32_t>((start + i) % loads.size());
    if (allowed(loads[index])) return index;
  }
  return kNoTarget;
}

template <typename Allowed>
auto LessLoadedOfTwo(const PlacementPolicy& policy, std::span<const TargetLoad> loads,
                     const Means& means, Random& random, Allowed allowed) -> std::uint32_t {
  auto best = kNoTarget;
  auto best_cost = std::numeric_limits<double>::infinity();
  for (auto i = 0; i < kDraws; ++i) {
    auto index = Draw(loads, random, allowed);
    if (index == kNoTarget) return kNoTarget;
    auto cost = Cost(policy, loads[index], means);
    if (cost >= best_cost) continue;
    best = index;
    best_cost = cost;
  }
  return best;
}

auto LeastReportedLoad(std::span<const TargetLoad> loads) -> std::uint32_t {
  auto best = kNoTarget;
  for (auto i = std::uint32_t{0}; i < loads.size(); ++i) {
    if (!CanTake(loads[i])) continue;
    if (best != kNoTarget && loads[i].reported_load >= loads[best].reported_load) continue;
    best = i;
  }
  return best;
}

auto HomeOrAny(const PlacementRequest& request, Random& random) -> std::uint32_t {
  if (request.home != kNoTarget && CanTake(request.loads[request.home])) return request.home;
  return Draw(request.loads, random, CanTake);
}

auto PlaceHomeFirst(const PlacementPolicy& policy, const PlacementRequest& request,
                    const Means& means, Random& random) -> std::uint32_t {
  auto loads = request.loads;
  auto preferred = [&](const TargetLoad& load) {
    return !policy.prefer_domain || load.failure_domain == request.preferred_domain;
  };
  auto within = [&](const TargetLoad& load) { return IsWithinBound(policy, load, means); };
  if (request.home != kNoTarget) {
    const auto& home = loads[request.home];
    if (preferred(home) && within(home)) return request.home;
  }
  auto both = [&](const TargetLoad& load) { return preferred(load) && within(load); };
  auto chosen = LessLoadedOfTwo(policy, loads, means, random, both);
  if (chosen == kNoTarget) chosen = LessLoadedOfTwo(policy, loads, means, random, within);
  if (chosen == kNoTarget) chosen = LessLoadedOfTwo(policy, loads, means, random, CanTake);
  return chosen;
}

}  // namespace

auto Place(const PlacementPolicy& policy, const PlacementRequest& request, Random& random)
    -> std::uint32_t {
  if (request.loads.empty()) return kNoTarget;
  switch (policy.kind) {
    case PlacementKind::kRandom:
      return Draw(request.loads, random, CanTake);
    case PlacementKind::kLeastReportedLoad:
      return LeastReportedLoad(request.loads);
    case PlacementKind::kRendezvous:
      return HomeOrAny(request, random);
    case PlacementKind::kPowerOfTwo:
      return LessLoadedOfTwo(policy, request.loads, MeansOf(policy, request.loads), random,
                             CanTake);
    case PlacementKind::kHomeFirst:
      return PlaceHomeFirst(policy, request, MeansOf(policy, request.loads), random);
  }
  return kNoTarget;
}

}  // namespace anvildrum::steering
