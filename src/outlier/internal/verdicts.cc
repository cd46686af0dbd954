#include "outlier/verdicts.h"

#include <algorithm>
#include <cmath>
#include <utility>

namespace anvildrum::outlier {
namespace {

// Bounds of the hypotheses' failure shares.
constexpr auto kMinHealthyShare = 0.01;
constexpr auto kMinFailingShare = 0.2;
constexpr auto kFailingFactor = 5.0;
// The failing target's share stays below 1; at 1, a single success would rule out a failure.
constexpr auto kMaxFailingShare = 0.95;

// Minimum number of targets for a verdict.
constexpr auto kMinTargets = std::size_t{3};

// Part of a service's targets that may lose weight.
constexpr auto kSuspectDivisor = std::size_t{5};

struct Rated {
  TargetEvidence evidence;
  double peer_share = 0;
  double ratio = 0;
  Verdict deserved = Verdict::kGood;
};

// Estimates a target's failure share as the mean of Jeffreys' prior after the counts.
//
// Safeguard: at 20 requests a second and a failure share of 0.03, every second target has no
// failure in its counts. The median of plain quotients would be 0, and a healthy target with a few
// failures would look as if it failed far more often than its peers.
auto ShareOf(const Counts& counts) -> double {
  return (std::min(counts.failed, counts.answered) + 0.5) / (counts.answered + 1.0);
}

// Returns the median of the sorted shares without the one at `left_out`.
auto MedianWithout(std::span<const double> sorted, std::size_t left_out) -> double {
  const auto at = [&](std::size_t index) { return sorted[index < left_out ? index : index + 1]; };
  const auto count = sorted.size() - 1;
  return (at((count - 1) / 2) + at(count / 2)) / 2;
}

// Rates the targets that have finished requests, if there are enough of them.
auto Rate(std::span<const TargetEvidence> targets) -> std::vector<Rated> {
  auto rated = std::vector<Rated>{};
  auto shares = std::vector<double>{};
  for (const auto& target : targets) {
    if (target.counts.answered == 0) continue;
    rated.push_back({.evidence = target});
    shares.push_back(ShareOf(target.counts));
  }
  if (rated.size() < kMinTargets) return {};
  std::sort(shares.begin(), shares.end());
  for (auto& target : rated) {
    const auto own =
        std::lower_bound(shares.begin(), shares.end(), ShareOf(target.evidence.counts));
    const auto index = static_cast<std::size_t>(own - shares.begin());
    target.peer_share = MedianWithout(shares, index);
    target.ratio = LogLikelihoodRatio(target.evidence.counts, target.peer_share);
  }
  return rated;
}

auto LevelOf(double ratio, double margin) -> Verdict {
  if (ratio >= kBadRatio + margin) return Verdict::kBad;
  return ratio >= kDoubtfulRatio + margin ? Verdict::kDoubtful : Verdict::kGood;
}

// Returns the verdict that the current counts call for. A verdict that stands is upheld by any
// evidence for it: a bad target gets so few requests that they rarely exceed a limit.
auto DeservedVerdict(const Rated& target, Verdict standing) -> Verdict {
  if (!target.evidence.current || target.ratio <= 0) return Verdict::kGood;
  return std::max(LevelOf(target.ratio, kRepeatedLooks), standing);
}

// Lets a verdict fall by one level per kDecayStep without evidence.
auto Decayed(const TargetState& state, base::TimePoint now) -> TargetState {
  auto next = state;
  while (next.verdict != Verdict::kGood && now - next.supported_at >= kDecayStep) {
    next.verdict = next.verdict == Verdict::kBad ? Verdict::kDoubtful : Verdict::kGood;
    next.supported_at += kDecayStep;
  }
  return next;
}

// Whether more than half of the targets look failing, so that the cause is not in the targets.
auto MostLookAlike(std::span<const Rated> rated) -> bool {
  const auto alike = std::count_if(rated.begin(), rated.end(), [](const Rated& target) {
    return target.ratio >= kDoubtfulRatio;
  });
  return 2 * static_cast<std::size_t>(alike) > rated.size();
}

// Limits the number of targets that lose weight to those with the highest ratios.
auto KeepMostSuspect(std::vector<Rated>& rated, std::size_t targets) -> void {
  auto most = MaxSuspects(targets);
  std::stable_sort(rated.begin(), rated.end(),
                   [](const Rated& a, const Rated& b) { return a.ratio > b.ratio; });
  for (auto& target : rated) {
    if (target.deserved == Verdict::kGood) continue;
    if (most == 0) {
      target.deserved = Verdict::kGood;
    } else {
      --most;
    }
  }
}

// Returns the states that follow from the ratings and from the former states.
auto NextSuspects(const ServiceState& service, std::span<const TargetEvidence> targets,
                  std::span<const Rated> rated, base::TimePoint now)
    -> std::unordered_map<std::uint64_t, TargetState> {
  auto next = std::unordered_map<std::uint64_t, TargetState>{};
  if (MostLookAlike(rated)) return next;
  const auto most = MaxSuspects(targets.size());
  for (const auto& target : rated) {
    if (target.deserved == Verdict::kGood) continue;
    next[target.evidence.target] = {target.deserved, target.evidence.start, now};
  }
  for (const auto& target : targets) {
    const auto former = service.suspects.find(target.target);
    const auto kept = former != service.suspects.end() && former->second.start == target.start;
    if (!kept || next.contains(target.target) || next.size() >= most) continue;
    const auto state = Decayed(former->second, now);
    if (state.verdict != Verdict::kGood) next[target.target] = state;
  }
  return next;
}

}  // namespace

auto NameOf(Verdict verdict) -> std::string_view {
  switch (verdict) {
    case Verdict::kGood:
      return "good";
    case Verdict::kDoubtful:
      return "doubtful";
    case Verdict::kBad:
      return "bad";
  }
  return "unknown";
}

auto LogLikelihoodRatio(const Counts& counts, double peer_share) -> double {
  const auto healthy = std::max(peer_share, kMinHealthyShare);
  const auto failing =
      std::min(std::max(kMinFailingShare, kFailingFactor * healthy), kMaxFailingShare);
  if (healthy >= failing) return 0;
  const auto failed = static_cast<double>(std::min(counts.failed, counts.answered));
  const auto ok = static_cast<double>(counts.answered) - failed;
  return failed * std::log(failing / healthy) + ok * std::log((1 - failing) / (1 - healthy));
}

auto MaxSuspects(std::size_t targets) -> std::size_t {
  if (targets < kMinTargets) return 0;
  return std::max<std::size_t>(targets / kSuspectDivisor, 1);
}

auto Assess(ServiceState& service, std::span<const TargetEvidence> targets, base::TimePoint now)
    -> std::vector<VerdictChange> {
  auto rated = Rate(targets);
  for (auto& target : rated) {
    const auto former = service.suspects.find(target.evidence.target);
    const auto kept =
        former != service.suspects.end() && former->second.start == target.evidence.start;
    const auto standing = kept ? Decayed(former->second, now).verdict : Verdict::kGood;
    target.deserved = DeservedVerdict(target, standing);
  }
  KeepMostSuspect(rated, targets.size());
  auto next = ServiceState{NextSuspects(service, targets, rated, now)};
  auto changes = std::vector<VerdictChange>{};
  for (const auto& target : targets) {
    auto change = VerdictChange{.target = target.target,
                                .before = VerdictOf(service, target.target),
                                .after = VerdictOf(next, target.target),
                                .counts = target.counts};
    if (change.before == change.after) continue;
    const auto rating = std::find_if(rated.begin(), rated.end(), [&](const Rated& one) {
      return one.evidence.target == target.target;
    });
    if (rating != rated.end()) {
      change.peer_share = rating->peer_share;
      change.ratio = rating->ratio;
    }
    changes.push_back(change);
  }
  service = std::move(next);
  return changes;
}

auto VerdictOf(const ServiceState& service, std::uint64_t target) -> Verdict {
  const auto entry = service.suspects.find(target);
  return entry == service.suspects.end() ? Verdict::kGood : entry->second.verdict;
}

}  // namespace anvildrum::outlier
