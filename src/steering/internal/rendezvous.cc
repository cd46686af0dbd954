#include "steering/rendezvous.h"

#include <algorithm>
#include <cmath>

namespace anvildrum::steering {
namespace {

constexpr auto kUnit = 0x1.0p-53;
constexpr auto kMantissaShift = 11;

// Mixes flow and target into 64 uniform bits with the finalizer of SplitMix64.
auto Mix(std::uint64_t flow_hash, base::TargetId target) -> std::uint64_t {
  auto x = flow_hash ^ target.value;
  x = (x ^ (x >> 30)) * 0xbf58476d1ce4e5b9ULL;
  x = (x ^ (x >> 27)) * 0x94d049bb133111ebULL;
  return x ^ (x >> 31);
}

auto WeightedScore(std::uint64_t mixed, double weight) -> double {
  auto uniform = (static_cast<double>(mixed >> kMantissaShift) + 0.5) * kUnit;
  return -weight / std::log(uniform);
}

// Returns the index of the best candidate for which `allowed` is true.
template <typename Allowed>
auto BestOf(const CandidateSet& set, std::uint64_t flow_hash, Allowed allowed) -> std::uint32_t {
  auto best = kNone;
  auto best_mixed = std::uint64_t{0};
  auto best_score = -1.0;
  for (auto i = std::uint32_t{0}; i < set.candidates.size(); ++i) {
    const auto& candidate = set.candidates[i];
    if (!candidate.placeable || !allowed(i, candidate)) continue;
    auto mixed = Mix(flow_hash, candidate.target);
    if (set.equal_weights) {
      if (best != kNone && mixed <= best_mixed) continue;
      best_mixed = mixed;
    } else {
      auto score = WeightedScore(mixed, candidate.weight);
      if (score <= best_score) continue;
      best_score = score;
    }
    best = i;
  }
  return best;
}

auto FindSecondHome(const CandidateSet& set, std::uint64_t flow_hash, std::uint32_t first)
    -> std::uint32_t {
  if (first == kNone) return kNone;
  auto domain = set.candidates[first].failure_domain;
  auto elsewhere = [&](std::uint32_t, const Candidate& c) { return c.failure_domain != domain; };
  auto second = BestOf(set, flow_hash, elsewhere);
  if (second != kNone) return second;
  return BestOf(set, flow_hash, [&](std::uint32_t i, const Candidate&) { return i != first; });
}

}  // namespace

auto MakeCandidates(const membership::ServiceView& service) -> CandidateSet {
  auto set = CandidateSet{};
  set.candidates.reserve(service.targets.size());
  for (const auto& target : service.targets) {
    auto domain = base::HashName(target.record.failure_domain);
    auto placeable = !target.draining && target.weight > 0;
    set.candidates.push_back({target.record.id, target.weight, domain, placeable, target.suspect});
    if (placeable && target.weight != 1.0) set.equal_weights = false;
  }
  return set;
}

auto FindFirstHome(const CandidateSet& set, std::uint64_t flow_hash) -> std::uint32_t {
  return BestOf(set, flow_hash, [](std::uint32_t, const Candidate&) { return true; });
}

auto FindHomes(const CandidateSet& set, std::uint64_t flow_hash) -> Homes {
  auto first = FindFirstHome(set, flow_hash);
  return {first, FindSecondHome(set, flow_hash, first)};
}

auto FindStandBy(const CandidateSet& set, std::uint64_t flow_hash, base::TargetId owner,
                 std::uint64_t owner_domain) -> std::uint32_t {
  auto other = [&](const Candidate& c) { return c.target != owner && !c.suspect; };
  auto elsewhere = BestOf(set, flow_hash, [&](std::uint32_t, const Candidate& c) {
    return other(c) && c.failure_domain != owner_domain;
  });
  if (elsewhere != kNone) return elsewhere;
  return BestOf(set, flow_hash, [&](std::uint32_t, const Candidate& c) { return other(c); });
}

auto FindActingHome(const CandidateSet& set, std::uint64_t flow_hash) -> std::uint32_t {
  auto first = FindFirstHome(set, flow_hash);
  if (first == kNone || !set.candidates[first].suspect) return first;
  auto second = FindSecondHome(set, flow_hash, first);
  if (second != kNone && !set.candidates[second].suspect) return second;
  auto trusted =
      BestOf(set, flow_hash, [](std::uint32_t, const Candidate& c) { return !c.suspect; });
  return trusted != kNone ? trusted : first;
}

}  // namespace anvildrum::steering
