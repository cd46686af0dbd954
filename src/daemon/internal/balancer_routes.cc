#include "daemon/internal/balancer_runtime.h"
#include "daemon/internal/metrics_export.h"
#include "daemon/internal/status.h"

namespace anvildrum::daemon {

auto BalancerRuntime::AddRoutes() -> void {
  auto& port = *this->runtime->operator_port;
  port.Route("GET", "/status", [this](const auto&) {
    return net::OperatorResponse{200, "application/json", this->StatusJson()};
  });
  port.Route("GET", "/metrics", [this](const auto&) {
    return net::OperatorResponse{200, std::string(telemetry::kPrometheusContentType),
                                 this->RenderMetrics()};
  });
  port.Route("POST", "/drain", [this](const auto&) {
    this->BeginStop();
    return net::OperatorResponse{202, "application/json", R"({"draining":true})"};
  });
}

auto BalancerRuntime::StatusJson() const -> std::string {
  return BalancerStatus(*this->runtime, this->balancer, this->relay->State());
}

auto BalancerRuntime::RenderMetrics() -> std::string {
  auto& metrics = this->runtime->metrics;
  ExportBalancer(metrics, this->balancer);
  ExportMonitor(metrics, this->monitor);
  ExportFence(metrics, this->fence);
  ExportRelay(metrics, this->relay->State());
  ExportRelayEdge(metrics, this->relay->Refusals(), this->relay->State().counters);
  ExportRecords(metrics, this->records_refused);
  ExportOperatorPort(metrics, *this->runtime->operator_port);
  ExportServicePorts(metrics, this->Datagrams());
  ExportRelayTraffic(metrics, this->relay->Traffic());
  ExportTunnel(metrics, *this->tunnel);
  ExportPlatform(metrics, *this->runtime->platform);
  return telemetry::RenderPrometheus(metrics);
}

}  // namespace anvildrum::daemon
