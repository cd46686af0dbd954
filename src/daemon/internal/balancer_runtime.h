#pragma once

#include <map>
#include <memory>

#include "balancer/balancer.h"
#include "balancer/monitor.h"
#include "daemon/internal/announcer.h"
#include "daemon/internal/records.h"
#include "daemon/internal/relay_runtime.h"
#include "daemon/internal/runtime.h"
#include "daemon/internal/service_datagrams.h"
#include "daemon/internal/tunnel_port.h"
#include "daemon/internal/wake_fence.h"
#include "net/periodic_timer.h"
#include "net/signals.h"
#include "net/udp_port.h"

namespace anvildrum::daemon {

/// A balancer's process: sockets, files and timers round balancer::Step.
class BalancerRuntime {
 public:
  explicit BalancerRuntime(std::unique_ptr<Runtime> runtime);

  /// Opens what the settings name. Errors: net::NetError.
  auto Open() -> base::Result<void>;

  /// Returns after a graceful stop.
  auto Run() -> void;

 private:
  auto OnRecords(const std::vector<relay::PlatformObject>& records) -> void;
  auto OnRecord(const relay::PlatformObject& record, membership::View& view) -> void;
  auto OnConfig(const relay::PlatformObject& record) -> void;
  auto OnTunnel(const base::Endpoint& from, const wire::Opened& opened) -> void;
  auto OnClient(const base::Endpoint& address, const base::Endpoint& client,
                wire::BytesView payload) -> void;
  auto OnTick(base::TimePoint now) -> void;
  auto ApplyView(const membership::View& view) -> void;
  template <typename Record>
  auto ReportSuspicion(const Record& record, bool suspect) -> void;
  auto ApplyMonitor(const balancer::MonitorEffects& effects) -> void;
  auto Carry(const balancer::Effects& effects) -> void;
  auto BindServices() -> void;
  auto Datagrams() const -> ServiceDatagrams;
  auto BindService(const base::Endpoint& address) -> void;
  auto LocalOf(const base::Endpoint& address) const -> base::Endpoint;
  auto WriteClientSpan(const balancer::Route& route) -> void;
  auto AddRoutes() -> void;
  auto StatusJson() const -> std::string;
  auto RenderMetrics() -> std::string;
  auto BeginStop() -> void;
  auto EndStop() -> void;

  std::unique_ptr<Runtime> runtime;
  balancer::Balancer balancer;
  balancer::Monitor monitor;
  membership::BalancerRecord record;
  std::unique_ptr<TunnelPort> tunnel;
  std::unique_ptr<RelayRuntime> relay;
  std::unique_ptr<Announcer> announcer;
  std::map<base::Endpoint, std::unique_ptr<net::UdpPort>> service_ports;  ///< by service address
  std::unique_ptr<net::PeriodicTimer> tick;
  std::unique_ptr<net::StopSignal> stop_signal;
  wire::pb::TunnelHeader scratch_header;
  WakeFence fence;
  RecordRefusals records_refused;
  ServiceDatagrams closed_ports;  ///< counts of service ports that are closed
  base::TimePoint stop_begun{};
  base::TimePoint last_client_packet{};
};

}  // namespace anvildrum::daemon
