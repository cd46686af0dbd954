#pragma once

#include "agent/agent.h"
#include "balancer/balancer.h"
#include "balancer/monitor.h"
#include "daemon/internal/relay_runtime.h"
#include "daemon/internal/tunnel_port.h"
#include "daemon/internal/wake_fence.h"
#include "platform/client.h"
#include "relay/relay.h"
#include "telemetry/metrics.h"

/// Brings the counters of the cores, which have no registry, into the one that is rendered.
namespace anvildrum::daemon {

auto ExportBalancer(telemetry::Registry& metrics, const balancer::Balancer& balancer) -> void;
auto ExportFence(telemetry::Registry& metrics, const WakeFence& fence) -> void;
auto ExportMonitor(telemetry::Registry& metrics, const balancer::Monitor& monitor) -> void;
auto ExportAgent(telemetry::Registry& metrics, const agent::Agent& agent) -> void;
auto ExportRelay(telemetry::Registry& metrics, const relay::State& state) -> void;
auto ExportRelayTraffic(telemetry::Registry& metrics, const RelayTraffic& traffic) -> void;
auto ExportTunnel(telemetry::Registry& metrics, const TunnelPort& tunnel) -> void;
auto ExportPlatform(telemetry::Registry& metrics, const platform::Client& client) -> void;

}  // namespace anvildrum::daemon
