#include "ctl/wait.h"

#include <algorithm>

namespace anvildrum::ctl {
namespace {

constexpr auto kRoundPause = base::milliseconds(200);

auto IsInForce(const InstanceReport& report, std::uint64_t number) -> bool {
  return report.status && report.status->number.value_or(0) >= number;
}

auto SomeAreBehind(const std::vector<InstanceReport>& missing) -> bool {
  return std::any_of(missing.begin(), missing.end(),
                     [](const InstanceReport& report) { return report.status.has_value(); });
}

}  // namespace

auto WaitInForce(std::vector<Instance> instances, std::uint64_t number, const WaitOptions& options)
    -> std::vector<InstanceReport> {
  auto deadline = options.now() + options.limit;
  while (true) {
    auto missing = AskInstances(instances, options.fetch);
    std::erase_if(missing, [&](const auto& report) { return IsInForce(report, number); });
    if (!SomeAreBehind(missing) || options.now() >= deadline) return missing;
    instances.clear();
    for (const auto& report : missing) instances.push_back(report.instance);
    options.sleep(kRoundPause);
  }
}

}  // namespace anvildrum::ctl
