#include "packetd/internal/operator_view.h"

#include <boost/asio/io_context.hpp>
#include <utility>

#include "base/clock.h"
#include "packetd/addresses.h"

namespace anvildrum::packetd {
namespace {

// Budget for log lines about records. Each line states how many were left out before it.
constexpr auto kRecordLogBudget = telemetry::LogBudget{.burst = 20, .per_second = 5};

// Shortest time between two log lines about calls.
constexpr auto kCallLogPeriod = base::seconds{5};

}  // namespace

OperatorView::OperatorView()
    : gate(telemetry::MakeLogGate({}, base::Now())),
      record_gate(telemetry::MakeLogGate(kRecordLogBudget, base::Now())) {}

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
                  {"agent", FormatAddress(basis.agent)},
                  {"left_out", left_out}});
}

auto OperatorView::LogInvalidInput(std::string_view event, std::string_view subject) -> void {
  if (!telemetry::TakeLine(this->gate, base::Now())) return;
  const auto left_out = std::exchange(this->gate.left_out, 0);
  telemetry::Log(telemetry::LogLevel::kWarning, event,
                 {{"subject", subject}, {"left_out", left_out}});
}

auto OperatorView::LogCalls(const CallsByFreshness& calls, base::TimePoint now) -> void {
  const auto sum = Sum(calls.newest.sent) + Sum(calls.copies.sent);
  if (sum == this->logged_calls || now - this->calls_logged_at < kCallLogPeriod) return;
  this->logged_calls = sum;
  this->calls_logged_at = now;
  const auto sent = [&](platform::CallKind kind) {
    return calls.newest.sent.at(static_cast<std::size_t>(kind));
  };
  telemetry::Log(telemetry::LogLevel::kInfo, "platform_calls",
                 {{"gets", sent(platform::CallKind::kGet)},
                  {"lists", sent(platform::CallKind::kList)},
                  {"puts", sent(platform::CallKind::kPut)},
                  {"deletes", sent(platform::CallKind::kDelete)},
                  {"watches", sent(platform::CallKind::kWatch)},
                  {"failed", Sum(calls.newest.failed)},
                  {"copies", Sum(calls.copies.sent)},
                  {"copies_failed", Sum(calls.copies.failed)},
                  {"cut_short", calls.newest.cut_short + calls.copies.cut_short}});
}

auto OperatorView::LogRecord(std::string_view key, bool deleted, std::uint64_t revision) -> void {
  if (!telemetry::TakeLine(this->record_gate, base::Now())) return;
  const auto left_out = std::exchange(this->record_gate.left_out, 0);
  telemetry::Log(
      telemetry::LogLevel::kInfo, "record",
      {{"key", key}, {"deleted", deleted}, {"revision", revision}, {"left_out", left_out}});
}

}  // namespace anvildrum::packetd
