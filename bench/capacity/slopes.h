#pragma once

#include <vector>

#include "slope.h"

namespace anvildrum::capacity {

/// Flow digests.
auto MeasureBase() -> std::vector<Slope>;

/// Datagrams of the tunnel: processor time of Seal and Open, bytes of each kind.
auto MeasureWire() -> std::vector<Slope>;

/// Messages of the relay: bytes and processor time of updates.
auto MeasureRelayWire() -> std::vector<Slope>;

}  // namespace anvildrum::capacity
