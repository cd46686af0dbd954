#pragma once

#include <cstdint>
#include <optional>
#include <unordered_map>
#include <variant>
#include <vector>

#include "membership/view.h"
#include "steering/rendezvous.h"
#include "steering/types/directory_types.h"

namespace anvildrum::steering {

/// An agent's knowledge of the flows of its service: the flows that it serves, and the flows that
/// others serve although this agent is or was their home.
///
/// The following rules keep a flow at a single owner:
/// 1. A home opens a flow without a query only while every peer that it does not suspect has
///    registered its flows under the same view (digest). Such a peer has no flow of this home that
///    the home does not know.
/// 2. Otherwise an agent queries all peers before it opens a flow, and opens it only when each has
///    answered or is suspect. A peer that answers "not mine" defers to the sender of the query from
///    then on. If two agents query at the same time, the lower target id takes precedence.
/// 3. A target opens a flow for another agent only if that agent is the flow's home in the target's
///    own view. Otherwise it queries as in rule 2.
/// 4. An owner hands a flow over only when the flow's home knows it as the owner, and stops serving
///    the flow before it offers it. Until the new owner is registered with the home, the old owner
///    forwards packets and names the new owner in answers to queries. See docs/design/handover.md.
/// 5. A flow's stand-by takes the flow over only when it does not reach the owner and has queried
///    all peers as in rule 2. At least one peer must have answered, or the owner's process must be
///    gone from the view. See docs/design/standby.md.
///
/// Only a partitioned network can give a flow two owners, one on each side. When the sides are
/// connected again, the home keeps the owner that received a client packet last. If both received
/// one at about the same time, it keeps the one that opened the flow first, else the one with the
/// lower id. The other owner drops its state and forwards packets.
struct Directory {
  DirectoryPolicy policy;
  TargetRef self;
  base::ServiceId service;
  base::InstanceId instance;
  Random random;

  // From the view.
  bool in_view = false;
  bool draining = false;
  std::uint64_t digest = 0;
  std::vector<PeerTarget> peers;  ///< sorted by target, without this agent
  CandidateSet candidates;
  std::uint32_t self_index = kNone;  ///< in candidates
  std::vector<membership::BalancerRecord> balancers;

  std::unordered_map<base::FlowKey, OwnedFlow> owned;
  std::unordered_map<base::FlowKey, KnownOwner> known;
  std::unordered_map<base::FlowKey, PendingFlow> pending;
  std::unordered_map<base::FlowKey, OutgoingHandOver> outgoing;
  std::unordered_map<base::FlowKey, IncomingHandOver> incoming;
  std::unordered_map<base::FlowKey, StandByCopy> copies;
  std::vector<CopiedOwner> copied_owners;  ///< of `copies`
  std::size_t copied_bytes = 0;            ///< of `copies`
  std::vector<RegisterStream> streams;     ///< sorted by home's target
  std::vector<PendingYield> yields;
  std::vector<TargetLoad> load_scratch;
  bool streams_due = false;  ///< a stream may have a batch to send
  std::uint32_t drain_notices_left = 0;
  base::TimePoint next_drain_notice{};

  TargetLoad load;                       ///< of this target
  std::uint64_t placed_as_home = 0;      ///< flows placed by this agent, here or elsewhere
  std::uint64_t reported_own_flows = 0;  ///< as last reported without a probe
  base::TimePoint next_load_report{};
  TokenBucket openings;
  TokenBucket hints;
  std::uint64_t sequence = 0;
  std::uint64_t stamp = 0;
  base::TimePoint last_step{};
  base::TimePoint next_resettle{};
  base::TimePoint next_sweep{};
  /// Set after a pause of the process until all peers have settled again. Meanwhile nothing is
  /// delivered, sent to clients or opened.
  bool fenced = false;
  DirectoryCounters counters;
};

class DirectoryBuilder {
 public:
  auto WithTarget(const membership::TargetRecord& record) -> DirectoryBuilder&;
  auto WithPolicy(const DirectoryPolicy& policy) -> DirectoryBuilder&;
  auto WithSeed(std::uint32_t seed) -> DirectoryBuilder&;
  auto Build() const -> Directory;

