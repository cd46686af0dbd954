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

/// What a process knew when it decided on a packet.
struct DecisionBasis {
  std::size_t agents = 0;      ///< that it holds for possible
  std::size_t flows = 0;       ///< that it remembers
  packets::Address agent = 0;  ///< that the reason is about; 0: none alone
};

/// What operators see of a process: its metrics, and a line for each decision about a flow.
class OperatorView {
 public:
  using Collect = std::function<std::vector<NamedCount>()>;

  OperatorView();

  /// Serves the metrics at `local`; without one nothing is served. Errors: net::NetError.
  auto Serve(boost::asio::io_context& io, const std::optional<base::Endpoint>& local,
             Collect collect) -> base::Result<void>;

  /// Writes a line within the budget of such lines; the next one tells how many were left out.
  auto LogDecision(std::string_view event, const packets::Packet& packet, std::string_view reason,
                   const DecisionBasis& basis) -> void;

  /// The same of what another writer sent that names nothing to use; `subject` says which.
  auto LogInvalidInput(std::string_view event, std::string_view subject) -> void;

  /// The same of an agent's record that was read at the platform: all are read at a start.
  auto LogRecord(std::string_view key, bool deleted, std::uint64_t revision) -> void;

  /// Calls to the platform since the start, by kind, where there were any since the last line; at
  /// most one line in five seconds.
  auto LogCalls(const CallsByFreshness& calls, base::TimePoint now) -> void;

  telemetry::Registry registry;

 private:
  std::uint64_t logged_calls = 0;
  base::TimePoint calls_logged_at{};
  telemetry::LogGate gate;
  telemetry::LogGate record_gate;  ///< apart, so that a start leaves decisions their lines
  std::unique_ptr<net::OperatorPort> port;
};

}  // namespace anvildrum::packetd
