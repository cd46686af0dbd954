#pragma once

#include <cstdint>
#include <optional>

#include "base/types/endpoint.h"
#include "base/types/time.h"

namespace anvildrum::ctl {

/// What a balancer of packet flows says of the configuration that it goes by.
struct ConfigurationInForce {
  std::optional<std::uint64_t> version;  ///< empty: it has none yet
  base::milliseconds confirmed_ago{};    ///< since somebody told it that there is none newer
  bool unconfirmed = false;              ///< that is longer ago than its settings allow
};

struct BalancerVersion {
  base::Endpoint metrics;                        ///< its metrics address
  std::optional<ConfigurationInForce> in_force;  ///< empty: no answer, or not a balancer's
};

}  // namespace anvildrum::ctl
