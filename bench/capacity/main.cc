// Prints, as JSON, every slope that docs/CAPACITY.md is worked out from; scripts/capacity.sh runs
// it.
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "constants.h"
#include "slopes.h"

namespace anvildrum::capacity {
namespace {

auto CpuModel() -> std::string {
  auto file = std::ifstream("/proc/cpuinfo");
  auto line = std::string{};
  while (std::getline(file, line)) {
    if (!line.starts_with("model name")) continue;
    return line.substr(line.find(": ") + 2);
  }
  return "unknown";
}

auto ToJson(const Slope& slope) -> nlohmann::json {
  auto line = FitLine(slope.points);
  auto points = nlohmann::json::array();
  for (const auto& point : slope.points) points.push_back({point.size, point.value});
  return {{"name", slope.name},         {"unit", slope.unit},          {"per", slope.per},
          {"slope", line.slope},        {"intercept", line.intercept}, {"residual", line.residual},
          {"points", std::move(points)}};
}

auto Report() -> nlohmann::json {
  auto report = nlohmann::json{};
  report["machine"] = {{"cpu", CpuModel()}, {"nproc", std::thread::hardware_concurrency()}};
  report["constants"] = nlohmann::json::array();
  for (const auto& constant : PolicyConstants()) {
    report["constants"].push_back(
        {{"name", constant.name}, {"value", constant.value}, {"source", constant.source}});
  }
  report["slopes"] = nlohmann::json::array();
  for (auto* measure : {MeasureBase, MeasureWire, MeasureLists, MeasureRelayWire, MeasureUdp,
                        MeasureZeroMq, MeasureSteering, MeasureRelay, MeasureRequests}) {
    for (const auto& slope : measure()) report["slopes"].push_back(ToJson(slope));
  }
  return report;
}

}  // namespace
}  // namespace anvildrum::capacity

auto main() -> int {
  std::cout << anvildrum::capacity::Report().dump(1) << '\n';
  return 0;
}
