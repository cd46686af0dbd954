#include "packets/target_verdicts.h"

#include <algorithm>
#include <numeric>
#include <utility>

#include "packets/order.h"

namespace anvildrum::packets {
namespace {

// A verdict lasts for at most two steps of decay without an assessment.
constexpr auto kVerdictLifetime = 2 * outlier::kDecayStep;

// Factor by which a service time may differ from the median and still counts as the median.
constexpr auto kEqualFactor = 1.25;

// Returns the evidence on a member. A report that is too old proves nothing.
auto EvidenceOf(const Member& member, base::TimePoint assessed_at, base::TimePoint now)
    -> outlier::TargetEvidence {
  const auto& report = member.report;
  auto evidence = outlier::TargetEvidence{.target = member.agent, .start = report.start};
  if (now - member.heard <= kCountsLifetime) evidence.counts = {report.answered, report.failed};
  evidence.current = member.heard > assessed_at;
  return evidence;
}

// Returns the evidence on all members that may receive openings, by service. Suspected members are
// included, since a suspicion is usually over before a verdict.
auto CollectEvidence(const Balancer& balancer, base::TimePoint now)
    -> std::unordered_map<base::ServiceId, std::vector<outlier::TargetEvidence>> {
  auto evidence = std::unordered_map<base::ServiceId, std::vector<outlier::TargetEvidence>>{};
  for (const auto& [agent, member] : balancer.view.members) {
    const auto heard = member.heard != base::TimePoint{} && now - member.heard <= kVerdictLifetime;
    if (!heard || member.report.state != TargetState::kReady) continue;
    evidence[member.service].push_back(EvidenceOf(member, balancer.verdicts.assessed_at, now));
  }
  return evidence;
}

auto MayReceive(outlier::Verdict verdict, bool repeatable, bool first, std::uint64_t draw) -> bool {
  switch (verdict) {
    case outlier::Verdict::kGood:
      return true;
    case outlier::Verdict::kDoubtful:
      return repeatable;
    case outlier::Verdict::kBad:
      return repeatable && first && draw % kBadTargetDivisor == 0;
  }
  return true;
}

auto MeanOf(std::span<const double> times) -> double {
  return std::accumulate(times.begin(), times.end(), 0.0) / static_cast<double>(times.size());
}

auto MedianOf(std::vector<double> times) -> double {
  const auto middle = times.begin() + static_cast<std::ptrdiff_t>(times.size() / 2);
  std::nth_element(times.begin(), middle, times.end());
  return *middle;
}

auto SecondsOf(const Member& member) -> double {
  return std::chrono::duration<double>(member.report.service_time).count();
}

}  // namespace

auto RefreshVerdicts(Balancer& balancer, base::TimePoint now) -> std::vector<AgentVerdictChange> {
  auto& verdicts = balancer.verdicts;
  if (!balancer.policy.avoid_failing_targets) {
    verdicts = {};
    return {};
  }
  if (now - verdicts.assessed_at < kAssessmentPeriod) return {};
  const auto evidence = CollectEvidence(balancer, now);
  verdicts.assessed_at = now;
  std::erase_if(verdicts.services,
                [&](const auto& entry) { return !evidence.contains(entry.first); });
  auto changes = std::vector<AgentVerdictChange>{};
  for (const auto& [service, targets] : evidence) {
    auto& state = verdicts.services[service];
    for (auto& change : outlier::Assess(state, targets, now)) changes.push_back({service, change});
    if (state.suspects.empty()) verdicts.services.erase(service);
  }
  return changes;
}

auto VerdictOn(const Balancer& balancer, base::ServiceId service, Address agent,
               base::TimePoint now) -> outlier::Verdict {
  const auto& verdicts = balancer.verdicts;
  const auto entry = verdicts.services.find(service);
  if (entry == verdicts.services.end()) return outlier::Verdict::kGood;
  if (now - verdicts.assessed_at >= kVerdictLifetime) return outlier::Verdict::kGood;
  return outlier::VerdictOf(entry->second, agent);
}

auto CountVerdicts(const Balancer& balancer, outlier::Verdict verdict) -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& [service, state] : balancer.verdicts.services) {
    for (const auto& [agent, target] : state.suspects) count += target.verdict == verdict ? 1 : 0;
  }
  return count;
}

auto WithoutFailing(const Balancer& balancer, const FlowId& flow, base::ServiceId service,
                    std::vector<Place> usable, bool repeatable, base::TimePoint now)
    -> std::vector<Place> {
  if (!balancer.verdicts.services.contains(service) || usable.empty()) return usable;
  const auto first = RendezvousOrder(flow, usable, balancer.domain).front();
  // The low bits of the digest select the service of a route.
  const auto draw = HashOf(flow) >> 32U;
  auto healthy = usable;
  std::erase_if(healthy, [&](const Place& place) {
    const auto verdict = VerdictOn(balancer, service, place.agent, now);
    return !MayReceive(verdict, repeatable, place.agent == first, draw);
  });
  return healthy.empty() ? usable : healthy;
}

auto ComparedServiceTimes(const Balancer& balancer, std::span<const Address> agents)
    -> std::vector<double> {
  auto known = std::vector<double>{};
  auto times = std::vector<double>{};
  for (const auto agent : agents) {
    times.push_back(SecondsOf(balancer.view.members.at(agent)));
    if (times.back() > 0) known.push_back(times.back());
  }
  if (known.empty()) return {};
  const auto mean = MeanOf(known);
  const auto median = MedianOf(known);
  for (auto& time : times) {
    if (time <= 0) time = mean;
    if (time <= median * kEqualFactor && time >= median / kEqualFactor) time = median;
  }
  const auto differs = [&](double time) { return time != times.front(); };
  return std::any_of(times.begin(), times.end(), differs) ? times : std::vector<double>{};
}

}  // namespace anvildrum::packets
