#include "daemon/internal/metric_set.h"

#include <string>

namespace anvildrum::daemon {

using telemetry::Registry;

auto SetCounter(Registry& metrics, std::string_view name, std::string_view help,
                std::uint64_t value) -> void {
  telemetry::AddCounter(metrics, name, help).value = value;
}

auto SetGauge(Registry& metrics, std::string_view name, std::string_view help, double value)
    -> void {
  telemetry::Set(telemetry::AddGauge(metrics, name, help), value);
}

auto SetLabelled(Registry& metrics, std::string_view name, std::string_view help,
                 std::string_view label, std::initializer_list<Sample> samples) -> void {
  for (const auto& sample : samples) {
    auto labels = telemetry::Labels{{std::string(label), std::string(sample.label)}};
    telemetry::AddCounter(metrics, name, help, labels).value = sample.value;
  }
}

}  // namespace anvildrum::daemon
