#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "admission/active_priorities.h"
#include "admission/caller_share.h"
#include "admission/controller.h"
#include "outlier/outcomes.h"
#include "packets/balancer.h"
#include "packets/cold.h"
#include "packets/confirmed_routes.h"
#include "packets/control.h"
#include "packets/route_classes.h"
#include "packets/route_set.h"
#include "packets/stall.h"
#include "packets/types/target.h"

/// The agent's packet logic, without I/O. The agent delivers packets to the local target if the
/// target accepts them, forwards other openings to another agent, and returns all other packets to
/// the balancer that sent them. An opening is the first packet of a flow, or a copy of it.
namespace anvildrum::packets {

struct AgentPolicy {
  /// Maximum number of times that an opening is forwarded in search of a target with capacity.
  std::uint8_t opening_hops = 6;
  /// An opening stops counting as load after this long without a further packet from its client. A
  /// client continues within one round trip, about 10 ms, or continues with another target.
  base::Duration offer_timeout = base::milliseconds{150};
  /// A target that has sent no heartbeat for this long receives no openings. The value is two and a
  /// half heartbeat periods of 750 ms. It is below the two seconds after which the address of an
  /// ended target may be reused by another service.
  base::Duration silent_for = base::milliseconds{1875};
  /// The same time-out for a stopping agent that has never received a heartbeat: one and a half
  /// heartbeat periods. A live target has sent a heartbeat by then, unless it was lost.
  base::Duration never_heard_timeout = base::milliseconds{1125};
  /// Minimum time between the two heartbeats that confirm a doubtful incarnation: half the period
  /// of 750 ms. Delayed heartbeats arrive within a few milliseconds of each other.
  base::Duration confirmation_interval = base::milliseconds{375};
  /// A leave notice received this soon after a start may belong to an earlier incarnation: calls of
  /// an ended target may arrive that late after retransmissions and a pause of this process.
  base::Duration late_leave_window = base::seconds{5};
  /// How long a hello stays valid: four hello periods, or kReportsMissed periods of the balancer if
  /// those are longer.
  base::Duration hello_lifetime = base::seconds{1};
  /// A peer list that was requested but not received is requested again after this long, from the
  /// next balancer that announces it. This exceeds the network delay plus a busy balancer's delay.
  base::Duration list_request_timeout = base::milliseconds{100};
  /// The same time for requested route classes.
  base::Duration class_request_timeout = base::milliseconds{100};
  /// How long a balancer's answer about a route counts. It is well below the time within which a
  /// configuration comes into force. With a packet in the second half of it the route is asked for
  /// again, so that packets of a route in use do not wait.
  base::Duration route_confirmed_for = base::seconds{2};
  /// A question about a route that was not answered is repeated after this long.
  base::Duration route_query_timeout = base::milliseconds{40};
  /// A set of route classes whose contents do not match its digest is requested again after this
  /// long. It probably comes from a build that computes the digest differently, and up to 60 kB of
  /// it should not be sent for each hello.
  base::Duration class_mismatch_pause = base::seconds{10};
  /// A flow is reset only if no new agent has become known for this long. Each balancer sends a
  /// hello within it, since one balancer may know an agent that the others do not know yet. The
  /// removal of an agent does not restart this time: otherwise, with one target replaced per
  /// second, resets of the flows lost with a failure domain would be delayed twice as long.
  base::Duration settling_time = base::milliseconds{350};
  /// A target may keep running briefly after its leave notice. For this long, packets of its flows
  /// are still delivered and balancers are not informed.
  base::Duration leave_grace = base::milliseconds{500};
  /// Maximum number of tracked flows, 170 bytes each. Packets of further flows are handled as those
  /// of unknown flows, so that a flood of forged flows cannot exhaust the memory limit.
  std::size_t max_flows = 50'000;
  /// The state of a flow that is not open at this target is dropped after this long without a
  /// packet.
  base::Duration flow_idle = base::seconds{20};
  /// The same time-out for an open flow: the maximum age up to which clients keep a flow. An agent
  /// that has run for this long has seen the opening of every flow that its target holds.
  base::Duration flow_age = base::seconds{60};
  /// The same time-out for a flow that the target has ended or does not hold. It is longer than the
  /// client's maximum retransmission time-out of 1.6 s.
  base::Duration ended_idle = base::seconds{2};
  /// Approximate heartbeat period of the target.
  base::Duration heartbeat_every = base::milliseconds{750};
  /// A packet of an unknown flow stops counting as load if the target has not reacted for this
  /// long: the target holds the flow half open, or the packet that it returned was lost.
  base::Duration reaction_timeout = base::seconds{1};
  /// A request that has received no packet for this long stops counting as load if the target has
  /// answered a request that arrived at least this much later: its client left before sending all
  /// of it.
  base::Duration overtaken_timeout = base::seconds{1};
  /// If requests without a packet for overtaken_timeout take up the capacity, one trial opening is
  /// admitted at this interval. Its answer shows that the target works and releases the others.
  base::Duration trial_interval = base::seconds{1};
  /// A balancer that has sent no hello for this long is no longer informed of changes. Until then
  /// it occasionally receives a report, since it may have restarted and know no agents.
  base::Duration balancer_timeout = base::seconds{10};
};

/// The state of a flow at the target, as derived from the packets seen.
enum class FlowStage : std::uint8_t {
  kOffered,        ///< the opening was delivered
  kAssumed,        ///< packets without an opening were delivered; no reaction yet
  kAnswered,       ///< the target answered the opening; the client has not continued yet
  kOpen,           ///< the target accepts its packets
  kOpenElsewhere,  ///< the client continued with another target
  kEnded,          ///< the target has sent its last data
  kNotHeld,        ///< the target returned a packet of the flow
};

/// The last request of a flow and its answer, for the outcomes at the target.
struct AnswerState {
  base::Duration taken{};   ///< from the request's last packet to the first data of the answer
  std::uint32_t bytes = 0;  ///< of the answer so far
  std::uint16_t ahead = 0;  ///< requests that waited for a slot when this one arrived
  bool answering = false;   ///< the answer has begun and is not counted yet
  bool counted = false;     ///< the request's outcome is counted; later packets change nothing
  bool begin_known = false;
  std::uint32_t begin = 0;  ///< sequence of the answer's first byte, if begin_known
};

/// State of a flow that was offered to the target, and its load.
struct FlowState {
  FlowStage stage = FlowStage::kOffered;
  bool at_work = false;  ///< an opening or request that the target has not answered with data
  std::uint32_t unanswered = 0;       ///< packets delivered while the stage was kAssumed
  std::uint16_t origin = 0;           ///< Stamp::origin of the last packet
  std::uint32_t target_sequence = 0;  ///< sequence of its answer to the opening
  /// Sequence number after the last byte of client data delivered so far.
  std::optional<std::uint32_t> request_end{};
  base::TimePoint seen{};
  base::TimePoint asked_at{};  ///< last packet of the request in progress; the epoch if none
  AnswerState answer{};
};

/// An opening that was delivered.
struct OfferedFlow {
  FlowId flow;
  base::TimePoint at{};
};

/// A list of agents. Balancers that announce the same list share one copy.
using PeerList = std::shared_ptr<const std::vector<Place>>;

/// The last hello of a balancer, and the peer list that it announced.
struct BalancerHello {
  base::TimePoint at{};
  base::Duration every{};               ///< period of its hellos
  Hello said;                           ///< the hello without its peer list
  PeerList peers;                       ///< null until the first list is known
  std::uint32_t digest = 0;             ///< of `peers`; 0 if the balancer announced a newer list
  std::uint32_t list_parts_digest = 0;  ///< of the list being received
  std::vector<std::vector<Place>> list_parts;  ///< by part; empty if not yet received
};

/// A requested peer list, identified by its digest.
struct WantedList {
  std::uint32_t digest = 0;
  Address balancer = 0;  ///< the balancer that was asked
  base::TimePoint at{};
};

/// Maximum number of former incarnations that an agent remembers, since their heartbeats may still
/// arrive late.
inline constexpr auto kMaxRetired = std::size_t{64};

/// A heartbeat that awaits confirmation by a later one of the same incarnation.
struct DoubtfulHeartbeat {
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  base::TimePoint heard{};
};

/// A target with no higher heartbeat sequence is new: it may have just started.
inline constexpr auto kNewTargetSequence = std::uint64_t{1};

/// The local target, as known from its heartbeats.
struct LocalTarget {
  TargetState state = TargetState::kUnknown;  ///< last known; StateOf also considers silence
  Heartbeat last;
  base::TimePoint heard{};    ///< when the last accepted heartbeat arrived
  base::TimePoint left_at{};  ///< when its leave took effect
  /// Incarnations that have left or were replaced, at most kMaxRetired. An entry without a start
  /// time covers every incarnation with its id.
  std::deque<Incarnation> retired;
  std::optional<DoubtfulHeartbeat> doubtful;
  base::TimePoint restarted_at{};  ///< when an incarnation with a former id was accepted
  bool leave_doubtful = false;     ///< the leave may belong to an earlier incarnation
  bool seen_from_start = false;    ///< only this process has delivered openings to this incarnation
  bool new_when_heard = false;     ///< it was, by the first heartbeat that this process took
  bool recorded = false;           ///< the agent's record at the platform names the incarnation
  /// This process was the first to record the incarnation, and no other one took openings for it.
  bool first_to_record = false;
  /// The failure domain has just been returned to service. The target may have become cold; its
  /// next heartbeat tells.
  bool cold_doubtful = false;
  ColdAllowance cold_allowance;  ///< openings delivered to it while it was cold
  bool refused = false;          ///< considered gone since its port refused a connection
  bool ignore_refusals = false;  ///< it sent a heartbeat after a refused connection
};

inline constexpr auto kLimitCount = static_cast<std::size_t>(admission::Limit::kCaller) + 1;

/// Openings decided by admission::Decide, and the shortages that it found.
struct ShortageCounters {
  std::uint64_t shortages = 0;  ///< shortages that began
  /// Openings of the highest priority that were admitted where a lower one would not have been.
  std::uint64_t admitted_urgent_first = 0;
  std::array<std::uint64_t, kLimitCount> turned_away{};  ///< by admission::Limit; kNone is unused
  std::uint64_t left_to_copies = 0;  ///< openings left without an answer until the client's copy
};

struct AgentCounters {
  std::uint64_t delivered = 0;
  std::uint64_t replies = 0;
  std::uint64_t returned = 0;  ///< packets that the target returned
  std::uint64_t passed_on = 0;
  std::uint64_t over_limit = 0;     ///< openings for which the target had no capacity
  std::uint64_t over_cold = 0;      ///< of these, openings above the rate of a cold target
  std::uint64_t wrong_service = 0;  ///< packets for another service than the target's
  std::uint64_t unconfirmed = 0;    ///< packets that awaited a balancer's word on their route
  std::uint64_t none_left = 0;      ///< openings that no agent accepted
  std::uint64_t given_back = 0;     ///< packets returned to their balancer
  std::uint64_t queried = 0;        ///< flows in balancers' queries
  std::uint64_t elsewhere = 0;      ///< packets of flows that may be open at another target
  std::uint64_t refused = 0;        ///< openings that no target accepted, answered by a reset
  std::uint64_t late_heartbeats = 0;
  ShortageCounters shortage;
};

struct Agent {
  AgentPolicy policy;
  admission::CallerShare callers;          ///< recent use of the target by caller
  admission::ActivePriorities priorities;  ///< of recent openings
  admission::Controller admission;
  Address own = 0;
  DomainTag domain = 0;
  base::ServiceId service;
  LocalTarget target;
  std::unordered_map<Address, BalancerHello> balancers;
  std::optional<WantedList> wanted;
  KnownClasses route_classes;                    ///< of the service's routes
  ConfirmedRoutes confirmed_routes;              ///< of the service, beside those
  DrainedDomains drained;                        ///< as told by balancers
  bool drains_told = false;                      ///< `drained` is known, and may be empty
  std::optional<std::uint32_t> cold_per_second;  ///< Hello::cold_per_second, once received
  std::vector<Place> peers;  ///< agents of the service that any balancer considers alive
  std::uint32_t peers_digest = 0;
  base::TimePoint peers_since{};  ///< when `peers` last grew
  base::TimePoint merged_at{};    ///< when `peers` was last computed from the hellos
  bool peers_stale = false;       ///< hellos have changed since
  std::unordered_map<FlowId, FlowState> flows;
  RecentRoutes recent_routes;       ///< of the flows that the target holds or was offered
  bool routes_added = false;        ///< a route was added to `recent_routes`, not yet reported
  bool overflowed = false;          ///< a flow was not tracked because of max_flows
  std::uint32_t at_work = 0;        ///< flows with FlowState::at_work
  std::uint32_t quiet_work = 0;     ///< of these, silent for overtaken_timeout at the last sweep
  base::TimePoint answered{};       ///< arrival of the latest request that was answered
  base::TimePoint trial_at{};       ///< when the last trial opening was admitted
  std::uint32_t ended = 0;          ///< flows in FlowStage::kEnded and kNotHeld
  std::deque<OfferedFlow> offered;  ///< openings that count as load, oldest first
  base::TimePoint started_at{};     ///< of the process
  std::uint64_t start = 0;
  bool had_predecessor = false;  ///< a balancer recently knew another process of this agent
  std::uint64_t reports = 0;
  bool stopping = false;  ///< the process is about to end
  StallWatch stall;
  outlier::Outcomes outcomes;  ///< of the requests at the target
  AgentCounters counters;
};

struct DeliverToTarget {
  bool located = false;  ///< the opening was forwarded by other agents: inform its balancer
};
struct SendToClient {
  /// Service time of the request, if the packet is the first data of its answer.
  std::optional<base::Duration> answered_after;
  /// Origin tag of the balancer to inform that the target holds this flow, which the agent did not
  /// know before.
  std::optional<std::uint16_t> located_for;
};

/// Return the packet to the balancer that sent it, which then searches for the flow's target.
struct ReturnToBalancer {
  bool by_target = false;  ///< true: the target does not hold the flow; false: it may, half open
  bool denied = false;     ///< the target itself has returned a packet of the flow
};

/// Hold the packet until a balancer has answered whether the agent's service may receive packets of
/// its route. The caller passes it to FromPeer again then, or drops it after kMaxRouteWait.
struct AwaitRoute {};

/// Longest time that a packet is held for AwaitRoute. It is below the time after which a client
/// retransmits.
inline constexpr auto kMaxRouteWait = base::milliseconds{150};

using AgentVerdict = std::variant<DeliverToTarget, SendToClient, ForwardToAgent, RefuseOpening,
                                  ReturnToBalancer, AwaitRoute, Discard>;

/// Decides what to do with a packet from a balancer or another agent.
///
/// Safeguard: an address may be reused by another service while a balancer still has the old
/// record. The stamp names the service that the balancer chose by a few bits, which are equal for
/// some pairs of services, so that equal bits prove nothing. The target receives a packet only if a
/// balancer has told that the service has the packet's route, or if it has packets of the flow
/// already.
auto FromPeer(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict;

/// Decides what to do with a packet that the target sent or returned.
auto FromTarget(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict;

/// Answers a balancer's query for flows with those that the target holds or may hold.
auto AnswerQuery(Agent& agent, const FlowQuery& query, base::TimePoint now) -> FlowAnswer;

/// The balancers whose origin tag is `origin`: usually one.
auto BalancersOf(const Agent& agent, std::uint16_t origin) -> std::vector<Address>;

enum class HeartbeatOutcome : std::uint8_t {
  kStale,         ///< not accepted: its sender is probably gone, or the heartbeat was delayed
  kOtherService,  ///< of another service: the address may have been reassigned
  kUnchanged,
  kChanged,  ///< the target's state or incarnation has changed
};

/// Handles a heartbeat of the target. A target may restart under the same id; its sequence then
/// starts anew. Of two incarnations, the one that started later is the current target, whichever is
/// heard first. If the start times do not decide (one is missing, the clock was set back, a
/// sequence ran ahead, or the id has left), the known incarnation stays current. The other one is
/// accepted once it sends a second heartbeat AgentPolicy::confirmation_interval after its first,
/// with no heartbeat of the known one in between.
///
/// Safeguard: delayed heartbeats may arrive together after their sender has crashed. Only a live
/// target sends another one later.
auto TakeHeartbeat(Agent& agent, const Heartbeat& heartbeat, base::TimePoint now)
    -> HeartbeatOutcome;

/// Notes that the agent's record at the platform names the incarnation. `written` says that this
/// process has put it there in place of another value, by a conditional write that succeeded.
///
/// Safeguard: after a restart of its process an agent has to know whether an earlier process has
/// delivered openings to the target, since it knows nothing of those flows. All other processes may
/// have been restarted as well. A new target therefore receives openings only once its record is
/// written, and an agent that finds another incarnation in the record is the target's first.
auto NoteRecorded(Agent& agent, const Incarnation& incarnation, bool written) -> void;

/// Whether the target is new and not recorded, so that it receives no openings yet. Without the
/// platform the wait ends with the target's next heartbeat: a later process of this agent does not
/// take the target for new then.
auto AwaitsRecord(const Agent& agent) -> bool;

/// Handles a leave notice of the target with this id. Returns true if it applies to the current
/// target.
///
/// Safeguard: a leave notice does not name its incarnation. A late notice of an earlier incarnation
/// would cause resets of the live target's flows. Therefore, within AgentPolicy::late_leave_window
/// of a start under a former id, or of the start of this agent (which knows no former ids), the
/// target only stops receiving openings. It is considered gone once its heartbeats stop.
auto TakeLeave(Agent& agent, std::uint64_t id, base::TimePoint now) -> bool;

/// Handles a connection attempt at `attempted_at` that the target's port refused: the process and
/// its flows are gone. Returns true if this changes the target's state. The refusal is ignored if a
/// heartbeat has arrived since, or if the target drains, since it may close its port before its
/// last flow ends. A target that sends heartbeats after a refusal is accepted again, and further
/// refusals are ignored.
auto TakeRefusal(Agent& agent, base::TimePoint attempted_at, base::TimePoint now) -> bool;

/// Handles a balancer's hello. Returns false if it is for an agent of another service.
auto TakeHello(Agent& agent, Address balancer, const Hello& hello, base::TimePoint now) -> bool;

/// Handles a part of the route classes that the agent has requested. Parts of other sets, and of
/// another service, are ignored. Returns true if the known classes have changed.
auto TakeRouteClasses(Agent& agent, const RouteClassesPart& part, base::TimePoint now) -> bool;

/// Returns the question to send now, if FromPeer has found a route that the agent does not know, or
/// whose confirmation is about to expire.
auto TakeRouteQuery(Agent& agent) -> std::optional<RouteQuery>;

/// Returns the question again if it has not been answered in time.
auto RepeatRouteQuery(Agent& agent, const End& route, base::TimePoint now)
    -> std::optional<RouteQuery>;

/// Handles a balancer's answer. Returns false if it is about another service.
auto TakeRouteAnswer(Agent& agent, const RouteAnswer& answer, base::TimePoint now) -> bool;

/// Returns the class of the requests on the route, or RequestClass{} if it is unknown.
auto ClassOf(const Agent& agent, const End& route) -> admission::RequestClass;

/// Number of agents per service that hold a copy of the configuration. Some of them survive the
/// loss of one or two failure domains.
inline constexpr auto kConfigurationCopies = std::size_t{6};

/// Returns whether this agent is one of the kConfigurationCopies agents. Agents with the same peer
/// list select the same ones.
auto HoldsConfigurationCopy(const Agent& agent) -> bool;

/// Returns up to `most` balancers whose hellos are overdue, most recently heard first. They may
/// have restarted and know no agents.
auto SilentBalancers(const Agent& agent, std::size_t most, base::TimePoint now)
    -> std::vector<Address>;

/// Recomputes `peers` from the hellos if these have changed or may have expired. Called at each
/// stall check; until then the agent does not confirm that a flow is lost.
///
/// Safeguard: balancers that start at the same time send many different lists. Merging them at each
/// hello used all processor time of a small instance while clients of lost flows waited for resets.
auto RefreshPeers(Agent& agent, base::TimePoint now) -> void;

/// Switches to another service, whose target now uses the address. All state of the earlier target
/// and of the earlier service's agents is discarded.
///
/// Safeguard: an agent that kept the peers of its earlier service considered itself the only agent
/// of the new service, and reset flows that other targets held.
auto ChangeService(Agent& agent, base::ServiceId service, base::TimePoint now) -> void;

/// Returns the target's current state. A target that has been silent for AgentPolicy::silent_for is
/// unknown. One that has never been heard while the process ran for that long is absent.
///
/// Safeguard: after a power loss some targets do not return, and their agents are stopped one after
/// the other. Treated as targets that may hold flows, they delayed the resets of all lost flows of
/// the service for eight seconds, in which 2,900 requests waited until their clients gave up.
///
/// Safeguard: a target may end without a leave notice, and its address may be reassigned to another
/// service before this process is informed. Openings sent there would run in the wrong service.
/// Packets of its flows do no harm, since a target returns those of flows that it does not hold.
auto StateOf(const Agent& agent, base::TimePoint now) -> TargetState;

/// Whether the agent knows what it has to know before it delivers openings to a target that is
/// ready: that the target is recorded, if it is new, and whether its failure domain is drained.
///
/// Safeguard: an agent learns from hellos alone that its domain is drained. A balancer that reads
/// of a new agent in its record may send it openings before its first hello.
auto IsPrepared(const Agent& agent) -> bool;

/// The target's state as reported to balancers.
auto ReportedState(const Agent& agent, base::TimePoint now) -> TargetState;

/// Whether the target is, or may be, in its slow phase after a start.
auto IsCold(const Agent& agent, base::TimePoint now) -> bool;

/// The next report to a balancer.
auto MakeReport(Agent& agent, Address balancer, base::TimePoint now) -> TargetReport;

/// Whether the target may hold flows of a route that no report has named. Such a report is due to
/// all balancers at once. Returns true once per change.
///
/// Safeguard: a balancer resets a lost flow without asking agents of other services that hold no
/// flows of its route. With a report that is one hello interval old, a flow that was just opened
/// under another configuration would be reset.
auto TakeAddedRoutes(Agent& agent, base::TimePoint now) -> bool;

/// Number of flows that take up the target's capacity, by kind.
struct WorkSummary {
  std::size_t offered = 0;   ///< openings without an answer, or without the client's next packet
  std::size_t assumed = 0;   ///< flows with packets that the target has not reacted to
  std::size_t open = 0;      ///< requests of open flows
  std::size_t repeated = 0;  ///< of all: flows whose opening the process has not seen
};

auto SummarizeWork(const Agent& agent) -> WorkSummary;

/// Drops all flows, since the target no longer holds them.
auto ForgetFlows(Agent& agent) -> void;

/// Handles a restart of the target at `started` or later. Flows whose last packet came before
/// `started` are dropped, since they ended with the earlier incarnation. The others may be held by
/// the new incarnation; they are kept without load until their next packet decides.
///
/// Safeguard: a restarted target accepts openings for up to one heartbeat period before its first
/// heartbeat is received. Without their state, these flows were reported as unknown and reset. The
/// last heartbeat of the earlier incarnation is no usable bound, since heartbeats may arrive late.
auto MarkFlowsUncertain(Agent& agent, base::TimePoint started) -> void;

/// Drops the state of idle flows and of balancers that are gone, and releases abandoned load.
auto DropIdleState(Agent& agent, base::TimePoint now) -> void;

}  // namespace anvildrum::packets
