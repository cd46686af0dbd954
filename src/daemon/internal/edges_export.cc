#include "daemon/internal/metric_set.h"
#include "daemon/internal/metrics_export.h"

namespace anvildrum::daemon {
namespace {

using telemetry::Registry;

constexpr auto kOversized = std::string_view("anvildrum_oversized_datagrams_total");
constexpr auto kOversizedHelp = std::string_view("Datagrams that did not fit the receive buffer");

}  // namespace

auto ExportServicePorts(Registry& metrics, const ServiceDatagrams& counts) -> void {
  SetLabelled(metrics, kOversized, kOversizedHelp, "port", {{"service", counts.oversized}});
  SetCounter(metrics, "anvildrum_client_send_drops_total",
             "Datagrams to clients that the system did not take", counts.send_drops);
}

auto ExportTunnel(Registry& metrics, const TunnelPort& tunnel) -> void {
  ExportTunnelTraffic(metrics, tunnel.Counts());
  SetByName<wire::WireErrorCode>(metrics, "anvildrum_tunnel_refused_total",
                                 "Tunnel datagrams refused", "reason", tunnel.Counts().refused);
  SetLabelled(metrics, kOversized, kOversizedHelp, "port",
              {{"tunnel", tunnel.UdpCounts().oversized}});
  SetCounter(metrics, "anvildrum_tunnel_unsent_total", "Datagrams too large for the tunnel",
             tunnel.Counts().unsent);
  SetCounter(metrics, "anvildrum_tunnel_send_drops_total", "Datagrams the system did not take",
             tunnel.UdpCounts().send_drops);
}

auto ExportRelayEdge(Registry& metrics, const RelayRefusals& refusals,
                     const relay::RelayCounters& counters) -> void {
  SetLabelled(metrics, "anvildrum_relay_messages_refused_total", "Relay messages refused", "kind",
              {{"malformed", refusals.malformed},
               {"wrong_frames", refusals.server.malformed + refusals.link_malformed},
               {"unexpected", counters.bad_messages},
               {"bad_delta", counters.bad_deltas},
               {"over_peers", refusals.server.peers_refused}});
  SetLabelled(metrics, "anvildrum_relay_handshakes_refused_total",
              "Relay connections that did not prove themselves", "kind",
              {{"malformed", refusals.server.handshakes_malformed},
               {"key_not_accepted", refusals.server.keys_refused},
               {"broken_off", refusals.server.handshakes_broken_off},
               {"with_parent", refusals.link_handshakes_failed}});
}

auto ExportRecords(Registry& metrics, const RecordRefusals& refusals) -> void {
  SetLabelled(metrics, "anvildrum_records_refused_total", "Records that don't parse", "kind",
              {{"configuration", refusals.configurations},
               {"target", refusals.targets},
               {"balancer", refusals.balancers}});
}

auto ExportOperatorPort(Registry& metrics, const net::OperatorPort& port) -> void {
  const auto& counts = port.Counts();
  SetCounter(metrics, "anvildrum_operator_requests_total", "HTTP requests at the operator port",
             counts.requests);
  SetLabelled(metrics, "anvildrum_operator_refused_total",
              "HTTP requests and connections refused at the operator port", "kind",
              {{"malformed", counts.malformed},
               {"too_large", counts.too_large},
               {"unknown_path", counts.unknown_path},
               {"wrong_method", counts.wrong_method},
               {"timed_out", counts.timed_out},
               {"turned_away", counts.turned_away}});
}

auto ExportPlatform(Registry& metrics, const platform::Client& client) -> void {
  const auto& counts = client.Counts();
  SetByName<platform::CallKind>(metrics, "anvildrum_platform_calls_total", "Calls to the platform",
                                "kind", counts.sent);
  SetByName<platform::PlatformErrorCode>(metrics, "anvildrum_platform_failures_total",
                                         "Calls to the platform that ended in an error", "kind",
                                         counts.failed);
  SetGauge(metrics, "anvildrum_platform_waiting_watches", "Watches that wait now",
           static_cast<double>(counts.waiting_watches));
}

}  // namespace anvildrum::daemon
