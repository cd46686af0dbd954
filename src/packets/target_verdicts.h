#pragma once

#include <cstddef>
#include <span>
#include <vector>

#include "packets/balancer.h"

/// Placement of openings by the outcomes and the speed that agents report. Off by default
/// (BalancerPolicy::avoid_failing_targets and place_by_completion).
namespace anvildrum::packets {

/// Minimum time between two assessments: the usual period of reports.
inline constexpr auto kAssessmentPeriod = base::milliseconds{250};

/// Counts are evidence for this long after their report, which itself covers up to two seconds.
inline constexpr auto kCountsLifetime = base::seconds{2};

/// Part of its share that a bad target receives: one in this many openings.
inline constexpr auto kBadTargetDivisor = std::uint64_t{20};

/// A change of a verdict. VerdictChange::target is the agent's address.
struct AgentVerdictChange {
  base::ServiceId service;
  outlier::VerdictChange change;
};

/// Assesses the targets of all services, at most once per kAssessmentPeriod, and returns the
/// changes. Does nothing and drops all verdicts while avoid_failing_targets is off.
auto RefreshVerdicts(Balancer& balancer, base::TimePoint now) -> std::vector<AgentVerdictChange>;

/// The verdict on an agent's target; good without one, and if the last assessment is older than a
/// verdict can last.
auto VerdictOn(const Balancer& balancer, base::ServiceId service, Address agent,
               base::TimePoint now) -> outlier::Verdict;

/// Number of targets with the verdict.
auto CountVerdicts(const Balancer& balancer, outlier::Verdict verdict) -> std::size_t;

/// Returns the places to which the opening may be sent: `usable` without the targets whose verdict
/// excludes it, or all of `usable` if none is left. `repeatable` says whether running the request
/// twice does no harm. A bad target receives a kBadTargetDivisor-th of the openings that have it at
/// the head of their order.
///
/// Safeguard: the order bounds the share of a bad target. It looks idle, so that it would otherwise
/// receive every opening that is compared by load.
auto WithoutFailing(const Balancer& balancer, const FlowId& flow, base::ServiceId service,
                    std::vector<Place> usable, bool repeatable, base::TimePoint now)
    -> std::vector<Place>;

/// Returns the service times in seconds by which the agents are compared, or nothing if they count
/// as equal. Times within a quarter of the median count as the median; agents without a time count
/// with the mean of the others.
///
/// Safeguard: the reported means vary by a tenth by chance. Compared exactly, the agent with the
/// lowest one would receive the openings of all idle candidates.
auto ComparedServiceTimes(const Balancer& balancer, std::span<const Address> agents)
    -> std::vector<double>;

}  // namespace anvildrum::packets
