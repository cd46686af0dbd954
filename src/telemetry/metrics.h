#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace anvildrum::telemetry {

/// A count that only rises.
struct Counter {
  std::uint64_t value = 0;
};

/// A figure that rises and falls.
struct Gauge {
  double value = 0;
};

/// A distribution of observed values: count, sum, largest, and the quantiles 0.5, 0.9, 0.99 and
/// 0.999, estimated by the P-square algorithm (Boost.Accumulators' extended_p_square) in constant
/// memory. The whole life of the process counts, not a window.
class Summary;

struct Label {
  std::string name;
  std::string value;
};
using Labels = std::vector<Label>;

/// The metrics of a process. Handles stay valid as long as it lives. For one thread.
class Registry {
 public:
  struct Impl;

  Registry();
  Registry(Registry&&) noexcept;
  auto operator=(Registry&&) noexcept -> Registry&;
  Registry(const Registry&) = delete;
  auto operator=(const Registry&) -> Registry& = delete;
  ~Registry();

  std::unique_ptr<Impl> impl;
};

/// Series of one metric that a registry keeps. A label with a client's address, say, would
/// otherwise grow the process and every scrape without bound; further series share one handle that
/// isn't rendered, and anvildrum_metrics_rejected_total tells.
inline constexpr auto kMaxSeries = std::size_t{1024};

/// The handle for a name and labels: a new one, or the one registered before. A name or label that
/// Prometheus does not take, a name already used for another kind, or a series over kMaxSeries
/// gives a handle that works but isn't rendered, and is counted in
/// anvildrum_metrics_rejected_total.
auto AddCounter(Registry& registry, std::string_view name, std::string_view help,
                const Labels& labels = {}) -> Counter&;
auto AddGauge(Registry& registry, std::string_view name, std::string_view help,
              const Labels& labels = {}) -> Gauge&;
auto AddSummary(Registry& registry, std::string_view name, std::string_view help,
                const Labels& labels = {}) -> Summary&;

inline auto Increment(Counter& counter, std::uint64_t by = 1) -> void { counter.value += by; }
inline auto Set(Gauge& gauge, double value) -> void { gauge.value = value; }
auto Observe(Summary& summary, double value) -> void;

/// The Prometheus text exposition format, version 0.0.4.
auto RenderPrometheus(const Registry& registry) -> std::string;

/// The content type that belongs to it.
inline constexpr auto kPrometheusContentType =
    std::string_view{"text/plain; version=0.0.4; charset=utf-8"};

}  // namespace anvildrum::telemetry
