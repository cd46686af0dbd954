#pragma once

#include <deque>
#include <map>
#include <string>
#include <variant>

#include "telemetry/internal/summary.h"
#include "telemetry/metrics.h"

namespace anvildrum::telemetry {

enum class MetricKind { kCounter, kGauge, kSummary };

using Metric = std::variant<Counter, Gauge, Summary>;

/// All series of one metric name, by their rendered labels.
struct Family {
  MetricKind kind = MetricKind::kCounter;
  std::string help;
  std::map<std::string, Metric> series;  ///< node-based: handles stay valid
};

struct Registry::Impl {
  std::map<std::string, Family, std::less<>> families;
  Counter rejected;
  Counter unrendered_counter;
  Gauge unrendered_gauge;
  Summary unrendered_summary;
};

/// Labels as they stand between the braces, sorted by name and escaped; nothing when a name isn't a
/// Prometheus label name.
auto RenderLabels(const Labels& labels) -> std::string;
auto ValidMetricName(std::string_view name) -> bool;
auto ValidLabels(const Labels& labels) -> bool;

}  // namespace anvildrum::telemetry
