#pragma once

#include "packets/agent.h"

namespace anvildrum::packets {

/// Whether packets of established flows are delivered to the target.
auto TakesPackets(const Agent& agent, base::TimePoint now) -> bool;

}  // namespace anvildrum::packets
