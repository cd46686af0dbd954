#pragma once

#include <boost/asio/steady_timer.hpp>
#include <map>
#include <memory>
#include <optional>
#include <unordered_map>

#include "agent/agent.h"
#include "daemon/internal/announcer.h"
#include "daemon/internal/records.h"
#include "daemon/internal/relay_runtime.h"
#include "daemon/internal/runtime.h"
#include "daemon/internal/tunnel_port.h"
#include "net/connected_udp.h"
#include "net/signals.h"

namespace anvildrum::daemon {

/// An agent's process: sockets, files and timers round agent::Step. The core starts when the
/// announcement has taken, because the platform's record settles the incarnation that all of the
/// core's safeguards are bound to. The core serves when that record has come back through the
/// relay, which brings all earlier announcements first. Failure: an agent that took its own record
/// at once knew of no peer, believed itself settled and alone, and opened flows that others served;
/// the home then kept the one heard last. Symptom: established feeds went silent when a target
/// joined.
class AgentRuntime {
 public:
  explicit AgentRuntime(std::unique_ptr<Runtime> runtime);

  /// Opens what the settings name. Errors: net::NetError.
  auto Open() -> base::Result<void>;

  /// Returns after a graceful stop.
  auto Run() -> void;

 private:
  auto MakeRecord() const -> membership::TargetRecord;
  auto OnReady() -> void;
  auto Announced(const Announcer::Announced& result) -> void;
  auto StartCore(bool predecessor_lost) -> void;
  auto ArmRestart() -> void;
  auto ServeUnderEarlierRecord() -> void;
  auto OnRecords(const std::vector<relay::PlatformObject>& records) -> void;
  auto ApplyRecord(const relay::PlatformObject& record) -> void;
  auto ApplyTarget(const relay::PlatformObject& record) -> void;
  auto ApplyBalancer(const relay::PlatformObject& record) -> void;
  auto RefuseRecord(const relay::PlatformObject& record) -> void;
  auto ApplyConfig(const relay::PlatformObject& record) -> void;
  auto UpdateRelayPeers() -> void;
  auto Step(const agent::Event& event) -> void;
  auto Carry(const agent::Effect& effect) -> void;
  auto SendTarget(const agent::SendTarget& send) -> void;
  auto SocketOf(const base::FlowKey& flow) -> net::ConnectedUdp*;
  auto WriteHop(const agent::HopPassed& hop) -> void;
  auto WriteSpan(const agent::SpanMark& mark) -> void;
  auto ArmTimer() -> void;
  auto BeginDrain() -> void;
  auto Withdraw() -> void;
  auto AddRoutes() -> void;
  auto RenderMetrics() -> std::string;

  std::unique_ptr<Runtime> runtime;
  membership::TargetRecord record;
  std::optional<agent::Agent> agent;
  std::unique_ptr<TunnelPort> tunnel;
  std::unique_ptr<RelayRuntime> relay;
  std::unique_ptr<Announcer> announcer;
  std::map<std::string, relay::PlatformObject> records;  ///< latest, until the core can take them
  std::unordered_map<base::FlowKey, std::unique_ptr<net::ConnectedUdp>> sockets;
  std::unordered_map<std::uint64_t, telemetry::Span> spans;  ///< by request
  telemetry::Summary& request_seconds;
  boost::asio::steady_timer timer;
  boost::asio::steady_timer restart_timer;
  bool provisional = false;  ///< the core runs, and the platform has not taken the record yet
  std::unique_ptr<net::StopSignal> stop_signal;
  RecordRefusals records_refused;
  bool stopping = false;
};

}  // namespace anvildrum::daemon
