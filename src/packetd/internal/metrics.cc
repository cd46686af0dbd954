#include "packetd/metrics.h"

#include <array>
#include <numeric>
#include <string>

#include "packets/target_verdicts.h"

namespace anvildrum::packetd {
namespace {

constexpr auto kPrefix = std::string_view{"anvildrum_packets_"};

constexpr auto kTurnedAwayBy =
    std::array{admission::Limit::kPriority, admission::Limit::kCompletion,
               admission::Limit::kCaller, admission::Limit::kSlots};

auto ShortageCountsOf(const packets::Agent& agent, base::TimePoint now) -> std::vector<NamedCount> {
  const auto& counters = agent.counters.shortage;
  auto counts = std::vector<NamedCount>{
      {"short", "Whether the service is short of capacity at this target",
       admission::IsShort(agent.admission, now) ? 1U : 0U, true},
      {"shortages_total", "Shortages that began", counters.shortages},
      {"admitted_first_total", "Openings of the highest priority admitted before lower ones",
       counters.admitted_urgent_first},
      {"left_to_copies_total", "Openings left without an answer until their client's next copy",
       counters.left_to_copies},
  };
  for (const auto limit : kTurnedAwayBy) {
    counts.push_back({.name = "turned_away_total",
                      .help = "Openings that the target was not given, by reason",
                      .value = counters.turned_away.at(static_cast<std::size_t>(limit)),
                      .reason = admission::NameOf(limit)});
  }
  return counts;
}

}  // namespace

auto Sum(std::span<const std::uint64_t> counts) -> std::uint64_t {
  return std::accumulate(counts.begin(), counts.end(), std::uint64_t{0});
}

auto CountsOf(const packets::Balancer& balancer) -> std::vector<NamedCount> {
  const auto& counters = balancer.counters;
  return {
      {"openings_total", "Openings of flows, repeated ones included", counters.openings},
      {"copies_total", "Openings that their client repeated", counters.copies},
      {"forwarded_total", "Packets sent to agents", counters.forwarded},
      {"searched_total", "Packets of flows without a known agent", counters.hint_misses},
      {"no_route_total", "Packets to an address without a route", counters.no_route},
      {"no_target_total", "Packets for a service without an agent", counters.no_target},
      {"refused_total", "Openings answered by a reset", counters.refused},
      {"suspicions_total", "Openings that an agent left without an answer", counters.suspicions},
      {"queries_total", "Queries to agents about flows without a known agent", counters.queries},
      {"found_total", "Flows that an agent said it holds", counters.found},
      {"not_found_total", "Searches for flows without a result", counters.not_found},
      {"resets_total", "Flows that no target holds, answered by a reset", counters.resets},
      {"drained_domains", "Failure domains that an operator has drained",
       balancer.view.drained.domains.size(), true},
      {"doubtful_targets", "Targets that receive repeatable requests only",
       packets::CountVerdicts(balancer, outlier::Verdict::kDoubtful), true},
      {"bad_targets", "Targets that receive a twentieth of their repeatable requests",
       packets::CountVerdicts(balancer, outlier::Verdict::kBad), true},
  };
}

auto CountsOf(const packets::Agent& agent, base::TimePoint now) -> std::vector<NamedCount> {
  const auto& counters = agent.counters;
  auto counts = std::vector<NamedCount>{
      {"delivered_total", "Packets delivered to the target", counters.delivered},
      {"replies_total", "Packets of the target sent to clients", counters.replies},
      {"returned_total", "Packets that the target gave back", counters.returned},
      {"passed_on_total", "Openings sent to the next agent", counters.passed_on},
      {"over_limit_total", "Openings beyond the limit of the target", counters.over_limit},
      {"over_cold_total", "Openings over the limit because the target was still cold",
       counters.over_cold},
      {"drained", "Whether the target's failure domain is drained",
       packets::IsDrained(agent.drained, agent.domain) ? 1U : 0U, true},
      {"wrong_service_total", "Packets for another service", counters.wrong_service},
      {"unconfirmed_total", "Packets that awaited a balancer's word on their route",
       counters.unconfirmed},
      {"none_left_total", "Openings that no agent accepted", counters.none_left},
      {"given_back_total", "Packets sent back to their balancer", counters.given_back},
      {"queried_total", "Flows that balancers asked for", counters.queried},
      {"elsewhere_total", "Packets of flows that opened at another target", counters.elsewhere},
      {"refused_total", "Openings answered by a reset", counters.refused},
      {"late_heartbeats_total", "Heartbeats that were late or of another service",
       counters.late_heartbeats},
  };
  const auto of_shortage = ShortageCountsOf(agent, now);
  counts.insert(counts.end(), of_shortage.begin(), of_shortage.end());
  return counts;
}

auto CountsOf(const CallsByFreshness& calls) -> std::vector<NamedCount> {
  return {
      {"platform_calls_total", "Calls sent to the platform", Sum(calls.newest.sent)},
      {"platform_calls_failed_total", "Calls to the platform that ended in an error",
       Sum(calls.newest.failed)},
      {"platform_calls_over_budget_total",
       "Calls to the platform that were not sent because the budget was used up",
       Sum(calls.newest.refused)},
      {"platform_copy_calls_total", "Calls to the platform that a copy may answer",
       Sum(calls.copies.sent)},
      {"platform_copy_calls_failed_total", "Calls that a copy may answer that ended in an error",
       Sum(calls.copies.failed)},
      {"platform_answers_cut_short_total",
       "Answers of the platform that were aborted during their transfer",
       calls.newest.cut_short + calls.copies.cut_short},
  };
}

auto CountsOf(const OperatorReadCounters& reads) -> std::vector<NamedCount> {
  return {
      {"operator_reads_total", "Reads of the configuration in this balancer's turn", reads.reads},
      {"operator_reads_failed_total", "Reads of the configuration that ended in an error",
       reads.failed},
      {"confirmations_total", "Reads of other balancers that replaced own reads",
       reads.confirmations},
  };
}

auto Export(telemetry::Registry& registry, const std::vector<NamedCount>& counts) -> void {
  for (const auto& count : counts) {
    const auto name = std::string(kPrefix) + std::string(count.name);
    auto labels = telemetry::Labels{};
    if (!count.reason.empty()) labels.push_back({"reason", std::string(count.reason)});
    if (count.is_gauge) {
      telemetry::AddGauge(registry, name, count.help, labels).value =
          static_cast<double>(count.value);
    } else {
      telemetry::AddCounter(registry, name, count.help, labels).value = count.value;
    }
  }
}

}  // namespace anvildrum::packetd
