#include "telemetry/metrics.h"

#include "telemetry/internal/metrics_registry.h"

namespace anvildrum::telemetry {
namespace {

/// The series, or nothing when the registry can't take it.
auto FindOrAdd(Registry::Impl& impl, std::string_view name, std::string_view help,
               const Labels& labels, const Metric& fresh) -> Metric* {
  if (!ValidMetricName(name) || !ValidLabels(labels)) return nullptr;
  const auto kind = static_cast<MetricKind>(fresh.index());
  auto family = impl.families.find(name);
  if (family == impl.families.end()) {
    family = impl.families.emplace(std::string(name), Family{kind, std::string(help), {}}).first;
  }
  if (family->second.kind != kind) return nullptr;
  auto& series = family->second.series;
  const auto key = RenderLabels(labels);
  const auto known = series.find(key);
  if (known != series.end()) return &known->second;
  if (series.size() >= kMaxSeries) return nullptr;
  return &series.emplace(key, fresh).first->second;
}

template <typename Kind>
auto Add(Registry::Impl& impl, std::string_view name, std::string_view help, const Labels& labels,
         Kind& unrendered) -> Kind& {
  auto* metric = FindOrAdd(impl, name, help, labels, Metric{Kind{}});
  if (metric != nullptr) return std::get<Kind>(*metric);
  Increment(impl.rejected);
  return unrendered;
}

}  // namespace

Registry::Registry() : impl(std::make_unique<Impl>()) {}
Registry::Registry(Registry&&) noexcept = default;
auto Registry::operator=(Registry&&) noexcept -> Registry& = default;
Registry::~Registry() = default;

auto AddCounter(Registry& registry, std::string_view name, std::string_view help,
                const Labels& labels) -> Counter& {
  return Add(*registry.impl, name, help, labels, registry.impl->unrendered_counter);
}

auto AddGauge(Registry& registry, std::string_view name, std::string_view help,
              const Labels& labels) -> Gauge& {
  return Add(*registry.impl, name, help, labels, registry.impl->unrendered_gauge);
}

auto AddSummary(Registry& registry, std::string_view name, std::string_view help,
                const Labels& labels) -> Summary& {
  return Add(*registry.impl, name, help, labels, registry.impl->unrendered_summary);
}

auto Observe(Summary& summary, double value) -> void { summary.statistics(value); }

}  // namespace anvildrum::telemetry
