#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "base/types/time.h"
#include "outlier/types/counts.h"
#include "outlier/types/request.h"

/// Detects targets that fail or are slow. An agent classifies the finished requests of its target
/// (this file); a balancer compares the targets of a service (outlier/verdicts.h).
namespace anvildrum::outlier {

/// Usual answers of a route at one target.
struct RouteStatistics {
  std::uint64_t route = 0;
  std::uint32_t observed = 0;  ///< answers, up to kMinObserved
  double mean_bytes = 0;
  base::Duration mean_taken{};
  base::TimePoint used{};  ///< last finished request
};

/// Maximum number of routes with statistics of their own. A further route replaces the one that has
/// been unused for longest.
inline constexpr auto kMaxRoutes = std::size_t{32};

/// Answers of a route after which its statistics are used.
inline constexpr auto kMinObserved = std::uint32_t{20};

/// Length of a generation of counts.
inline constexpr auto kGeneration = base::seconds{1};

/// Outcomes of the requests at one target, of constant size.
struct Outcomes {
  std::vector<RouteStatistics> routes;  ///< at most kMaxRoutes
  std::array<Counts, 2> generations{};  ///< current and previous
  base::TimePoint rotated_at{};         ///< start of the current generation; the epoch: none yet
  base::Duration mean_service{};        ///< zero: unknown
  base::TimePoint served_at{};          ///< last observation of `mean_service`
};

enum class Outcome : std::uint8_t { kOk, kFailed, kUnknown };

/// Classifies a finished request, counts it and updates the route's statistics. A request whose
/// outcome is unknown is not counted: its client left, so that a short answer proves nothing.
auto Record(Outcomes& outcomes, const FinishedRequest& request, base::TimePoint now) -> Outcome;

/// Records a request's service time without the wait in the target's queue.
auto RecordService(Outcomes& outcomes, base::Duration service, base::TimePoint now) -> void;

/// Returns the counts of the current and the previous generation.
auto CountsOf(Outcomes& outcomes, base::TimePoint now) -> Counts;

/// Returns the mean service time of recent requests; zero if it is unknown.
auto MeanService(const Outcomes& outcomes, base::TimePoint now) -> base::Duration;

/// Returns the time without an answer after which a request of the route has failed, or nothing
/// while the route's usual time is unknown.
auto ResponseTimeout(const Outcomes& outcomes, std::uint64_t route)
    -> std::optional<base::Duration>;

}  // namespace anvildrum::outlier
