#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>

#include "telemetry/internal/metrics_registry.h"
#include "telemetry/metrics.h"

namespace anvildrum::telemetry {
namespace {

namespace accumulators = boost::accumulators;

constexpr auto kRejectedName = std::string_view{"anvildrum_metrics_rejected_total"};
constexpr auto kRejectedHelp =
    std::string_view{"Metrics not rendered: bad name, other kind, or too many series."};

auto IsNameCharacter(char character, bool first) -> bool {
  const auto letter = (character >= 'a' && character <= 'z') ||
                      (character >= 'A' && character <= 'Z') || character == '_';
  return letter || (!first && character >= '0' && character <= '9');
}

auto ValidName(std::string_view name) -> bool {
  if (name.empty()) return false;
  for (auto index = std::size_t{0}; index < name.size(); ++index) {
    if (!IsNameCharacter(name[index], index == 0)) return false;
  }
  return true;
}

auto Escape(std::string_view text, bool quotes) -> std::string {
  auto out = std::string{};
  for (const auto character : text) {
    if (character == '\n') {
      out += "\\n";
      continue;
    }
    if (character == '\\' || (quotes && character == '"')) out += '\\';
    out += character;
  }
  return out;
}

auto FormatNumber(double value) -> std::string {
  if (std::isnan(value)) return "NaN";
  if (std::isinf(value)) return value > 0 ? "+Inf" : "-Inf";
  auto digits = std::array<char, 32>{};
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), value).ptr;
  return {digits.data(), end};
}

auto KindName(MetricKind kind) -> std::string_view {
  switch (kind) {
    case MetricKind::kCounter:
      return "counter";
    case MetricKind::kGauge:
      return "gauge";
    case MetricKind::kSummary:
      return "summary";
  }
  return "untyped";
}

auto AppendHeader(std::string& out, std::string_view name, std::string_view help,
                  std::string_view kind) -> void {
  out.append("# HELP ").append(name).append(" ").append(Escape(help, false)).append("\n");
  out.append("# TYPE ").append(name).append(" ").append(kind).append("\n");
}

auto AppendLine(std::string& out, std::string_view name, std::string_view labels,
                std::string_view value) -> void {
  out += name;
  if (!labels.empty()) out.append("{").append(labels).append("}");
  out.append(" ").append(value).append("\n");
}

auto Join(std::string_view labels, std::string_view extra) -> std::string {
  auto out = std::string(labels);
  if (!out.empty()) out += ',';
  out += extra;
  return out;
}

// Before the P-square markers are filled by observations, their heights mean nothing.
auto Quantile(const Summary& summary, std::size_t index) -> double {
  const auto markers = 2 * kQuantiles.size() + 3;
  if (accumulators::count(summary.statistics) < markers) return std::nan("");
  return accumulators::extended_p_square(summary.statistics)[static_cast<std::ptrdiff_t>(index)];
}

auto AppendSummary(std::string& out, const std::string& name, const std::string& labels,
                   const Summary& summary) -> void {
  for (auto index = std::size_t{0}; index < kQuantiles.size(); ++index) {
    const auto quantile = "quantile=\"" + FormatNumber(kQuantiles.at(index)) + "\"";
    AppendLine(out, name, Join(labels, quantile), FormatNumber(Quantile(summary, index)));
  }
  const auto count = accumulators::count(summary.statistics);
  AppendLine(out, name + "_sum", labels, FormatNumber(accumulators::sum(summary.statistics)));
  AppendLine(out, name + "_count", labels, std::to_string(count));
}

auto AppendSeries(std::string& out, const std::string& name, const std::string& labels,
                  const Metric& metric) -> void {
  if (const auto* counter = std::get_if<Counter>(&metric)) {
    AppendLine(out, name, labels, std::to_string(counter->value));
  } else if (const auto* gauge = std::get_if<Gauge>(&metric)) {
    AppendLine(out, name, labels, FormatNumber(gauge->value));
  } else {
    AppendSummary(out, name, labels, std::get<Summary>(metric));
  }
}

// The format has no place for a maximum inside a summary, so it stands beside it as a gauge.
auto AppendMaxima(std::string& out, const std::string& name, const Family& family) -> void {
  const auto max_name = name + "_max";
  AppendHeader(out, max_name, "Largest value of " + name + ".", "gauge");
  for (const auto& [labels, metric] : family.series) {
    const auto& statistics = std::get<Summary>(metric).statistics;
    const auto empty = accumulators::count(statistics) == 0;
    AppendLine(out, max_name, labels, FormatNumber(empty ? 0 : accumulators::max(statistics)));
  }
}

}  // namespace

auto ValidMetricName(std::string_view name) -> bool { return ValidName(name); }

auto ValidLabels(const Labels& labels) -> bool {
  return std::all_of(labels.begin(), labels.end(), [](const Label& label) {
    return ValidName(label.name) && label.name != "quantile";
  });
}

auto RenderLabels(const Labels& labels) -> std::string {
  auto sorted = labels;
  std::sort(sorted.begin(), sorted.end(),
            [](const Label& left, const Label& right) { return left.name < right.name; });
  auto out = std::string{};
  for (const auto& label : sorted) {
    out = Join(out, label.name + "=\"" + Escape(label.value, true) + "\"");
  }
  return out;
}

auto RenderPrometheus(const Registry& registry) -> std::string {
  auto out = std::string{};
  for (const auto& [name, family] : registry.impl->families) {
    AppendHeader(out, name, family.help, KindName(family.kind));
    for (const auto& [labels, metric] : family.series) AppendSeries(out, name, labels, metric);
    if (family.kind == MetricKind::kSummary) AppendMaxima(out, name, family);
  }
  AppendHeader(out, kRejectedName, kRejectedHelp, "counter");
  AppendLine(out, kRejectedName, "", std::to_string(registry.impl->rejected.value));
  return out;
}

}  // namespace anvildrum::telemetry
