#pragma once

#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "packetd/operator_reads.h"
#include "packets/agent.h"
#include "packets/balancer.h"
#include "platform/call_budget.h"
#include "telemetry/metrics.h"

namespace anvildrum::packetd {

/// A counter or gauge for export. docs/OPERATIONS.md describes each of them.
struct NamedCount {
  std::string_view name;  ///< Prometheus name, without the common prefix
  std::string_view help;
  std::uint64_t value = 0;
  bool is_gauge = false;         ///< the value may decrease
  std::string_view reason = {};  ///< value of the label `reason`; empty: no label
};

/// Counts of a process's calls to the platform, by the freshness of the answers.
struct CallsByFreshness {
  platform::CallCounts newest;
  platform::CallCounts copies;  ///< calls that a copy of the state may answer
};

auto Sum(std::span<const std::uint64_t> counts) -> std::uint64_t;

auto CountsOf(const packets::Balancer& balancer) -> std::vector<NamedCount>;
auto CountsOf(const packets::Agent& agent, base::TimePoint now) -> std::vector<NamedCount>;
auto CountsOf(const CallsByFreshness& calls) -> std::vector<NamedCount>;
auto CountsOf(const OperatorReadCounters& reads) -> std::vector<NamedCount>;

/// Sets the exported counters and gauges to these values.
auto Export(telemetry::Registry& registry, const std::vector<NamedCount>& counts) -> void;

}  // namespace anvildrum::packetd
