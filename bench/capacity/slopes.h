#pragma once

#include <vector>

#include "slope.h"

namespace anvildrum::capacity {

/// Flow digests.
auto MeasureBase() -> std::vector<Slope>;

/// Datagrams of the tunnel: processor time of Seal and Open, bytes of each kind.
auto MeasureWire() -> std::vector<Slope>;

/// Datagrams that carry a list: bytes and processor time by its length.
auto MeasureLists() -> std::vector<Slope>;

/// Processor time of a datagram through the loopback device, system calls included.
auto MeasureUdp() -> std::vector<Slope>;

/// Processor time of a message over ZeroMQ with CURVE on the loopback device.
auto MeasureZeroMq() -> std::vector<Slope>;

/// Messages of the relay: bytes and processor time of updates.
auto MeasureRelayWire() -> std::vector<Slope>;

/// Flow table, rendezvous order, views, flows at their owner and home.
auto MeasureSteering() -> std::vector<Slope>;

/// Records held and taken, deltas of the configuration.
auto MeasureRelay() -> std::vector<Slope>;

/// The ledger and a request's whole way through the agent's core.
auto MeasureRequests() -> std::vector<Slope>;

}  // namespace anvildrum::capacity
