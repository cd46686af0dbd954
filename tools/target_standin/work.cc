#include "tools/target_standin/work.h"

#include <algorithm>

namespace anvildrum::target {
namespace {

// Requests after which the target is warm.
constexpr auto kColdRequests = 20.0;
// Service times spread evenly by this share around their mean.
constexpr auto kSpread = 0.25;
constexpr auto kMinMaxAge = 1U;
constexpr auto kMaxMaxAge = 3U;

auto Scale(base::Duration duration, double factor) -> base::Duration {
  return base::Duration(
      static_cast<base::Duration::rep>(static_cast<double>(duration.count()) * factor));
}

auto ColdExtra(const Work& work) -> base::Duration {
  auto cold = std::max(0.0, 1 - static_cast<double>(work.admitted) / kColdRequests);
  return Scale(work.settings.cold_extra, cold);
}

auto MeanRunTime(const Work& work) -> base::Duration {
  return work.settings.service_time + ColdExtra(work);
}

auto RunTime(Work& work) -> base::Duration {
  auto spread = std::uniform_real_distribution<double>(1 - kSpread, 1 + kSpread);
  return Scale(work.settings.service_time, spread(work.random)) + ColdExtra(work);
}

/// Drops what is older than any lagging answer needs: one entry at or before the lag's start stays.
auto TrimHistory(Work& work, base::TimePoint now) -> void {
  auto start = now - work.settings.load_lag;
  while (work.history.size() > 1 && work.history[1].time <= start) work.history.pop_front();
}

auto Record(Work& work, base::TimePoint now) -> void {
  work.history.push_back({now, {work.in_flight, work.draining}});
  TrimHistory(work, now);
}

auto FreeSlot(Work& work, base::TimePoint now) -> void {
  --work.in_flight;
  Record(work, now);
}

}  // namespace

auto Admit(Work& work, std::string_view request_id, base::TimePoint now, base::Duration left)
    -> std::optional<Admitted> {
  auto full = work.draining || work.in_flight >= work.settings.slots;
  if (full || MeanRunTime(work) > left) {
    ++work.refused;
    return std::nullopt;
  }
  auto run_time = RunTime(work);
  auto admitted = Admitted{work.next_job++, std::min(run_time, left)};
  ++work.admitted;
  ++work.in_flight;
  work.jobs[admitted.job] = Job{std::string(request_id), JobOutcome::kRunning, run_time > left};
  if (!request_id.empty()) ++work.executions[std::string(request_id)];
  Record(work, now);
  return admitted;
}

auto Finish(Work& work, JobId job, base::TimePoint now) -> JobOutcome {
  auto found = work.jobs.find(job);
  if (found == work.jobs.end()) return JobOutcome::kCancelled;
  auto ended = found->second;
  work.jobs.erase(found);
  if (ended.outcome == JobOutcome::kCancelled) return ended.outcome;
  FreeSlot(work, now);
  if (!ended.expires) return JobOutcome::kDone;
  ++work.expired;
  return JobOutcome::kExpired;
}

auto Cancel(Work& work, std::string_view request_id, base::TimePoint now) -> std::optional<JobId> {
  for (auto& [id, job] : work.jobs) {
    if (job.request_id != request_id || job.outcome != JobOutcome::kRunning) continue;
    job.outcome = JobOutcome::kCancelled;
    FreeSlot(work, now);
    return id;
  }
  return std::nullopt;
}

auto SetDraining(Work& work, bool draining, base::TimePoint now) -> void {
  work.draining = draining;
  Record(work, now);
}

auto RefusalMaxAge(Work& work) -> std::uint32_t {
  return std::uniform_int_distribution<std::uint32_t>(kMinMaxAge, kMaxMaxAge)(work.random);
}

auto ToldLoad(const Work& work, base::TimePoint now) -> Load {
  auto told = Load{};
  for (const auto& entry : work.history) {
    if (entry.time > now - work.settings.load_lag) break;
    told = entry.load;
  }
  if (work.settings.lying_load) told.in_flight = 0;
  return told;
}

}  // namespace anvildrum::target
