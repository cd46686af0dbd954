#pragma once

#include <cstdint>
#include <deque>
#include <list>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "agent/types/agent_policy.h"
#include "config/types/configuration.h"
#include "membership/suspicion.h"
#include "membership/view.h"
#include "requests/requests.h"
#include "steering/directory.h"
#include "wire/datagram.h"

/// The agent process beside a target. It connects the flow directory (which target serves a flow),
/// the request core (which requests may run) and the observation of peers. It does no input or
/// output itself.
namespace anvildrum::agent {

/// The agent's life cycle; internal/life_cycle.cc has the transitions.
enum class Phase : std::uint8_t {
  kStarting,  ///< its own record has not been read back from the platform yet
  kServing,
  kDraining,  ///< no new flows; established flows continue
  kDrained,   ///< no flow is left, or the time limit has passed
};

struct AgentCounters {
  std::uint64_t tunnel_packets = 0;
  std::uint64_t replies = 0;
  std::uint64_t replies_dropped = 0;  ///< no route to a balancer, or not the owner
  std::uint64_t malformed = 0;        ///< authentic tunnel messages with invalid content
  std::uint64_t probes_sent = 0;
  std::uint64_t probes_answered = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t hand_ons_sent = 0;
  std::uint64_t hand_ons_taken = 0;
  std::uint64_t hand_ons_without_target = 0;
  std::uint64_t stale_config = 0;
  std::uint64_t moved_address = 0;  ///< packets for a former address of the service
  std::uint64_t target_losses = 0;  ///< times that the target stopped listening
  std::uint64_t adopted = 0;        ///< flows that may have been served by a lost target
  std::uint64_t shed_offered = 0;   ///< flows offered elsewhere because the target refused
  std::uint64_t copies_sent = 0;    ///< copies of a flow's observations for its stand-by
  std::uint64_t copy_bytes = 0;     ///< of batches of copies, including headers and repetitions
  std::uint64_t copies_too_large = 0;
  std::uint64_t streams_resumed = 0;      ///< observations of lost targets that continued here
  std::uint64_t streams_not_resumed = 0;  ///< their clients received 5.03
  std::array<std::uint64_t, static_cast<std::size_t>(requests::Counter::kCount)> requests{};
};

/// The trace of a sampled flow. The spans of its requests are children of the tunnel's span.
struct FlowTrace {
  std::uint64_t trace_id = 0;
  std::uint64_t span_id = 0;
};

/// Observes the target beside the agent by the agent's own pings (RFC 7252, 4.3).
struct TargetWatch {
  base::TimePoint next_ping{};
  std::uint32_t unanswered = 0;  ///< consecutive unanswered pings
  bool refused = false;          ///< nothing listens at the target's port
};

/// A flow whose request the target refused. It is offered to another target until `until`.
struct ShedFlow {
  base::FlowKey flow;
  base::TimePoint until{};
};

/// A target of the service that was lost without a drain. Nobody knows which requests it ran.
struct LostTarget {
  steering::Candidate candidate;
  base::TimePoint until{};
};

/// The last copy that a flow's stand-by was sent.
struct CopiedFlow {
  steering::TargetRef keeper;
  std::uint64_t version = 0;  ///< requests::StreamsVersion
  base::TimePoint sent{};
};

/// Copies for one stand-by, sent in order and in one batch at a time.
struct CopyStream {
  steering::TargetRef keeper;
  std::uint64_t sequence = 0;
  std::deque<base::FlowKey> queue;
  /// Flows in `queue`; true: the stand-by may have a copy.
  std::unordered_map<base::FlowKey, bool> queued;
  std::optional<wire::pb::TunnelHeader> batch;  ///< not acknowledged yet
  base::TimePoint next_send{};
  base::Duration retry{};
};

/// The owner's side of the stand-by copies.
struct Copies {
  std::unordered_map<base::FlowKey, CopiedFlow> flows;
  std::list<CopyStream> streams;  ///< a list, so that references stay valid when others are added
  base::TimePoint next_scan{};
  double bytes_left = 0;  ///< of the budget; negative by one batch at most
  base::TimePoint refilled_at{};
};

/// When a balancer was last known to be able to carry replies: it probed this agent or answered a
/// probe.
struct BalancerLiveness {
  base::InstanceId instance;
  base::Incarnation incarnation = 0;
  base::Endpoint tunnel;
  base::TimePoint last_heard{};
  base::TimePoint last_probe{};     ///< zero: none
  base::Duration probe_interval{};  ///< longest recent interval between its probes; zero: unknown
};

/// The liveness of the balancers that can carry replies, and the outstanding probe of a balancer
/// that does not probe this agent.
struct ReplyLiveness {
  std::vector<BalancerLiveness> entries;
  std::uint64_t sequence = 0;  ///< of the last probe
  std::uint64_t turn = 0;
  base::TimePoint next_probe{};
};

struct Agent {
  AgentPolicy policy;
  membership::TargetRecord record;  ///< as announced
  Phase phase = Phase::kStarting;
  std::uint64_t config_number = 0;
  std::vector<base::Endpoint> addresses;  ///< of the service, in the configuration in force
  std::vector<membership::NamedWeight> weights;
  membership::View view;
  steering::Directory directory;
  requests::StatePtr requests;
  membership::Suspicion suspicion;
  std::vector<membership::BalancerRecord> reply_balancers;
  ReplyLiveness reply_liveness;
  std::uint64_t reply_rotation = 0;  ///< for replies of flows that are no longer owned
  std::optional<base::TimePoint> request_timer;
  base::TimePoint next_load{};
  std::uint64_t admitted_before = 0;
  std::uint64_t refused_before = 0;
  double refused_permille = 0;
  base::TimePoint drain_started{};
  std::optional<base::TimePoint> shutdown_at;  ///< when the agent ends after the drain's time limit
  TargetWatch target;
  bool predecessor_lost = false;  ///< an earlier incarnation was lost and is not in `lost` yet
  /// The agent serves under the record of its earlier process and notifies others of the restart;
  /// see RestartOf.
  bool provisional = false;
  std::size_t next_notified = 0;
  base::TimePoint next_notice{};
  /// Flows that ended here, with the time until which their last answers are still sent.
  std::unordered_map<base::FlowKey, base::TimePoint> ended_flows;
  std::vector<LostTarget> lost;
  /// Flows of this home whose owner was lost.
  std::unordered_map<base::FlowKey, base::TimePoint> lost_flows;
  base::TimePoint next_offers{};
  std::vector<ShedFlow> shed;  ///< bounded
  steering::TokenBucket shed_moves;
  Copies copies;
  std::unordered_map<base::FlowKey, FlowTrace> traces;      ///< bounded, sampled flows only
  std::unordered_map<std::uint64_t, base::TimePoint> sent;  ///< requests at the target, bounded
  AgentCounters counters;
};

class AgentBuilder {
 public:
  auto WithPolicy(const AgentPolicy& policy) -> AgentBuilder&;
  auto WithRecord(const membership::TargetRecord& record) -> AgentBuilder&;
  /// The secret has to come from a cryptographic generator; see requests::EchoSecret.
  auto WithEchoSecret(const requests::EchoSecret& secret) -> AgentBuilder&;
  auto WithSeed(std::uint64_t seed) -> AgentBuilder&;
  /// An earlier incarnation of this agent ended without a drain.
  auto WithPredecessorLost(bool lost) -> AgentBuilder&;
  /// The platform has not accepted the record yet. The record comes from RestartOf.
  auto WithProvisional(bool provisional) -> AgentBuilder&;
  auto Build() const -> Agent;

