#pragma once

#include <initializer_list>
#include <span>
#include <string_view>

#include "daemon/internal/metric_names.h"
#include "telemetry/metrics.h"

namespace anvildrum::daemon {

/// One series of a metric with one label.
struct Sample {
  std::string_view label;
  std::uint64_t value = 0;
};

auto SetCounter(telemetry::Registry& metrics, std::string_view name, std::string_view help,
                std::uint64_t value) -> void;
auto SetGauge(telemetry::Registry& metrics, std::string_view name, std::string_view help,
              double value) -> void;
auto SetLabelled(telemetry::Registry& metrics, std::string_view name, std::string_view help,
                 std::string_view label, std::initializer_list<Sample> samples) -> void;

/// One series for each enumerator, of counts that are indexed by it.
template <typename Enum>
auto SetByName(telemetry::Registry& metrics, std::string_view name, std::string_view help,
               std::string_view label, std::span<const std::uint64_t> counts) -> void {
  for (auto i = std::size_t{0}; i < counts.size(); ++i) {
    SetLabelled(metrics, name, help, label, {{NameOf(static_cast<Enum>(i)), counts[i]}});
  }
}

}  // namespace anvildrum::daemon
