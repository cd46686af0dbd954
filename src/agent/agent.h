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

/// The process beside a target: joins the flow directory (who serves which flow), the request core
/// (what may run) and the observation of peers. No input or output.
namespace anvildrum::agent {

/// Life cycle; the transitions are in internal/life_cycle.cc.
enum class Phase : std::uint8_t {
  kStarting,  ///< its own record has not come back from the platform yet
  kServing,
  kDraining,  ///< no new flows; established ones go on
  kDrained,   ///< nothing is left, or the time allowed for it has passed
};

struct AgentCounters {
  std::uint64_t tunnel_packets = 0;
  std::uint64_t replies = 0;
  std::uint64_t replies_dropped = 0;  ///< no balancer to send through, or not the owner
  std::uint64_t malformed = 0;        ///< tunnel messages that were sealed right but make no sense
  std::uint64_t probes_sent = 0;
  std::uint64_t probes_answered = 0;
  std::uint64_t suspicions = 0;
  std::uint64_t hand_ons_sent = 0;
  std::uint64_t hand_ons_taken = 0;
  std::uint64_t hand_ons_without_target = 0;
  std::uint64_t stale_config = 0;
  std::uint64_t moved_address = 0;  ///< packets for an address that is not the service's any more
  std::uint64_t target_losses = 0;  ///< times that nothing listened at the target any more
  std::uint64_t adopted = 0;        ///< flows that may have been served by a lost target
  std::uint64_t shed_offered = 0;   ///< flows offered elsewhere because the target refused
  std::uint64_t copies_sent = 0;    ///< of a flow's observations to its stand-by
  std::uint64_t copy_bytes = 0;     ///< of batches of copies, with headers, repetitions and all
  std::uint64_t copies_too_large = 0;
  std::uint64_t streams_resumed = 0;      ///< observations of lost targets that went on here
  std::uint64_t streams_not_resumed = 0;  ///< their clients were told 5.03
  std::array<std::uint64_t, static_cast<std::size_t>(requests::Counter::kCount)> requests{};
};

/// A sampled flow's trace, so that the spans of its requests hang under the tunnel's.
struct FlowTrace {
  std::uint64_t trace_id = 0;
  std::uint64_t span_id = 0;
};

/// Whether the target beside the agent is there, by pings of the agent's own (RFC 7252, 4.3).
struct TargetWatch {
  base::TimePoint next_ping{};
  std::uint32_t unanswered = 0;  ///< pings in a row
  bool refused = false;          ///< nothing listens
};

/// A flow whose request the target refused; it is to move while `until` has not passed.
struct ShedFlow {
  base::FlowKey flow;
  base::TimePoint until{};
};

/// A target of the service that was lost without a drain: what it ran, nobody else knows.
struct LostTarget {
  steering::Candidate candidate;
  base::TimePoint until{};
};

/// What a flow's stand-by has been sent.
struct CopiedFlow {
  steering::TargetRef keeper;
  std::uint64_t version = 0;  ///< requests::StreamsVersion
  base::TimePoint sent{};
};

/// Copies on their way to one stand-by: one batch at a time, in order.
struct CopyStream {
  steering::TargetRef keeper;
  std::uint64_t sequence = 0;
  std::deque<base::FlowKey> queue;
  std::unordered_map<base::FlowKey, bool> queued;  ///< of `queue`; true: it may have a copy
  std::optional<wire::pb::TunnelHeader> batch;     ///< not acknowledged yet
  base::TimePoint next_send{};
  base::Duration retry{};
};

/// The owner's end of the stand-by copies.
struct Copies {
  std::unordered_map<base::FlowKey, CopiedFlow> flows;
  std::list<CopyStream> streams;  ///< references last while others are added
  base::TimePoint next_scan{};
  double bytes_left = 0;  ///< of the budget; may go below zero by one batch
  base::TimePoint refilled_at{};
};

/// A balancer's last sign that replies may leave by it: its probe, or its answer to this agent's.
struct BalancerLiveness {
  base::InstanceId instance;
  base::Incarnation incarnation = 0;
  base::Endpoint tunnel;
  base::TimePoint heard{};
  base::TimePoint probed{};  ///< its last probe; zero: none
  base::Duration period{};   ///< longest time between its last probes; zero: not known yet
};

/// What is known of the balancers that replies may leave by, and the question under way to one
/// that gave no sign of its own accord.
struct ReplyLiveness {
  std::vector<BalancerLiveness> signs;
  std::uint64_t sequence = 0;  ///< of the last question
  std::uint64_t turn = 0;
  base::TimePoint next_probe{};
};

struct Agent {
  AgentPolicy policy;
  membership::TargetRecord record;  ///< as announced
  Phase phase = Phase::kStarting;
  std::uint64_t config_number = 0;
  std::vector<base::Endpoint> addresses;  ///< the service's, by the configuration in force
  std::vector<membership::NamedWeight> weights;
  membership::View view;
  steering::Directory directory;
  requests::StatePtr requests;
  membership::Suspicion suspicion;
  std::vector<membership::BalancerRecord> reply_balancers;
  ReplyLiveness reply_liveness;
  std::uint64_t reply_rotation = 0;  ///< of replies to flows that are not owned any more
  std::optional<base::TimePoint> request_timer;
  base::TimePoint next_load{};
  std::uint64_t admitted_before = 0;
  std::uint64_t refused_before = 0;
  double refused_permille = 0;
  base::TimePoint drain_started{};
  std::optional<base::TimePoint> shutdown_at;  ///< end of a drain whose time is up
  TargetWatch target;
  bool predecessor_lost = false;  ///< not yet noted in `lost`
  /// It serves under the record of its earlier process, see RestartOf, and tells the others.
  bool provisional = false;
  std::size_t next_notified = 0;
  base::TimePoint next_notice{};
  /// Flows that ended here and whose last answers are still to be sent, with the time until when.
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
  /// From a cryptographic generator; see requests::EchoSecret.
  auto WithEchoSecret(const requests::EchoSecret& secret) -> AgentBuilder&;
  auto WithSeed(std::uint64_t seed) -> AgentBuilder&;
  /// An earlier incarnation of this agent ended without a drain.
  auto WithPredecessorLost(bool lost) -> AgentBuilder&;
  /// The platform has not taken the record yet, which comes from RestartOf.
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

/// The record under which an agent may serve while it can't reach the platform: that of its earlier
/// process, as its peers have it in force, under a higher incarnation. Nothing when there is none,
/// or when this process is another one than it names (service, address, failure domain). `start` is
/// the process' own start number; the announcer draws the same incarnation.
auto RestartOf(const membership::TargetRecord& in_force, const membership::TargetRecord& own,
               base::Incarnation start) -> std::optional<membership::TargetRecord>;

/// A datagram of the tunnel. The views are used during the call only.
struct TunnelMessage {
  base::Endpoint from;
  const wire::pb::TunnelHeader* header = nullptr;
  wire::BytesView payload;
};
/// What the target sent on the flow's socket.
struct TargetDatagram {
  base::FlowKey flow;
  wire::BytesView payload;
};
/// Nothing listens at the target.
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
/// Lower numbers than the one in force are ignored and counted.
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
/// On the flow's socket, opened at its first use.
struct SendTarget {
  base::FlowKey flow;
  wire::Bytes payload;
};
struct CloseTarget {
  base::FlowKey flow;
};
/// Announce the record with `draining` set, by conditional update.
struct AnnounceDraining {};
/// Nothing is left: take the announcement away and end.
struct Drained {};
/// The target has answered a request; `taken` is counted from when it was sent there.
struct RequestAnswered {
  base::Duration taken{};
};
/// A hop that a sampled packet has passed here; it ends now.
enum class Hop : std::uint8_t {
  kTunnel,      ///< out of the tunnel at this agent
  kHomeLookup,  ///< until its owner was found, or the flow opened, here
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

/// The agent's one entry.
auto Step(Agent& agent, const Event& event, base::TimePoint now) -> Effects;

/// When Step wants its next Timer at the latest.
auto NextWakeUp(const Agent& agent, base::TimePoint now) -> base::TimePoint;

}  // namespace anvildrum::agent
