#pragma once

#include <boost/asio/io_context.hpp>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "base/echo.h"
#include "base/result.h"
#include "net/operator_port.h"
#include "net/periodic_timer.h"
#include "net/udp_port.h"
#include "packetd/adapter.h"
#include "packetd/flow_searcher.h"
#include "packetd/internal/operator_view.h"
#include "packetd/machine_probes.h"
#include "packetd/operator_reads.h"
#include "packetd/peer_configuration.h"
#include "packetd/record_reader.h"
#include "packetd/route_history_store.h"
#include "packetd/settings.h"
#include "packets/balancer.h"
#include "packets/control.h"
#include "packets/gossip.h"
#include "packets/hello.h"
#include "packets/hello_schedule.h"
#include "packets/newer_configuration.h"
#include "platform/client.h"
#include "platform/prefix_watcher.h"

namespace anvildrum::packetd {

/// The state of another balancer as of its last hello.
struct KnownBalancer {
  base::HeardMark mark;
  std::uint32_t balancers = 0;  ///< number of balancers it knows, itself included
  std::uint64_t revision = 0;   ///< revision of its configuration
};

/// The balancer process: connects packets::Balancer to sockets, timers and the platform.
class BalancerNode {
 public:
  BalancerNode(boost::asio::io_context& io, const Adapter& adapter, const Settings& settings);

  /// Binds all sockets and starts to serve. Errors: net::NetError.
  auto Start() -> base::Result<void>;

  /// Applies a changed list of seeds. Changed addresses require a restart.
  auto Reload(const Settings& settings) -> void;

  /// Lets readiness probes fail while packets are still forwarded. Returns how long the process has
  /// to continue to run.
  auto Stop() -> base::Duration;

 private:
  auto OnPacket(std::span<const std::uint8_t> datagram) -> void;
  auto ApplyVerdict(std::span<const std::uint8_t> datagram, const packets::Packet& packet,
                    const packets::BalancerVerdict& verdict) -> void;
  auto OnControl(const base::Endpoint& from, std::span<const std::uint8_t> datagram) -> void;
  auto SendDueHellos(base::TimePoint now) -> void;
  auto ProbeSilentAgents(base::TimePoint now) -> void;
  auto MakeSearchCallbacks() -> SearchCallbacks;
  auto OnGivenBack(const packets::GivenBack& given_back, base::TimePoint now) -> void;
  auto AskAgent(const packets::TargetReport& report, base::TimePoint now) -> void;
  auto OnReport(const packets::TargetReport& report, base::TimePoint now) -> void;
  auto OnAnswer(const platform::PlatformError* error) -> void;
  auto OnDrains(const platform::Listing& drains) -> void;
  auto TakeDrained(const packets::DrainedDomains& told, std::string_view from) -> void;
  auto TakeConfirmation(const packets::Hello& hello, base::TimePoint now) -> bool;
  auto NoteNewer(packets::Address from, const packets::Hello& hello, base::TimePoint now) -> void;
  auto AskForNewer(base::TimePoint now) -> void;
  [[nodiscard]] auto IsConfigurationComing() const -> bool;
  auto OnConfiguration(const platform::Object& object, std::string_view from) -> void;
  auto OnRecord(const platform::Object& object) -> void;
  auto OpenPorts() -> base::Result<void>;
  auto Watch() -> void;
  auto WatchAsSeed() -> void;
  auto MakeReadCallbacks() -> OperatorReadCallbacks;
  [[nodiscard]] auto IsSeed() const -> bool;
  [[nodiscard]] auto RecordsRoutes(base::TimePoint now) const -> bool;
  auto KeepRouteHistory(base::TimePoint now) -> void;
  auto ReadRecords(base::TimePoint now) -> void;
  auto ReviewDrains(base::TimePoint now) -> void;
  [[nodiscard]] auto Balancers() const -> std::set<packets::Address>;
  [[nodiscard]] auto BalancerCount(base::TimePoint now) const -> std::size_t;
  auto NextHolder(packets::Address receiver) -> packets::Address;
  auto PaceCalls(base::TimePoint now) -> void;
  auto SendPeriodicHellos(base::TimePoint now) -> void;
  auto SendBriefHello(base::TimePoint now) -> void;
  auto SendHello(const std::set<packets::Address>& to, packets::Hello hello, base::TimePoint now)
      -> void;
  auto OnHello(packets::Address from, const packets::Hello& hello, base::TimePoint now) -> void;
  auto SendControl(packets::Address to, std::string_view text) -> void;
  auto LogDecision(std::string_view event, const packets::Packet& packet, std::string_view reason,
                   packets::Address agent = 0) -> void;
  [[nodiscard]] auto Counts() const -> std::vector<NamedCount>;
  auto LogTraffic() -> void;
  auto RefreshVerdicts(base::TimePoint now) -> void;
  [[nodiscard]] auto ConfigurationAge(base::TimePoint now) const -> base::Duration;
  [[nodiscard]] auto IsPlatformSilent(base::TimePoint now) const -> bool;
  auto LogFreshness(base::TimePoint now) -> void;
  [[nodiscard]] auto FirstAway() const -> packets::Address;
  auto IsReady() const -> bool;

  boost::asio::io_context& io;
  const Adapter& adapter;
  Settings settings;
  OperatorView operators;
  packets::Balancer core;
  FlowSearcher searcher;
  platform::Client client;
  platform::Client stale_client;  ///< its reads may be seconds old
  PeerConfiguration peers;
  OperatorReads reads;
  RouteHistoryStore route_history_store;
  RecordReader record_reader;
  MachineProbes probes;
  std::optional<packets::NewerConfiguration> newer_configuration;
  packets::KeptConfigurations kept_configurations;
  base::MarkClock mark_clock;
  std::map<packets::Address, KnownBalancer> balancers;           ///< senders of recent hellos
  packets::Address last_holder = 0;                              ///< last named holder
  packets::GossipState gossip;                                   ///< rotation of reported agents
  std::map<base::ServiceId, packets::ServiceHello> last_hellos;  ///< to agents, by service
  bool records_read = false;
  std::optional<base::TimePoint> platform_lost_at;
  bool platform_answers = true;  ///< it answered any balancer recently
  bool unconfirmed = false;      ///< the configuration may be older than allowed
  base::TimePoint started_at{};  ///< start of the process
  bool stopping = false;
  std::uint64_t malformed = 0;
  std::uint64_t unreadable = 0;  ///< records, drains and configurations that could not be used
  packets::BalancerCounters logged_counters;  ///< counters as of the last traffic log line
  std::unique_ptr<net::UdpPort> packet_port;
  std::unique_ptr<net::UdpPort> control_port;
  std::unique_ptr<net::OperatorPort> readiness_port;
  std::unique_ptr<net::PeriodicTimer> ask_timer;
  std::unique_ptr<net::PeriodicTimer> check_timer;
  std::unique_ptr<net::PeriodicTimer> sweep_timer;
  std::unique_ptr<platform::PrefixWatcher> configuration_watcher;  ///< set only at a seed
  std::unique_ptr<platform::PrefixWatcher> drains_watcher;         ///< set only at a seed
  std::unique_ptr<platform::PrefixWatcher> record_watcher;
};

}  // namespace anvildrum::packetd
