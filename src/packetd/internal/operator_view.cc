#include "packetd/internal/operator_view.h"

#include <boost/asio/io_context.hpp>
#include <utility>

#include "base/clock.h"
#include "packetd/addresses.h"

namespace anvildrum::packetd {

OperatorView::OperatorView() : gate(telemetry::MakeLogGate({}, base::Now())) {}

auto OperatorView::Serve(boost::asio::io_context& io, const std::optional<base::Endpoint>& local,
                         Collect collect) -> base::Result<void> {
  if (!local) return {};
  auto opened = net::OperatorPort::Open(io, {.local = *local});
  if (!opened) return opened.error();
  this->port = std::move(opened.value());
  auto render = [this, collect = std::move(collect)](const net::OperatorRequest&) {
    Export(this->registry, collect());
    return net::OperatorResponse{.content_type = std::string(telemetry::kPrometheusContentType),
                                 .body = telemetry::RenderPrometheus(this->registry)};
  };
  this->port->Route("GET", "/metrics", std::move(render));
  return {};
}

auto OperatorView::LogDecision(std::string_view event, const packets::Packet& packet,
                               std::string_view reason, const DecisionBasis& basis) -> void {
  if (!telemetry::TakeLine(this->gate, base::Now())) return;
  const auto left_out = std::exchange(this->gate.left_out, 0);
  telemetry::Log(telemetry::LogLevel::kInfo, event,
                 {{"client", FormatEnd(packet.source)},
                  {"service", FormatEnd(packet.destination)},
                  {"reason", reason},
                  {"copy", packet.acknowledged * (IsOpening(packet) ? 1U : 0U)},
                  {"hops", packet.stamp.hops},
                  {"agents", basis.agents},
                  {"flows", basis.flows},
                  {"left_out", left_out}});
}

auto OperatorView::LogOdd(std::string_view event, std::string_view subject) -> void {
  if (!telemetry::TakeLine(this->gate, base::Now())) return;
  const auto left_out = std::exchange(this->gate.left_out, 0);
  telemetry::Log(telemetry::LogLevel::kWarning, event,
                 {{"subject", subject}, {"left_out", left_out}});
}

}  // namespace anvildrum::packetd
