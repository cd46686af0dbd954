#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "net/operator_port.h"
#include "packetd/metrics.h"
#include "packets/types/packet.h"
#include "telemetry/log.h"
#include "telemetry/metrics.h"

namespace anvildrum::packetd {

/// The state of a process when it decided on a packet.
struct DecisionBasis {
  std::size_t agents = 0;      ///< number of known candidates
  std::size_t flows = 0;       ///< number of known flows
  packets::Address agent = 0;  ///< the agent that the reason concerns; 0: no single one
};

/// A process's output for operators: metrics, and log lines about decisions on flows.
class OperatorView {
 public:
  using Collect = std::function<std::vector<NamedCount>()>;

  OperatorView();

  /// Serves the metrics at `local`, or nothing if it is empty. Errors: net::NetError.
  auto Serve(boost::asio::io_context& io, const std::optional<base::Endpoint>& local,
             Collect collect) -> base::Result<void>;

  /// Logs a decision within the budget for such lines. Each line states how many were left out
  /// before it.
  auto LogDecision(std::string_view event, const packets::Packet& packet, std::string_view reason,
                   const DecisionBasis& basis) -> void;

  /// Logs unusable input within the same budget; `subject` identifies the input.
  auto LogInvalidInput(std::string_view event, std::string_view subject) -> void;

  /// Logs an agent's record that was read at the platform, within a budget of its own. All records
  /// are read at a start.
  auto LogRecord(std::string_view key, bool deleted, std::uint64_t revision) -> void;

  /// Logs the calls to the platform since the start, by kind, if there were any since the last such
  /// line. Writes at most one line in five seconds.
  auto LogCalls(const CallsByFreshness& calls, base::TimePoint now) -> void;

  telemetry::Registry registry;

 private:
  std::uint64_t logged_calls = 0;
  base::TimePoint calls_logged_at{};
  telemetry::LogGate gate;
  telemetry::LogGate record_gate;  ///< separate, so that a start does not use up `gate`
  std::unique_ptr<net::OperatorPort> port;
};

}  // namespace anvildrum::packetd
