#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>
#include <memory>
#include <span>
#include <string_view>

#include "base/result.h"
#include "net/operator_port.h"
#include "net/periodic_timer.h"
#include "net/udp_port.h"
#include "packetd/adapter.h"
#include "packetd/awaiting_packets.h"
#include "packetd/internal/operator_view.h"
#include "packetd/peer_configuration.h"
#include "packetd/registrar.h"
#include "packetd/settings.h"
#include "packetd/shortage_log.h"
#include "packetd/target_watch.h"
#include "packets/agent.h"
#include "packets/control.h"
#include "platform/client.h"

namespace anvildrum::packetd {

/// The agent process: connects packets::Agent to sockets, timers and the platform.
class AgentNode {
 public:
  /// `reload` has to read the settings file again. It is called when the target reports a service
  /// other than the one in the settings.
  AgentNode(boost::asio::io_context& io, const Adapter& adapter, const Settings& settings,
            std::function<void()> reload);

  /// Binds all sockets and starts to serve. Errors: net::NetError.
  auto Start() -> base::Result<void>;

  /// Applies changed seeds, the changed policy under shortage, and the target's changed service and
  /// address.
  auto Reload(const Settings& settings) -> void;

  /// Directs openings to other agents. Returns how long the process has to continue to run.
  auto Stop() -> base::Duration;

 private:
  auto OpenPorts() -> base::Result<void>;
  auto OpenHeartbeats() -> base::Result<void>;
  auto OnPeerPacket(packets::Address sender, std::span<const std::uint8_t> datagram) -> void;
  auto DecideOnPacket(packets::Address sender, const packets::Packet& packet, base::TimePoint now)
      -> packets::AgentVerdict;
  auto AskRoute(const packets::RouteQuery& query, packets::Address sender,
                const packets::Stamp& stamp) -> void;
  auto OnRouteAnswer(packets::Address balancer, const packets::RouteAnswer& answer) -> void;
  auto StepAwaiting(base::TimePoint now) -> void;
  auto CorrectSender(packets::Address sender, base::TimePoint now) -> void;
  auto OnTargetPacket(std::span<const std::uint8_t> datagram) -> void;
  auto ApplyVerdict(std::span<const std::uint8_t> datagram, const packets::Packet& packet,
                    const packets::AgentVerdict& verdict) -> void;
  auto Refuse(const packets::Packet& packet) -> void;
  auto OnControl(const base::Endpoint& from, std::span<const std::uint8_t> datagram) -> void;
  auto OnHello(packets::Address balancer, const packets::Hello& hello) -> void;
  auto OnRouteClasses(const packets::RouteClassesPart& part) -> void;
  auto OnHeartbeat(const net::OperatorRequest& request) -> net::OperatorResponse;
  auto OnLeave(const net::OperatorRequest& request) -> net::OperatorResponse;
  auto SendControl(packets::Address balancer, const packets::Control& control) -> void;
  auto SendLocated(const packets::FlowId& flow, std::uint16_t origin) -> void;
  auto SendBack(std::span<const std::uint8_t> datagram, const packets::Packet& packet,
                const packets::ReturnToBalancer& back) -> void;
  auto Report(packets::Address balancer) -> void;
  auto ReportToAll() -> void;
  auto ReportChange(base::TimePoint now) -> void;
  auto OnRecordKept(std::string_view value, bool written) -> void;
  [[nodiscard]] auto RecordOfTarget() const -> std::string;
  auto Check(base::TimePoint now) -> void;
  auto OnRefused(base::TimePoint began) -> void;
  auto KeepConfiguration(packets::Address balancer, std::uint64_t revision) -> void;
  auto RemindBalancers(base::TimePoint now) -> void;
  auto ObserveWork(base::Duration took) -> void;
  auto LogDecision(std::string_view event, const packets::Packet& packet, std::string_view reason)
      -> void;
  [[nodiscard]] auto Counts() const -> std::vector<NamedCount>;
  auto LogTraffic() -> void;
  auto LogShortage(base::TimePoint now) -> void;
  auto RemoveRecordOfSilent(base::TimePoint now) -> void;
  auto LogInvalidInput(std::string_view event, std::string_view path) -> void;
  [[nodiscard]] auto IsKnown() const -> bool;
  auto AnnounceToSeeds() -> void;
  auto TargetIdOf(std::string_view path) const -> std::string_view;

  boost::asio::io_context& io;
  const Adapter& adapter;
  Settings settings;
  std::function<void()> reload;
  OperatorView operators;
  packets::Agent core;
  platform::Client client;
  platform::Client stale_client;  ///< its reads may be seconds old
  telemetry::Summary& work_seconds;
  Registrar registrar;
  std::uint64_t malformed = 0;
  AwaitingPackets awaiting;           ///< until a balancer has answered about their route
  std::uint64_t expired_packets = 0;  ///< packets for which no answer came in time
  base::TimePoint corrected_at{};     ///< last report to the sender of a misdirected packet
  packets::TargetState told_state = packets::TargetState::kUnknown;  ///< last pushed state
  TargetWatch target_watch;
  PeerConfiguration configuration;  ///< copy for balancers that find no other
  base::TimePoint asked_at{};       ///< last request for a newer configuration
  base::TimePoint reminded_at{};    ///< last reports to silent balancers
  ShortageLog shortage_log;
  packets::AgentCounters logged_counters;  ///< counters as of the last traffic log line
  std::unique_ptr<net::UdpPort> packet_port;
  std::unique_ptr<net::UdpPort> target_port;
  std::unique_ptr<net::UdpPort> control_port;
  std::unique_ptr<net::OperatorPort> readiness_port;
  std::unique_ptr<net::OperatorPort> heartbeat_port;
  std::unique_ptr<net::PeriodicTimer> check_timer;
  std::unique_ptr<net::PeriodicTimer> sweep_timer;
};

}  // namespace anvildrum::packetd
