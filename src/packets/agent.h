#pragma once

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "packets/balancer.h"
#include "packets/cold.h"
#include "packets/control.h"
#include "packets/stall.h"
#include "packets/types/target.h"

/// The agent's part of packet flows, without input or output: it delivers to the target beside it
/// what the target takes, passes openings on, and sends other packets back to their balancer.
namespace anvildrum::packets {

struct AgentPolicy {
  /// Requests at work for each slot, above which a first opening goes to another target. One in
  /// work and one waiting: what comes on top would wait for two others and miss its objective,
  /// which is four to five times the work of one.
  double opening_limit = 2.0;
  /// The same for a copy of an opening. Its client has waited 200 ms at least, so that it is late
  /// already: it takes a free slot, but no place in front of those that can still be in time.
  double copy_limit = 1.0;
  /// Agents that an opening may pass through in search of a free place.
  std::uint8_t opening_hops = 6;
  /// An opening whose client has not gone on for this long counts as no load any more. A client
  /// goes on within its way there and back, some 10 ms, or with another target's answer.
  base::Duration offer_timeout = base::milliseconds{150};
  /// A target that has not been heard of for this long is given no opening: two heartbeats of 750
  /// ms and a half. An address may serve another service two seconds after its target's end.
  base::Duration silent_for = base::milliseconds{1875};
  /// The same for one that has not been heard of since the process runs, where the process ends:
  /// one heartbeat and a half. A target that lives has said one by then, unless it was lost.
  base::Duration never_heard_timeout = base::milliseconds{1125};
  /// Between two heartbeats of an incarnation that is believed only when it goes on: half a period
  /// of 750 ms. Heartbeats that were held up come within some milliseconds of each other.
  base::Duration confirmation_interval = base::milliseconds{375};
  /// A leave that comes this soon after a start may be an earlier start's: calls of a target that
  /// has ended may be that late, after retransmissions and a pause of this process.
  base::Duration late_leave_window = base::seconds{5};
  /// What a balancer said counts for this long: four hellos, or kReportsMissed of its periods where
  /// these are longer.
  base::Duration hello_lifetime = base::seconds{1};
  /// A list that was asked for is asked for again, of the next balancer that names it, after this
  /// long: more than its way, and a moment of a busy balancer.
  base::Duration list_request_timeout = base::milliseconds{100};
  /// A flow is reset only after no agent has become known for this long, in which each balancer has
  /// said hello once: one of them may know an agent that the others do not yet. One that is gone
  /// leaves nothing unknown: while targets were replaced one a second, its leaving kept flows that
  /// a failure domain had lost from being reset for as long again as its successor's coming.
  base::Duration settling_time = base::milliseconds{350};
  /// A target that said that it leaves may still be there for a moment: packets of its flows are
  /// delivered and balancers are not told yet.
  base::Duration leave_grace = base::milliseconds{500};
  /// Flows that are remembered, 150 bytes each. Packets of further ones are carried as of unknown
  /// flows: a flood of made-up flows must not end the process at its limit of memory.
  std::size_t max_flows = 50'000;
  /// The state of a flow that has not opened here is dropped after this long without a packet.
  base::Duration flow_idle = base::seconds{20};
  /// The same for one that has: the age up to which the users keep a flow. An agent that has run
  /// for as long has seen the opening of every flow that its target holds.
  base::Duration flow_age = base::seconds{60};
  /// The same for a flow that its target has ended or does not hold: longer than its client waits
  /// at most before it sends a packet again, 1.6 s.
  base::Duration ended_idle = base::seconds{2};
  /// Between two heartbeats of the target, about.
  base::Duration heartbeat_every = base::milliseconds{750};
  /// A packet that the target has not reacted to for this long is no work: the target holds its
  /// flow half open, or what it gave back was lost.
  base::Duration reaction_timeout = base::seconds{1};
  /// A request that has had no packet for this long is no work any more where the target has
  /// answered another one that came as much later: its client has left before all of it came.
  base::Duration overtaken_timeout = base::seconds{1};
  /// Where requests without a packet for that long take up all places, an opening is let in this
  /// often: its answer shows that the target works, and lets the others go.
  base::Duration trial_interval = base::seconds{1};
  /// A balancer that has not said hello for this long is not told of changes any more. Until then
  /// it is told of this agent now and then: it may have been started again, and know nobody.
  base::Duration balancer_timeout = base::seconds{10};
};

/// Where the target stands with a flow, as far as its packets have told.
enum class FlowStage : std::uint8_t {
  kOffered,        ///< the opening was delivered
  kAssumed,        ///< packets were delivered, the target has not reacted to any yet
  kAnswered,       ///< the target answered the opening; the client has not gone on yet
  kOpen,           ///< the target takes its packets
  kOpenElsewhere,  ///< the client went on with another target
  kEnded,          ///< the target has sent its last data
  kNotHeld,        ///< the target gave a packet of it back
};

/// A flow that was offered to the target, and the load that it puts on it.
struct FlowState {
  FlowStage stage = FlowStage::kOffered;
  bool at_work = false;          ///< an opening or a request without the target's data after it
  std::uint32_t unanswered = 0;  ///< packets delivered while the stage was kAssumed
  std::uint16_t origin = 0;      ///< Stamp::origin of the last packet
  std::uint32_t target_sequence = 0;  ///< of its answer to the opening
  /// End of the client's data that was delivered so far.
  std::optional<std::uint32_t> request_end{};
  base::TimePoint seen{};
  base::TimePoint asked_at{};  ///< the request at work: its last packet; the epoch: none
};

/// An opening that was delivered.
struct OfferedFlow {
  FlowId flow;
  base::TimePoint at{};
};

/// A list of agents; most balancers tell the same one, and it is kept once.
using PeerList = std::shared_ptr<const std::vector<Place>>;

/// What a balancer last said.
struct BalancerHello {
  base::TimePoint at{};
  base::Duration every{};                    ///< until its next hello
  Hello said;                                ///< without the list
  PeerList peers;                            ///< nothing before the first list is known
  std::uint32_t digest = 0;                  ///< of `peers`; 0: the balancer has others by now
  std::uint32_t gathered_digest = 0;         ///< of a list of which parts have come
  std::vector<std::vector<Place>> gathered;  ///< by part; empty: it has not come yet
};

/// A list that was named by its digest and asked for.
struct WantedList {
  std::uint32_t digest = 0;
  Address balancer = 0;  ///< the one that was asked
  base::TimePoint at{};
};

/// Former incarnations that an agent remembers: those whose heartbeats may still come late.
inline constexpr auto kMaxRetired = std::size_t{64};

/// A heartbeat that was not believed when it came.
struct DoubtfulHeartbeat {
  Incarnation incarnation;
  std::uint64_t sequence = 0;
  base::TimePoint heard{};
};

/// The target beside the agent, by its heartbeats.
struct LocalTarget {
  TargetState state = TargetState::kUnknown;  ///< as it was said last; StateOf counts silence too
  Heartbeat last;
  base::TimePoint heard{};    ///< when the last heartbeat came
  base::TimePoint left_at{};  ///< when it said that it leaves
  /// Incarnations that have left or were replaced, kMaxRetired of them; without a start: any of
  /// the id.
  std::deque<Incarnation> retired;
  std::optional<DoubtfulHeartbeat> doubtful;
  base::TimePoint restarted_at{};  ///< when a start was believed whose id an earlier one had
  bool leave_doubtful = false;     ///< the leave that was told may be an earlier start's
  bool seen_from_start = false;    ///< no other process has given this incarnation an opening
  /// The same, unless another process of the agent ran a moment before this one.
  bool seen_from_first_heartbeat = false;
  /// Its failure domain has just been taken back: it may have become cold, which its next heartbeat
  /// tells.
  bool cold_doubtful = false;
  ColdAllowance cold_allowance;  ///< what it was given while it was cold
  bool refused = false;          ///< its port refused a connection, and it was taken for gone
  bool ignore_refusals = false;  ///< it went on after that: its port tells nothing
};

struct AgentCounters {
  std::uint64_t delivered = 0;
  std::uint64_t replies = 0;
  std::uint64_t returned = 0;  ///< packets that the target gave back
  std::uint64_t passed_on = 0;
  std::uint64_t over_limit = 0;     ///< openings for which the target had no place
  std::uint64_t over_cold = 0;      ///< those of them that a cold target would not have borne
  std::uint64_t wrong_service = 0;  ///< packets for another service than the target's
  std::uint64_t none_left = 0;      ///< openings that no agent took
  std::uint64_t given_back = 0;     ///< packets sent back to their balancer
  std::uint64_t queried = 0;        ///< flows that balancers asked for
  std::uint64_t elsewhere = 0;      ///< packets of flows that opened at another target
  std::uint64_t refused = 0;        ///< openings that no target took, answered by a reset
  std::uint64_t late_heartbeats = 0;
};

struct Agent {
  AgentPolicy policy;
  Address own = 0;
  DomainTag domain = 0;
  base::ServiceId service;
  LocalTarget target;
  std::unordered_map<Address, BalancerHello> balancers;
  std::optional<WantedList> wanted;
  DrainedDomains drained;                        ///< as balancers have told
  std::optional<std::uint32_t> cold_per_second;  ///< Hello::cold_per_second; nothing: not told yet
  std::vector<Place> peers;  ///< agents of the service that any of them holds for alive
  std::uint32_t peers_digest = 0;
  base::TimePoint peers_since{};  ///< when `peers` last grew
  base::TimePoint merged_at{};    ///< when `peers` was last worked out from the hellos
  bool peers_stale = false;       ///< hellos have changed since
  std::unordered_map<FlowId, FlowState> flows;
  bool overflowed = false;    ///< a flow of this target was not remembered for want of room
  std::uint32_t at_work = 0;  ///< flows whose state says so
  std::uint32_t quiet_work =
      0;                       ///< those without a packet for overtaken_timeout, at the last sweep
  base::TimePoint answered{};  ///< when the latest request that was answered had come
  base::TimePoint trial_at{};  ///< the last opening that was let in beside quiet work
  std::uint32_t ended = 0;     ///< flows in FlowStage::kEnded and kNotHeld
  std::deque<OfferedFlow> offered;  ///< openings that count as load, oldest first
  base::TimePoint started_at{};     ///< of the process
  std::uint64_t start = 0;
  bool had_predecessor = false;  ///< a balancer knew another process of this agent, a moment ago
  std::uint64_t reports = 0;
  bool stopping = false;  ///< the process ends in a moment
  StallWatch stall;
  AgentCounters counters;
};

struct DeliverToTarget {
  bool located = false;  ///< an opening that came by way of others: tell its balancer
};
struct SendToClient {
  /// How long the target worked on the request that this is the first data of an answer to.
  std::optional<base::Duration> answered_after;
  /// The target has shown that it holds a flow which the agent did not know: tell this balancer.
  std::optional<std::uint16_t> located_for;
};

/// Send the packet back to the balancer that it came from, which searches for its flow.
struct ReturnToBalancer {
  bool by_target = false;  ///< the target does not hold the flow; otherwise it may, half open
};

using AgentVerdict = std::variant<DeliverToTarget, SendToClient, ForwardToAgent, RefuseOpening,
                                  ReturnToBalancer, Discard>;

/// Decides on a packet that a balancer or another agent sent.
auto FromPeer(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict;

/// Decides on a packet that the target sent or gave back.
auto FromTarget(Agent& agent, const Packet& packet, base::TimePoint now) -> AgentVerdict;

/// What the agent knows of the flows that a balancer searches for.
auto AnswerQuery(Agent& agent, const FlowQuery& query, base::TimePoint now) -> FlowAnswer;

/// The balancers that a stamp's origin stands for: mostly one.
auto BalancersOf(const Agent& agent, std::uint16_t origin) -> std::vector<Address>;

enum class HeartbeatOutcome : std::uint8_t {
  kStale,         ///< not believed: by all that is known its sender is gone, or said it earlier
  kOtherService,  ///< of an unknown incarnation: the address may have changed hands
  kUnchanged,
  kChanged,  ///< the target's state is another one now
};

/// Takes a heartbeat of the target. A target starts again, perhaps under the id that it had, and
/// its sequence starts anew. Of two incarnations the one that started later is the target,
/// whichever is heard first. Where their starts cannot tell (one tells none, the clock was set
/// back, a sequence ran ahead, an id has left), the one that is known stays, and the other is
/// believed once it goes on: a second heartbeat AgentPolicy::confirmation_interval after its first,
/// with nothing of the known one in between.
///
/// Safeguard: heartbeats that were held up come together, after their sender has crashed; only a
/// target that lives says another one later.
auto TakeHeartbeat(Agent& agent, const Heartbeat& heartbeat, base::TimePoint now)
    -> HeartbeatOutcome;

/// The target with this id says that it leaves for good. True where it is the current one.
///
/// Safeguard: a leave does not tell which start said it. One of an earlier start that comes late
/// would have flows of the live target reset. Within AgentPolicy::late_leave_window of a start
/// under a former id, or of the agent's own (which knows of no former one), the target is given no
/// opening any more, and has left once it falls silent.
auto TakeLeave(Agent& agent, std::uint64_t id, base::TimePoint now) -> bool;

/// The target's port refused a connection that was begun at `attempted_at`: its process has ended,
/// and its flows with it. True where that is news. Not believed of a target that has been heard of
/// since, or that drains, which may close its port before its last flow. A target that was taken
/// for gone is believed again once it goes on, and its port is not believed any more.
auto TakeRefusal(Agent& agent, base::TimePoint attempted_at, base::TimePoint now) -> bool;

/// Takes a balancer's hello. False for one that is meant for an agent of another service.
auto TakeHello(Agent& agent, Address balancer, const Hello& hello, base::TimePoint now) -> bool;

/// Agents of a service that keep a copy of the configuration: enough that some are there after a
/// failure domain or two have gone.
inline constexpr auto kConfigurationCopies = std::size_t{6};

/// Whether this agent is one of them, by its peers; the same ones on all agents that know the same.
auto HoldsConfigurationCopy(const Agent& agent) -> bool;

/// Balancers that have been silent for longer than their hellos take, at most `most` of them, those
/// first that were heard last: they may have been started again and know nobody.
auto SilentBalancers(const Agent& agent, std::size_t most, base::TimePoint now)
    -> std::vector<Address>;

/// Works `peers` out from the hellos, where these have changed or have lapsed. Called at each check
/// of stalls; until then the agent proves nothing.
///
/// Safeguard: balancers that start at once tell as many lists that differ. Worked out at each of
/// their hellos, the union took all of a small instance while clients of lost flows waited for
/// resets.
auto RefreshPeers(Agent& agent, base::TimePoint now) -> void;

/// The address is used by a target of another service from now on. Nothing that was known of the
/// earlier one and its agents holds any more.
///
/// Safeguard: an agent that went on with the agents of its earlier service took itself for the only
/// one of the new service, and reset flows that others held.
auto ChangeService(Agent& agent, base::ServiceId service, base::TimePoint now) -> void;

/// Where the target stands now: one that has been silent for AgentPolicy::silent_for is unknown;
/// one that has not been heard of at all for as long, in which the process ran, is not there.
///
/// Safeguard: after a loss of power some targets do not come back, and their agents are stopped one
/// after the other. Counted as targets that may hold flows, they kept all lost flows of the service
/// from being reset for eight seconds, in which 2,900 requests waited until their clients gave up.
///
/// Safeguard: a target ends without a word, and its address is given to one of another service
/// before this process is told. Openings that still go there are run by a service that they were
/// not meant for. Its flows' packets do no harm: a target gives back those of flows it doesn't
/// hold.
auto StateOf(const Agent& agent, base::TimePoint now) -> TargetState;

/// Whether the target is slow after its start, or may be.
auto IsCold(const Agent& agent, base::TimePoint now) -> bool;

/// The next report to a balancer.
auto MakeReport(Agent& agent, Address balancer, base::TimePoint now) -> TargetReport;

/// What takes up the places at the target, by flows.
struct WorkSummary {
  std::size_t offered = 0;   ///< openings that the target has not answered, or its client not
  std::size_t assumed = 0;   ///< packets of flows that the target has not reacted to
  std::size_t open = 0;      ///< requests of open flows
  std::size_t repeated = 0;  ///< of all: of flows that the process has not seen the opening of
};

auto SummarizeWork(const Agent& agent) -> WorkSummary;

/// Drops all flows: they are not those of the target any more.
auto ForgetFlows(Agent& agent) -> void;

/// The target has started anew, at `started` at the earliest. Flows whose last packet came before
/// are gone with its earlier start; those with a later one may be held by the new start, and are
/// kept without load until their next packet tells.
///
/// Safeguard: a target crashes and starts again, and takes openings for up to a period of
/// heartbeats before its first one is heard. Forgotten, these flows were said to be nowhere, and
/// reset. When the earlier start was heard of last tells nothing, since its heartbeats come late.
auto MarkFlowsUncertain(Agent& agent, base::TimePoint started) -> void;

/// Drops the state of flows that have been quiet, and balancers that are gone.
auto DropIdleState(Agent& agent, base::TimePoint now) -> void;

}  // namespace anvildrum::packets