 private:
  AgentPolicy policy;
  membership::TargetRecord record;
  requests::EchoSecret secret{};
  std::uint64_t seed = 1;
  bool predecessor_lost = false;
  bool provisional = false;
};

/// Returns the record under which an agent may serve while it cannot reach the platform: the record
/// of its earlier process, as its peers have it in force, with a higher incarnation. Returns
/// nothing if there is none or if it describes another process (service, address, failure domain).
/// `start` is the process's own start number; the announcer uses the same incarnation.
auto RestartOf(const membership::TargetRecord& in_force, const membership::TargetRecord& own,
               base::Incarnation start) -> std::optional<membership::TargetRecord>;

/// A tunnel datagram. The views are used during the call only.
struct TunnelMessage {
  base::Endpoint from;
  const wire::pb::TunnelHeader* header = nullptr;
  wire::BytesView payload;
};
/// A datagram that the target sent on the flow's socket.
struct TargetDatagram {
  base::FlowKey flow;
  wire::BytesView payload;
};
/// Nothing listens at the target's port.
struct TargetUnreachable {
  base::FlowKey flow;
};
struct TargetRecordChanged {
  membership::TargetRecord record;
};
struct TargetRecordRemoved {
  base::TargetId id;
  base::Incarnation incarnation = 0;
  std::uint64_t revision = 0;
};
struct BalancerRecordChanged {
  membership::BalancerRecord record;
};
struct BalancerRecordRemoved {
  base::InstanceId instance;
  base::Incarnation incarnation = 0;
};
/// Numbers lower than the one in force are ignored and counted.
struct ConfigChanged {
  const config::Configuration* configuration = nullptr;
};
struct Timer {};
struct DrainRequested {};

using Event = std::variant<TunnelMessage, TargetDatagram, TargetUnreachable, TargetRecordChanged,
                           TargetRecordRemoved, BalancerRecordChanged, BalancerRecordRemoved,
                           ConfigChanged, Timer, DrainRequested>;

struct SendTunnel {
  base::Endpoint to;
  wire::pb::TunnelHeader header;
  wire::Bytes payload;
};
/// Sent on the flow's socket, which is opened at its first use.
struct SendTarget {
  base::FlowKey flow;
  wire::Bytes payload;
};
struct CloseTarget {
  base::FlowKey flow;
};
/// Announces the record with `draining` set, by a conditional update.
struct AnnounceDraining {};
/// No flow is left: removes the record and ends the process.
struct Drained {};
/// The target has answered a request. `taken`: time since the request was sent to it.
struct RequestAnswered {
  base::Duration taken{};
};
/// A hop of a sampled packet at this agent, which ends now.
enum class Hop : std::uint8_t {
  kTunnel,      ///< receipt from the tunnel at this agent
  kHomeLookup,  ///< until the owner was found or the flow opened here
};
struct HopPassed {
  Hop hop = Hop::kTunnel;
  std::uint64_t trace_id = 0;
  std::uint64_t parent_span_id = 0;
  base::TimePoint started{};
};
struct SpanMark {
  std::uint64_t trace_id = 0;
  std::uint64_t parent_span_id = 0;
  std::uint64_t request = 0;
  requests::Mark mark = requests::Mark::kQueued;
};

using Effect = std::variant<SendTunnel, SendTarget, CloseTarget, AnnounceDraining, Drained,
                            RequestAnswered, HopPassed, SpanMark>;
using Effects = std::vector<Effect>;

/// Applies an event and returns its effects.
auto Step(Agent& agent, const Event& event, base::TimePoint now) -> Effects;

/// Returns the latest time for the next Timer event.
auto NextWakeUp(const Agent& agent, base::TimePoint now) -> base::TimePoint;

}  // namespace anvildrum::agent
