#include "base/clock.h"
#include "packetd/addresses.h"
#include "packetd/balancer_node.h"
#include "packets/target_verdicts.h"
#include "telemetry/log.h"

// The part of BalancerNode that operators see: metrics and log lines.
namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

}  // namespace

auto BalancerNode::LogDecision(std::string_view event, const packets::Packet& packet,
                               std::string_view reason, packets::Address agent) -> void {
  this->operators.LogDecision(event, packet, reason,
                              {this->core.view.members.size(), this->core.hints.size(), agent});
}

auto BalancerNode::Counts() const -> std::vector<NamedCount> {
  auto counts = CountsOf(this->core);
  const auto calls = CountsOf(CallsByFreshness{this->client.Counts(), this->stale_client.Counts()});
  counts.insert(counts.end(), calls.begin(), calls.end());
  const auto reads = CountsOf(this->reads.counters);
  counts.insert(counts.end(), reads.begin(), reads.end());
  const auto age = this->ConfigurationAge(base::Now()) / base::milliseconds{1};
  counts.push_back({"configuration_age_ms",
                    "Milliseconds since the configuration was confirmed to be the newest",
                    static_cast<std::uint64_t>(age), true});
  counts.push_back({"configuration_unconfirmed",
                    "Whether the last confirmation of the configuration is older than allowed",
                    this->unconfirmed ? 1U : 0U, true});
  const auto& recorder = this->route_history_store.counters;
  counts.push_back(
      {"route_history_reads_total", "Reads of the recorded history of routes", recorder.reads});
  counts.push_back(
      {"route_history_writes_total", "Writes of the recorded history of routes", recorder.writes});
  counts.push_back(
      {"route_history_failed_total", "Reads and writes of it that failed", recorder.failed});
  counts.push_back({"route_history_routes", "Routes in the recorded history as last read",
                    this->core.recorded.size(), true});
  const auto& records = this->record_reader.counters;
  counts.push_back({"record_reads_total",
                    "Reads of the agents' records from the platform for lost flows",
                    records.reads});
  counts.push_back({"record_reads_failed_total", "Of these, the failed ones", records.failed});
  if (this->core.routes) {
    counts.push_back({"configuration_version", "Number of the configuration that is in force",
                      this->core.routes->version, true});
  }
  counts.push_back(
      {"malformed_total", "Datagrams and heartbeats rejected as malformed", this->malformed});
  const auto left_out = this->record_watcher->Counters().unreadable + recorder.unreadable;
  counts.push_back({"unreadable_total", "Entries of the platform that could not be used",
                    this->unreadable + left_out});
  return counts;
}

auto BalancerNode::LogTraffic() -> void {
  const auto& counters = this->core.counters;
  if (counters.openings == this->logged_counters.openings &&
      counters.forwarded == this->logged_counters.forwarded) {
    return;
  }
  Log(LogLevel::kInfo, "traffic",
      {{"openings", counters.openings - this->logged_counters.openings},
       {"copies", counters.copies - this->logged_counters.copies},
       {"forwarded", counters.forwarded - this->logged_counters.forwarded},
       {"searched", counters.hint_misses - this->logged_counters.hint_misses},
       {"no_route", counters.no_route - this->logged_counters.no_route},
       {"no_target", counters.no_target - this->logged_counters.no_target},
       {"refused", counters.refused - this->logged_counters.refused},
       {"suspicions", counters.suspicions - this->logged_counters.suspicions},
       {"queries", counters.queries - this->logged_counters.queries},
       {"found", counters.found - this->logged_counters.found},
       {"not_found", counters.not_found - this->logged_counters.not_found},
       {"resets", counters.resets - this->logged_counters.resets},
       {"flows", this->core.hints.size()},
       {"agents", this->core.view.members.size()},
       {"away", FormatAddress(this->FirstAway())}});
  this->logged_counters = counters;
}

auto BalancerNode::RefreshVerdicts(base::TimePoint now) -> void {
  for (const auto& [service, change] : packets::RefreshVerdicts(this->core, now)) {
    const auto agent = static_cast<packets::Address>(change.target);
    Log(LogLevel::kInfo, "target_verdict",
        {{"agent", FormatAddress(agent)},
         {"before", outlier::NameOf(change.before)},
         {"after", outlier::NameOf(change.after)},
         {"answered", change.counts.answered},
         {"failed", change.counts.failed},
         {"peers_failed_share", change.peer_share},
         {"ratio", change.ratio}});
  }
}

// Returns an agent whose absence prevents the reset of lost flows; 0 if there is none.
auto BalancerNode::FirstAway() const -> packets::Address {
  for (const auto& [service, hello] : this->last_hellos) {
    const auto away =
        packets::FirstAway(this->core.view, service, this->core.stall.running_since, base::Now());
    if (away != 0) return away;
  }
  return 0;
}

}  // namespace anvildrum::packetd
