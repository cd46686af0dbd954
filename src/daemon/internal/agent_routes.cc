#include "daemon/internal/agent_runtime.h"
#include "daemon/internal/metrics_export.h"
#include "daemon/internal/status.h"

namespace anvildrum::daemon {
namespace {

constexpr auto kNotStarted = std::string_view{R"({"role":"agent","ready":false})"};

}  // namespace

auto AgentRuntime::AddRoutes() -> void {
  auto& port = *this->runtime->operator_port;
  port.Route("GET", "/status", [this](const auto&) {
    auto body = this->agent ? AgentStatus(*this->runtime, *this->agent, this->relay->State())
                            : std::string(kNotStarted);
    return net::OperatorResponse{200, "application/json", body};
  });
  port.Route("GET", "/metrics", [this](const auto&) {
    return net::OperatorResponse{200, std::string(telemetry::kPrometheusContentType),
                                 this->RenderMetrics()};
  });
  port.Route("POST", "/drain", [this](const auto&) {
    this->BeginDrain();
    return net::OperatorResponse{202, "application/json", R"({"draining":true})"};
  });
}

auto AgentRuntime::RenderMetrics() -> std::string {
  auto& metrics = this->runtime->metrics;
  if (this->agent) ExportAgent(metrics, *this->agent);
  ExportRelay(metrics, this->relay->State());
  ExportRelayEdge(metrics, this->relay->Refusals(), this->relay->State().counters);
  ExportRecords(metrics, this->records_refused);
  ExportOperatorPort(metrics, *this->runtime->operator_port);
  ExportRelayTraffic(metrics, this->relay->Traffic());
  ExportTunnel(metrics, *this->tunnel);
  ExportPlatform(metrics, *this->runtime->platform);
  return telemetry::RenderPrometheus(metrics);
}

}  // namespace anvildrum::daemon
