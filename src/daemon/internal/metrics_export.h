#pragma once

#include "agent/agent.h"
#include "balancer/balancer.h"
#include "balancer/monitor.h"
#include "daemon/internal/records.h"
#include "daemon/internal/relay_runtime.h"
#include "daemon/internal/service_datagrams.h"
#include "daemon/internal/tunnel_port.h"
#include "daemon/internal/wake_fence.h"
#include "net/operator_port.h"
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

// traffic_export.cc: what is sent and received for control, by kind of message.
auto ExportRelayTraffic(telemetry::Registry& metrics, const RelayTraffic& traffic) -> void;
auto ExportTunnelTraffic(telemetry::Registry& metrics, const TunnelCounts& counts) -> void;

// edges_export.cc: what is counted where input comes in, refusals by kind above all.
auto ExportServicePorts(telemetry::Registry& metrics, const ServiceDatagrams& counts) -> void;
auto ExportTunnel(telemetry::Registry& metrics, const TunnelPort& tunnel) -> void;
auto ExportRelayEdge(telemetry::Registry& metrics, const RelayRefusals& refusals,
                     const relay::RelayCounters& counters) -> void;
auto ExportRecords(telemetry::Registry& metrics, const RecordRefusals& refusals) -> void;
auto ExportOperatorPort(telemetry::Registry& metrics, const net::OperatorPort& port) -> void;
auto ExportPlatform(telemetry::Registry& metrics, const platform::Client& client) -> void;

}  // namespace anvildrum::daemon
