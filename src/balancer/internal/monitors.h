#pragma once

#include <vector>

#include "balancer/monitor.h"

namespace anvildrum::balancer {

/// Whom this balancer probes: all while they are few, otherwise those that it monitors by rank.
auto PeersToProbe(const Monitor& monitor) -> std::vector<membership::PeerRef>;

}  // namespace anvildrum::balancer
