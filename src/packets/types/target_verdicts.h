#pragma once

#include <unordered_map>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "outlier/verdicts.h"

namespace anvildrum::packets {

/// A balancer's verdicts on the targets of its services, by agent address.
struct TargetVerdicts {
  std::unordered_map<base::ServiceId, outlier::ServiceState> services;
  base::TimePoint assessed_at{};  ///< the epoch: never
};

}  // namespace anvildrum::packets
