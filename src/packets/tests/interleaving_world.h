#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "packets/agent.h"
#include "packets/balancer.h"
#include "packets/control.h"
#include "packets/hello.h"
#include "packets/search.h"

/// A small simulated deployment on a virtual clock, for random interleavings: balancers, agents
/// with their targets, and clients, with datagrams that are late or lost. The cores under test make
/// all decisions; the world delivers their messages and records the true state of each flow.
namespace anvildrum::packets::tests {

inline constexpr auto kRoute = End{0xc6120001, 443};
inline constexpr auto kDesk = base::ServiceId{0x1234567};
inline constexpr auto kFirstBalancer = Address{0x0a020001};
inline constexpr auto kDomains = std::size_t{3};  // where domains are drained
inline constexpr auto kMapper = base::ServiceId{0x7654321};
// A service whose tag in a stamp is that of kDesk.
inline constexpr auto kEqualTag = base::ServiceId{kDesk.value + (1U << kServiceTagBits)};

inline constexpr auto kTickEvery = base::milliseconds{50};
inline constexpr auto kHeartbeatTicks = std::uint64_t{15};  // 750 ms

struct HeldFlow {
  bool open = false;  ///< the client continued with this target
  std::uint32_t sequence = 0;
};

struct Target {
  std::uint64_t incarnation = 0;  ///< unique for each start
  std::uint64_t id = 0;           ///< the target's own id; a later start may reuse it
  base::ServiceId service;
  bool alive = true;
  bool draining = false;
  std::uint64_t heartbeats = 0;
  std::map<FlowId, HeldFlow> flows;
};

/// A pause of a process: datagrams wait in its sockets and are lost if it is restarted.
struct Pause {
  base::TimePoint until{};
  std::uint64_t starts = 0;
};

/// A packet that awaits a balancer's word on its route.
struct AwaitingPacket {
  Packet packet;
  base::TimePoint since{};
};

struct AgentSite {
  Agent core;
  std::vector<AwaitingPacket> awaiting;
  Target target;
  bool up = true;
  Pause pause;
};

struct BalancerSite {
  Balancer core;
  std::map<base::ServiceId, ServiceHello> said;
  std::map<FlowId, Packet> held;  ///< packets that wait for a search
  bool searching = false;
  bool up = true;
  Pause pause;
};

struct ClientFlow {
  FlowId id;
  std::uint32_t target_sequence = 0;  ///< of the answer that the client continued with; 0: none yet
  bool ended = false;
  base::TimePoint next{};
  std::uint32_t openings = 0;
  std::uint32_t unanswered = 0;  ///< data packets since the last answer
};

struct Timed {
  base::TimePoint at{};
  std::uint64_t order = 0;
  std::function<void()> run;
  auto operator<(const Timed& other) const -> bool {
    return std::tie(other.at, other.order) < std::tie(this->at, this->order);
  }
};

struct WorldOptions {
  std::uint64_t seed = 0;
  std::size_t balancers = 3;
  std::size_t agents = 5;
  int loss_percent = 2;
  bool pauses = false;       ///< processes occasionally pause for up to two seconds
  std::uint32_t slots = 50;  ///< of a target; with few slots, load affects the outcome
  /// Targets restart under the id that they had and report when they started; heartbeats and leaves
  /// of earlier starts arrive late.
  bool same_id = false;
  /// An operator drains failure domains and reverses this. The platform does not inform instances
  /// that start later, so that these learn of it only from other instances.
  bool drains = false;
  /// An operator gives the route to the other service and back. Each balancer applies a version
  /// some time later or never. One that starts has the newest version, and reads the recorded
  /// history some time later.
  bool moves = false;
  /// All processes, or a part of them, are killed at once and started again, while targets run on.
  /// At times the platform does not answer. Targets count their heartbeats from 0. A new agent
  /// knows only one balancer, the others learn of it from their copies of the records.
  bool kills = false;
  /// An agent notices the end of its target by its connection, before the next target runs.
  bool notices_ends = false;
  /// The other service has the tag of the first one, and balancers answer agents about routes.
  bool equal_tags = false;
};

class World {
 public:
  explicit World(const WorldOptions& options);

  /// Runs random events and traffic for this time.
  auto Run(base::Duration duration) -> void;
  /// Runs traffic without events or loss; at the end every open flow of a live target must be
  /// served.
  auto Settle(base::Duration duration) -> void;

  /// Descriptions of the violated guarantees; empty if there were none.
  std::vector<std::string> faults;
  std::uint64_t opened = 0;
  std::uint64_t resets = 0;
  std::uint64_t refusals = 0;

