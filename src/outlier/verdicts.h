#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/types/time.h"
#include "outlier/types/counts.h"

/// Compares the targets of one service by the counts that their agents report.
namespace anvildrum::outlier {

/// What a target's recent failures, compared with those of its peers, say about it.
enum class Verdict : std::uint8_t { kGood, kDoubtful, kBad };

/// Short name of the verdict for logs.
auto NameOf(Verdict verdict) -> std::string_view;

/// Log likelihood ratios from which a target is doubtful or bad.
inline constexpr auto kDoubtfulRatio = 3.0;
inline constexpr auto kBadRatio = 6.0;

/// Added to both limits while a target has no such verdict yet.
///
/// Safeguard: the limits hold for a single look, in which a healthy target exceeds the ratio r with
/// a probability of up to exp(-r). A balancer looks several times a second; a limit of 3 alone
/// would find each healthy target doubtful several times an hour.
inline constexpr auto kRepeatedLooks = 10.0;

/// A verdict falls by one level after this long without new evidence: from bad to good in 3 s.
inline constexpr auto kDecayStep = base::milliseconds{1500};

/// The report of a target's agent.
struct TargetEvidence {
  std::uint64_t target = 0;  ///< any key that is unique in the service
  std::uint64_t start = 0;   ///< differs between starts of the agent, which lose the evidence
  Counts counts{};
  bool current = true;  ///< false: no report has arrived since the last assessment
};

/// State of a target between two assessments.
struct TargetState {
  Verdict verdict = Verdict::kGood;
  std::uint64_t start = 0;
  base::TimePoint supported_at{};  ///< last evidence for the verdict
};

/// Targets of a service whose verdict is not good.
struct ServiceState {
  std::unordered_map<std::uint64_t, TargetState> suspects;  ///< by target
};

/// A change of a verdict, with what it was derived from.
struct VerdictChange {
  std::uint64_t target = 0;
  Verdict before = Verdict::kGood;
  Verdict after = Verdict::kGood;
  Counts counts;
  double peer_share = 0;  ///< median failure share of the other targets
  double ratio = 0;       ///< log likelihood ratio
};

/// Returns the natural logarithm of how much likelier the counts are for a failing target than for
/// one that fails as often as its peers. 0 if the peers fail so often that no difference can be
/// told.
auto LogLikelihoodRatio(const Counts& counts, double peer_share) -> double;

/// Maximum number of targets that may lose weight in a service with `targets` targets.
auto MaxSuspects(std::size_t targets) -> std::size_t;

/// Assesses all targets of a service and returns the changes. `targets` are all targets that may
/// receive requests; a verdict on any other target is dropped.
///
/// Safeguard: if many targets fail, the cause is their load or their requests. Taking weight from
/// them would overload the others, so that at most MaxSuspects of them lose weight, and none if
/// more than half of them look alike.
auto Assess(ServiceState& service, std::span<const TargetEvidence> targets, base::TimePoint now)
    -> std::vector<VerdictChange>;

/// The target's verdict.
auto VerdictOf(const ServiceState& service, std::uint64_t target) -> Verdict;

}  // namespace anvildrum::outlier
