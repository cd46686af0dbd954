#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <string_view>

#include "base/types/time.h"

namespace anvildrum::target {

/// How the target does its work.
struct WorkSettings {
  unsigned slots = 4;             ///< requests run at once
  base::Duration service_time{};  ///< mean of a warm request
  base::Duration cold_extra{};    ///< added to the first request, less to each later one
  base::Duration report_time{};   ///< at least, from a report's first block to its last
  base::Duration load_lag{};      ///< age of what the health and load answers tell
  bool lying_load = false;        ///< the load answer tells an idle target
};

using JobId = std::uint64_t;

enum class JobOutcome { kRunning, kDone, kCancelled, kExpired };

struct Job {
  std::string request_id;  ///< empty for a request without one
  JobOutcome outcome = JobOutcome::kRunning;
  bool expires = false;  ///< its client's deadline ends it
};

struct Load {
  unsigned in_flight = 0;
  bool draining = false;
  auto operator==(const Load&) const -> bool = default;
};

struct LoadAt {
  base::TimePoint time;
  Load load;
};

struct Work {
  WorkSettings settings;
  std::mt19937_64 random;
  std::map<JobId, Job> jobs;  ///< those that hold a slot, and cancelled ones not yet answered
  std::map<std::string, std::uint64_t, std::less<>> executions;  ///< by request id
  std::deque<LoadAt> history;                                    ///< oldest first
  std::uint64_t admitted = 0;
  std::uint64_t refused = 0;
  std::uint64_t expired = 0;  ///< stopped at their client's deadline
  unsigned in_flight = 0;
  bool draining = false;
  JobId next_job = 1;
};

/// A request that got a slot, and how long it runs.
struct Admitted {
  JobId job = 0;
  base::Duration run_time{};
};

/// Takes a slot, or refuses when all are taken, the target drains, or the mean run is longer than
/// what is left of the client's time. A run that turns out longer than that ends there. A request
/// with an id counts as executed from here on.
auto Admit(Work& work, std::string_view request_id, base::TimePoint now,
           base::Duration left = base::Duration::max()) -> std::optional<Admitted>;

/// Ends a job and frees its slot; what had become of it: kDone, kCancelled, or kExpired when the
/// client's deadline ended it. Unknown jobs count as cancelled.
auto Finish(Work& work, JobId job, base::TimePoint now) -> JobOutcome;

/// Frees the slot of the running request with this id at once. Returns its job, which stays until
/// Finish.
auto Cancel(Work& work, std::string_view request_id, base::TimePoint now) -> std::optional<JobId>;

auto SetDraining(Work& work, bool draining, base::TimePoint now) -> void;

/// Max-Age of a refusal in seconds, spread so that clients don't come back together.
auto RefusalMaxAge(Work& work) -> std::uint32_t;

/// What the health and load answers tell at `now`: the load of load_lag ago, or a lie.
auto ToldLoad(const Work& work, base::TimePoint now) -> Load;

}  // namespace anvildrum::target