 private:
  membership::TargetRecord record;
  DirectoryPolicy policy;
  std::uint32_t seed = 1;
};

/// A tunnel datagram for the directory: Packet, OwnerQuery, OwnerAnswer, Register, RegisterAck,
/// Yield, YieldAck, HandOverAck, Resettle or StandBy. Others are ignored. The views are used during
/// the call only.
struct TunnelArrived {
  base::Endpoint from;
  const wire::pb::TunnelHeader* header = nullptr;
  wire::BytesView payload;
};
/// Also sent when this instance's own suspicions change. The view must contain this agent's record.
struct ViewArrived {
  const membership::View* view = nullptr;
};
/// The load of this agent's target. The directory counts `flows` itself.
struct OwnLoadChanged {
  TargetLoad load;
};
/// Load report in a peer's ProbeAnswer.
struct PeerLoadArrived {
  wire::pb::LoadReport report;
};
/// The agent has ended the flow because the target's side ended it or it was idle.
struct FlowEnded {
  base::FlowKey flow;
};
/// Offers the flow to another target, with `record`, which is opaque here. Without CanHandOver
/// nothing happens. The hand-over ends with FlowDropped when the other target has accepted it;
/// otherwise the flow continues to be served here.
struct FlowOffered {
  base::FlowKey flow;
  wire::Bytes record;
  HandOverReason reason = HandOverReason::kDrain;
};
/// A HandOver from another agent. `acceptable`: the agent can accept the record.
struct HandOverArrived {
  base::Endpoint from;
  const wire::pb::TunnelHeader* header = nullptr;
  wire::BytesView record;
  bool acceptable = true;
};
/// Sent at least every second; for prompt retries about every 20 ms.
struct DirectoryTimer {};

using DirectoryEvent = std::variant<TunnelArrived, ViewArrived, OwnLoadChanged, PeerLoadArrived,
                                    FlowEnded, FlowOffered, HandOverArrived, DirectoryTimer>;

struct SendTunnel {
  base::Endpoint to;
  wire::pb::TunnelHeader header;
  wire::BytesView payload;
};

/// A client's datagram to deliver to the target.
struct Deliver {
  base::FlowKey flow;
  wire::BytesView payload;
  bool opened = false;  ///< first packet of the flow at this agent
  std::uint64_t trace_id = 0;
  std::uint64_t span_id = 0;
};

/// This agent is no longer the owner. Its state of the flow has to be discarded, and nothing more
/// is sent to the client.
struct FlowDropped {
  base::FlowKey flow;
};

/// This agent has taken the flow over. The effect has to be applied before any delivery of the same
/// step. `record` refers to the event's buffer or to `held`.
struct FlowTaken {
  base::FlowKey flow;
  wire::BytesView record;
  bool lost = false;  ///< from a lost owner, restored from this agent's copy
  bool full = false;  ///< from a lost owner, while this agent is at its connection limit
};

/// Payload views refer to the event's buffer or to `held`.
struct DirectoryEffects {
  std::vector<SendTunnel> sends;
  std::vector<Deliver> deliveries;
  std::vector<FlowDropped> dropped;
  std::vector<FlowTaken> taken;
  std::vector<wire::Bytes> held;  ///< storage of held packets that are released in this step
};

/// Applies an event and returns its effects.
auto Step(Directory& directory, const DirectoryEvent& event, base::TimePoint now)
    -> DirectoryEffects;

/// Returns the balancer through which the target's datagrams of the flow are sent: the one of the
/// flow's last packet. Returns nothing if this agent does not own the flow or is fenced. Counts as
/// use of the flow.
auto ReplyRoute(Directory& directory, const base::FlowKey& flow, base::TimePoint now)
    -> std::optional<base::Endpoint>;

/// Sends the flow's replies through this balancer from now on.
auto SetReplyBalancer(Directory& directory, const base::FlowKey& flow,
                      const base::Endpoint& balancer) -> void;

/// Whether every peer that is not suspect has registered its flows under this agent's view.
auto IsSettled(const Directory& directory) -> bool;

/// Whether the flow can be offered now: this agent serves it, and the flow's home knows that.
auto CanHandOver(const Directory& directory, const base::FlowKey& flow, base::TimePoint now)
    -> bool;

/// Returns the target that keeps copies of the flow's observations while this agent serves it.
/// Returns nothing if there is no other target, or if this agent is fenced or not in the view.
auto StandByOf(const Directory& directory, const base::FlowKey& flow) -> std::optional<TargetRef>;

/// Writes the service, owner and keeper of a batch of copies.
auto WriteBatchAddress(const Directory& directory, const TargetRef& keeper,
                       wire::pb::StandBy& batch) -> void;

/// Writes the lineage of a flow that is served here.
auto WriteLineageOf(const Directory& directory, const base::FlowKey& flow,
                    wire::pb::Lineage& message) -> void;

/// Returns the load report for ProbeAnswer messages to peers.
auto OwnLoadReport(const Directory& directory) -> wire::pb::LoadReport;

}  // namespace anvildrum::steering
