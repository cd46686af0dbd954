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

/// An agent's knowledge of the flows of its service: those it serves, and those that others serve
/// although this agent is, or was, their home.
///
/// Rules that keep one owner a flow:
/// 1. A home opens a flow without asking only while every peer that it does not suspect has
///    registered its flows under the same view (digest). Such a peer has no flow of this home that
///    the home does not know of.
/// 2. Otherwise an opener asks all peers, and opens only when each has answered or is suspect. A
///    peer that answers "not mine" defers to the asker from then on; of two that ask at once the
///    lower target id goes first.
/// 3. A target opens a flow for another agent only if that agent is the flow's home in its own
/// view;
///    else it asks as in 2.
/// 4. An owner hands a flow over only when the flow's home knows it as the owner, and stops
///    serving it before it offers it. Until the new owner is registered there, the old one passes
///    packets on and names the new one to who asks. See docs/design/handover.md.
/// 5. A flow's stand-by takes it over only when it does not reach the owner and has asked all peers
///    as in 2; at least one must have answered, or the owner's process be gone from the view. See
///    docs/design/standby.md.
/// What remains is a cut network: two sides may open one flow. When they meet again, the home keeps
/// the owner that heard from the client last, of two that heard together the one that opened it
/// first, else the lower id; the other drops its state and passes packets on.
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
  std::vector<PeerTarget> peers;  ///< sorted by target, without this agent's own
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
  bool streams_due = false;  ///< a stream may have something to send
  std::uint32_t drain_notices_left = 0;
  base::TimePoint next_drain_notice{};

  TargetLoad load;                       ///< this target's own
  std::uint64_t placed_as_home = 0;      ///< flows that this agent placed, here or elsewhere
  std::uint64_t reported_own_flows = 0;  ///< as the peers were told last without asking
  base::TimePoint next_load_report{};
  TokenBucket openings;
  TokenBucket hints;
  std::uint64_t sequence = 0;
  std::uint64_t stamp = 0;
  base::TimePoint last_step{};
  base::TimePoint next_resettle{};
  base::TimePoint next_sweep{};
  /// After a stop, until all peers have settled again: nothing is delivered, answered or opened.
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

/// A datagram of the tunnel for the directory: Packet, OwnerQuery, OwnerAnswer, Register,
/// RegisterAck, Yield, YieldAck, Resettle, StandBy; others are ignored.
/// The views are used during the call only.
struct TunnelArrived {
  base::Endpoint from;
  const wire::pb::TunnelHeader* header = nullptr;
  wire::BytesView payload;
};
/// Also after this instance's own suspicion changed. The view must have this agent's own record.
struct ViewArrived {
  const membership::View* view = nullptr;
};
/// This target's own load; `flows` is kept by the directory itself.
struct OwnLoadChanged {
  TargetLoad load;
};
/// From a peer's ProbeAnswer.
struct PeerLoadArrived {
  wire::pb::LoadReport report;
};
/// The agent has let go of the flow (the target's side ended it, or it went idle).
struct FlowEnded {
  base::FlowKey flow;
};
/// Offers the flow to another target, with `record`, which is opaque here. Nothing happens unless
/// CanHandOver. It ends by FlowDropped, when the other one has taken it, or the flow is served on.
struct FlowOffered {
  base::FlowKey flow;
  wire::Bytes record;
  HandOverReason reason = HandOverReason::kDrain;
};
/// A HandOver of another agent; `acceptable`: the agent can take the record.
struct HandOverArrived {
  base::Endpoint from;
  const wire::pb::TunnelHeader* header = nullptr;
  wire::BytesView record;
  bool acceptable = true;
};
/// At least every second, and for prompt retries every 20 ms or so.
struct DirectoryTimer {};

using DirectoryEvent = std::variant<TunnelArrived, ViewArrived, OwnLoadChanged, PeerLoadArrived,
                                    FlowEnded, FlowOffered, HandOverArrived, DirectoryTimer>;

struct SendTunnel {
  base::Endpoint to;
  wire::pb::TunnelHeader header;
  wire::BytesView payload;
};

/// A client's datagram for the target.
struct Deliver {
  base::FlowKey flow;
  wire::BytesView payload;
  bool opened = false;  ///< first packet of the flow here
  std::uint64_t trace_id = 0;
  std::uint64_t span_id = 0;
};

/// This agent has stopped being the owner: its state for the flow goes, nothing more is sent to the
/// client.
struct FlowDropped {
  base::FlowKey flow;
};

/// This agent has taken the flow over: due before any delivery of the same step. `record` views the
/// event's buffer, or `held`.
struct FlowTaken {
  base::FlowKey flow;
  wire::BytesView record;
  bool lost = false;  ///< from an owner that was lost, by the copy that this agent kept
  bool full = false;  ///< of a lost owner: this agent has no connection left for it
};

/// Payload views refer to the event's buffer or to `held`.
struct DirectoryEffects {
  std::vector<SendTunnel> sends;
  std::vector<Deliver> deliveries;
  std::vector<FlowDropped> dropped;
  std::vector<FlowTaken> taken;
  std::vector<wire::Bytes> held;  ///< storage of held packets that are released
};

/// The directory's one entry.
auto Step(Directory& directory, const DirectoryEvent& event, base::TimePoint now)
    -> DirectoryEffects;

/// Where the target's datagrams for the flow leave: the balancer that it was last seen at. Nothing
/// when the flow is not this agent's, or the agent is fenced. Counts as use of the flow.
auto ReplyRoute(Directory& directory, const base::FlowKey& flow, base::TimePoint now)
    -> std::optional<base::Endpoint>;

/// Sends the flow's replies through another balancer from now on.
auto SetReplyBalancer(Directory& directory, const base::FlowKey& flow,
                      const base::Endpoint& balancer) -> void;

/// Whether every peer that is not suspect has registered its flows under this agent's view.
auto IsSettled(const Directory& directory) -> bool;

/// Whether the flow can be offered now: this agent serves it, and its home knows that.
auto CanHandOver(const Directory& directory, const base::FlowKey& flow, base::TimePoint now)
    -> bool;

/// Who is to keep copies of the flow's observations while this agent serves it: nothing when there
/// is no other target, or this agent is fenced or not in the view.
auto StandByOf(const Directory& directory, const base::FlowKey& flow) -> std::optional<TargetRef>;

/// Service, owner and keeper of a batch of copies.
auto WriteBatchAddress(const Directory& directory, const TargetRef& keeper,
                       wire::pb::StandBy& batch) -> void;

/// Where a flow that is served here comes from.
auto WriteLineageOf(const Directory& directory, const base::FlowKey& flow,
                    wire::pb::Lineage& message) -> void;

/// For the ProbeAnswer to peers.
auto OwnLoadReport(const Directory& directory) -> wire::pb::LoadReport;

}  // namespace anvildrum::steering
