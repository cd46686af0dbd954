// Prints, as JSON, every slope that docs/CAPACITY.md is worked out from; scripts/capacity.sh runs
// it.
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>
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

auto Constants() -> nlohmann::json {
  auto constants = nlohmann::json::array();
  for (const auto& constant : PolicyConstants()) {
    constants.push_back(
        {{"name", constant.name}, {"value", constant.value}, {"source", constant.source}});
  }
  return constants;
}

auto Report() -> nlohmann::json {
  auto report = nlohmann::json{};
  report["machine"] = {{"cpu", CpuModel()}, {"nproc", std::thread::hardware_concurrency()}};
  report["constants"] = Constants();
  report["slopes"] = nlohmann::json::array();
  for (auto* measure : {MeasureBase, MeasureWire, MeasureLists, MeasureRelayWire, MeasureUdp,
                        MeasureZeroMq, MeasureSteering, MeasureRelay, MeasureRequests}) {
    for (const auto& slope : measure()) report["slopes"].push_back(ToJson(slope));
  }
  return report;
}

}  // namespace
}  // namespace anvildrum::capacity

// --constants: the code's decided parameters alone, where the slopes are kept.
auto main(int count, char** arguments) -> int {
  auto only_constants = count > 1 && std::string_view(arguments[1]) == "--constants";
  auto report = only_constants ? anvildrum::capacity::Constants() : anvildrum::capacity::Report();
  std::cout << report.dump(1) << '\n';
  return 0;
}
