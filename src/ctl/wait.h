#pragma once

#include <functional>
#include <span>
#include <vector>

#include "base/types/time.h"
#include "ctl/fleet.h"

namespace anvildrum::ctl {

struct WaitOptions {
  FetchStatus fetch;
  std::function<void(base::Duration)> sleep;
  std::function<base::TimePoint()> now;
  base::Duration limit{};
};

/// Asks the instances until each that answers has `number` or a later one in force, or the limit
/// has passed. Returns those without it: unreachable, or behind.
auto WaitInForce(std::vector<Instance> instances, std::uint64_t number, const WaitOptions& options)
    -> std::vector<InstanceReport>;

}  // namespace anvildrum::ctl
