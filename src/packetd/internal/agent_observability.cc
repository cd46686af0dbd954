#include <algorithm>
#include <chrono>

#include "base/clock.h"
#include "packetd/agent_node.h"
#include "packetd/internal/common.h"
#include "telemetry/log.h"

// The part of AgentNode that operators see: metrics and log lines.
namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

// Longest part of a path in a log line, in characters; the sender chooses the path's length.
constexpr auto kLoggedPath = std::size_t{80};

}  // namespace

auto AgentNode::ObserveWork(base::Duration took) -> void {
  telemetry::Observe(this->work_seconds, std::chrono::duration<double>(took).count());
}

auto AgentNode::LogDecision(std::string_view event, const packets::Packet& packet,
                            std::string_view reason) -> void {
  this->operators.LogDecision(event, packet, reason,
                              {this->core.peers.size(), this->core.flows.size(), 0});
}

auto AgentNode::Counts() const -> std::vector<NamedCount> {
  auto counts = CountsOf(this->core, base::Now());
  const auto calls = CountsOf(CallsByFreshness{this->client.Counts(), this->stale_client.Counts()});
  counts.insert(counts.end(), calls.begin(), calls.end());
  counts.push_back({"classed_routes", "Routes of the target's service whose class is known",
                    this->core.route_classes.classes.size(), true});
  counts.push_back({"unanswered_routes_total",
                    "Packets dropped because no balancer confirmed their route in time",
                    this->expired_packets});
  counts.push_back(
      {"malformed_total", "Datagrams and heartbeats rejected as malformed", this->malformed});
  return counts;
}

auto AgentNode::LogTraffic() -> void {
  const auto& counters = this->core.counters;
  if (counters.delivered == this->logged_counters.delivered &&
      counters.refused == this->logged_counters.refused) {
    return;
  }
  const auto work = packets::SummarizeWork(this->core);
  Log(LogLevel::kInfo, "traffic",
      {{"delivered", counters.delivered - this->logged_counters.delivered},
       {"replies", counters.replies - this->logged_counters.replies},
       {"returned", counters.returned - this->logged_counters.returned},
       {"passed_on", counters.passed_on - this->logged_counters.passed_on},
       {"over_limit", counters.over_limit - this->logged_counters.over_limit},
       {"wrong_service", counters.wrong_service - this->logged_counters.wrong_service},
       {"unconfirmed", counters.unconfirmed - this->logged_counters.unconfirmed},
       {"none_left", counters.none_left - this->logged_counters.none_left},
       {"given_back", counters.given_back - this->logged_counters.given_back},
       {"queried", counters.queried - this->logged_counters.queried},
       {"refused", counters.refused - this->logged_counters.refused},
       {"flows", this->core.flows.size()},
       {"at_work", this->core.at_work},
       {"work_offered", work.offered},
       {"work_assumed", work.assumed},
       {"work_open", work.open},
       {"work_repeated", work.repeated},
       {"work_quiet", this->core.quiet_work},
       {"peers", this->core.peers.size()}});
  this->logged_counters = counters;
}

auto AgentNode::LogShortage(base::TimePoint now) -> void {
  const auto& admission = this->core.admission;
  const auto turned_away = TurnedAway(this->core.counters.shortage);
  const auto line =
      NextShortageLine(this->shortage_log, admission::IsShort(admission, now), turned_away, now);
  if (line == ShortageLine::kNone) return;
  using Milliseconds = std::chrono::duration<double, std::milli>;
  Log(LogLevel::kInfo, line == ShortageLine::kBegan ? "shortage_began" : "shortage_ended",
      {{"in_flight", this->core.at_work},
       {"slots", this->core.target.last.slots},
       {"most_urgent", admission.most_urgent},
       {"least_urgent", admission.least_urgent},
       {"service_time_ms", Milliseconds(admission.mix.mean).count()},
       {"turned_away", turned_away - this->shortage_log.turned_away}});
}

auto AgentNode::LogInvalidInput(std::string_view event, std::string_view path) -> void {
  this->operators.LogInvalidInput(event, path.substr(0, kLoggedPath));
}

}  // namespace anvildrum::packetd
