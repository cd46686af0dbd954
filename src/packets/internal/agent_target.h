#pragma once

#include "packets/agent.h"

namespace anvildrum::packets {

/// Whether the target is given packets of flows that have opened.
auto TakesPackets(const Agent& agent, base::TimePoint now) -> bool;

}  // namespace anvildrum::packets
