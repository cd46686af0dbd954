#pragma once

#include <vector>

#include "balancer/monitor.h"

namespace anvildrum::balancer {

/// Returns the peers that this balancer probes: all while there are few, otherwise those that it
/// monitors by rank.
auto PeersToProbe(const Monitor& monitor) -> std::vector<membership::PeerRef>;

}  // namespace anvildrum::balancer