 private:
  auto Advance(base::TimePoint until) -> void;
  auto Later(base::Duration delay, std::function<void()> run) -> void;
  auto Carry(std::function<void()> run) -> void;
  auto WhenAwake(const Pause& pause, std::function<void()> run) -> void;
  auto Draw(std::uint64_t below) -> std::uint64_t;
  auto Fault(const std::string& what, const FlowId& flow) -> void;

  auto Tick() -> void;
  auto Disturb() -> void;
  auto RestartAgent(std::size_t index) -> void;
  auto RestartBalancer(std::size_t index) -> void;
  auto Drain(std::size_t index) -> void;
  auto Crash(std::size_t index) -> void;
  auto NoticeEnd(std::size_t index) -> void;
  auto PauseOne() -> void;
  auto DrainDomain() -> void;
  auto MoveRoute() -> void;
  auto KillProcesses() -> void;
  auto StartAgent(std::size_t index) -> void;
  auto ApplyNewest(std::size_t index) -> void;
  auto KeepHistory(std::size_t index) -> void;
  auto ReadHistory(std::size_t index) -> void;
  [[nodiscard]] auto IsLongDrained(const AgentSite& site) const -> bool;
  auto StartTarget(std::size_t index, base::ServiceId service) -> void;

  auto Hello(BalancerSite& balancer, Address own) -> void;
  auto Say(Address agent, Address balancer, const packets::Hello& hello) -> void;
  auto Heartbeat(AgentSite& site) -> void;
  auto MakeHeartbeat(const Target& target, std::uint64_t sequence) const -> packets::Heartbeat;
  [[nodiscard]] auto MayBeUnheard(const AgentSite& site) const -> bool;
  auto SpeakLate(std::size_t index, bool leave) -> void;
  [[nodiscard]] auto IsPlatformAway() const -> bool;
  auto RecordTarget(AgentSite& site) -> void;
  auto ReadRecords(std::size_t index) -> void;
  auto Record(Address agent, std::optional<base::ServiceId> service) -> void;
  auto Report(AgentSite& site, Address balancer) -> void;
  auto ReportToAll(AgentSite& site) -> void;

  auto StepClients() -> void;
  auto Send(ClientFlow& flow) -> void;
  auto ToBalancer(const Packet& packet) -> void;
  auto AtBalancer(std::size_t index, const Packet& packet) -> void;
  auto Await(std::size_t index, const Packet& packet) -> void;
  auto StepSearch(std::size_t index, std::uint64_t starts) -> void;
  auto Query(std::size_t index, const AddressedQuery& addressed) -> void;
  auto ToBalancerCore(std::size_t index, std::function<void(Balancer&)> take) -> void;
  auto Apply(std::size_t index, const std::vector<SearchOutcome>& outcomes) -> void;
  auto SendLocated(const AgentSite& agent, const FlowId& flow, std::uint16_t origin) -> void;
  auto SendBack(const AgentSite& agent, const Packet& packet, const ReturnToBalancer& back) -> void;
  auto ToAgent(Address agent, const Packet& packet) -> void;
  auto AtAgent(AgentSite& site, const Packet& packet) -> void;
  auto AskRoute(AgentSite& site, const RouteQuery& query, const Packet& packet) -> void;
  auto TakeAnswerAboutRoute(AgentSite& site, const RouteAnswer& answer) -> void;
  [[nodiscard]] auto OtherService() const -> base::ServiceId;
  auto ToTarget(AgentSite& site, Packet packet) -> void;
  auto FromTargetOf(AgentSite& site, const Packet& packet) -> void;
  auto Act(AgentSite& site, const Packet& packet, const AgentVerdict& verdict) -> void;
  auto ToClient(const Packet& packet) -> void;
  auto ResetClient(const FlowId& flow, const std::string& by) -> void;
  auto OpenAt(const FlowId& flow) -> AgentSite*;
  auto SiteOf(Address agent) -> AgentSite*;

  WorldOptions options;
  std::mt19937_64 generator;
  base::TimePoint now{base::hours(1)};
  std::uint64_t events = 0;
  std::priority_queue<Timed> queue;
  std::vector<AgentSite> agents;
  std::vector<BalancerSite> balancers;
  std::map<FlowId, ClientFlow> clients;
  std::map<Address, base::ServiceId> records;
  std::map<Address, Incarnation> recorded_targets;  ///< as the agents' records name them
  base::ServiceId service = kDesk;                  ///< of the route, in the newest version
  std::uint64_t version = 1;                        ///< the newest
  RouteServices history;                            ///< as recorded at the platform
  DrainedDomains drained;                           ///< as set by the operator
  std::map<DomainTag, base::TimePoint> drained_at;  ///< of those that are
  std::uint64_t incarnations = 0;
  std::uint64_t ports = 0;
  bool calm = false;
};

}  // namespace anvildrum::packets::tests
