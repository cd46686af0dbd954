#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/flow_key.h"
#include "base/types/time.h"
#include "steering/placement.h"
#include "steering/types/token_bucket.h"
#include "wire/datagram.h"

namespace anvildrum::steering {

/// Parameters of an agent's directory.
struct DirectoryPolicy {
  PlacementPolicy placement;
  base::Duration query_interval = base::milliseconds(100);  ///< between two queries for one flow
  base::Duration max_hold_time = base::seconds(3);  ///< held packets are dropped after this time
  std::size_t max_pending_flows = 1024;  ///< flows whose owner is being queried at the same time
  std::size_t held_packets_per_flow = 4;
  /// How long an agent that answered a query defers to the sender of the query.
  base::Duration deferral_time = base::seconds(10);
  /// How long an agent that is no longer a flow's home still names the owner that it recorded as
  /// the home.
  base::Duration claim_validity = base::seconds(5);
  base::Duration register_retry = base::milliseconds(200);
  std::size_t registrations_per_batch = 24;
  base::Duration flow_idle = base::hours(2);
  std::uint32_t hop_limit = 4;
  /// A packet that has passed this many agents is held and its flow's owner queried.
  std::uint32_t query_hops = 3;
  /// After a pause of this length, peers may have given this process up. The threshold is shorter
  /// than the shortest time after which they suspect it (misses x min_timeout of
  /// SuspicionPolicy).
  base::Duration pause_threshold = base::milliseconds(400);
  base::Duration hand_over_retry = base::milliseconds(100);
  base::Duration hand_over_backoff = base::seconds(1);  ///< after an offer that nobody accepted
  /// An offer to a suspect target is withdrawn after this time.
  base::Duration hand_over_timeout = base::seconds(3);
  /// Limits on all copies of other targets' observations that this agent keeps.
  std::size_t max_copies = 50'000;
  std::size_t max_copy_bytes = 16U << 20U;
  /// A copy expires unless its owner sends it again within this time. AgentPolicy's refresh is a
  /// third of it.
  base::Duration copy_ttl = base::hours(1);
  /// Number of flows of a lost owner that are queried per step once its loss is confirmed. Before,
  /// a single flow is queried to learn whether others reach the owner.
  std::size_t takeover_batch = 64;
  base::Duration takeover_retry = base::milliseconds(100);
  base::Duration max_takeover_retry = base::seconds(5);  ///< while others reach the owner
  base::Duration drain_notice_retry = base::milliseconds(300);
  std::uint32_t drain_notices = 3;
  /// Number of balancers that a draining agent notifies directly. The others learn of the drain
  /// through the relay.
  std::size_t notified_balancers = 64;
  base::Duration sweep_period = base::seconds(1);
  base::Duration forward_ttl = base::minutes(10);  ///< of entries for flows of other homes
  /// Besides answering probes, the agent reports its number of flows to its peers when the number
  /// has changed by this share, and by at least `load_report_flows`, since the last report. Such
  /// reports are at least `load_report_interval` apart.
  double load_report_share = 0.05;
  std::uint32_t load_report_flows = 8;
  base::Duration load_report_interval = base::milliseconds(50);
  double openings_per_second = 2000;
  double openings_burst = 4000;
  /// Limits the hints that a balancer receives from many homes; docs/CAPACITY.md (hint_rate_fits)
  /// has the bound. Without a hint, a packet of an exception takes one more hop.
  double hints_per_second = 1;
  double hints_burst = 200;
};

struct TargetRef {
  base::TargetId target;
  base::Incarnation incarnation = 0;
  auto operator==(const TargetRef&) const -> bool = default;
};

/// A flow's history: its opening and the hand-overs since.
struct Lineage {
  TargetRef opener;
  std::uint64_t stamp = 0;  ///< of the opening; 0: unknown
  std::uint32_t hand_overs = 0;
  std::vector<TargetRef> previous;  ///< owners that handed the flow over, latest last; bounded
};

/// Registration of a flow with one of its homes.
struct RegisteredAt {
  TargetRef home;       ///< the home that acknowledged the registration
  bool queued = false;  ///< waiting in the home's stream
};

/// A flow that this agent serves.
struct OwnedFlow {
  base::TimePoint opened{};
  base::TimePoint last_from_client{};
  base::TimePoint last_used{};  ///< last packet in either direction
  base::Endpoint balancer;      ///< of the last packet; replies leave through it
  std::uint64_t stamp = 0;
  RegisteredAt first;
  RegisteredAt acting;              ///< while this agent suspects the first home
  bool closing = false;             ///< ended here; the first home has not acknowledged the end
  std::uint8_t reply_rotation = 0;  ///< selects the balancer of the next reply
  TargetRef closing_home;           ///< the first home when the flow ended
  Lineage lineage;
  base::TimePoint next_offer{};  ///< after an offer that nobody accepted
  bool offered = false;          ///< to another target; packets are held and no replies are sent
};

/// An owner that was unreachable when its flow was opened elsewhere. It has to drop the flow when
/// it is reachable again.
struct LostOwner {
  TargetRef owner;
  std::uint64_t stamp = 0;  ///< 0: none
};

/// What this agent knows about a flow that another agent serves.
struct KnownOwner {
  TargetRef owner;
  base::Endpoint via;  ///< agent that forwards to the owner; port 0: the owner's own tunnel
  base::TimePoint via_since{};
  base::TimePoint opened{};
  base::TimePoint last_packet{};
  std::uint64_t stamp = 0;     ///< 0: not registered yet
  base::TimePoint noted_at{};  ///< when this agent learnt of the owner
  bool tentative = false;      ///< the owner sent a query and may open the flow, not yet confirmed
  LostOwner lost;
  Lineage lineage;
};

struct HeldPacket {
  wire::pb::Packet packet;
  wire::Bytes payload;
};

/// A flow whose owner is being queried. It is not opened before all peers have answered.
struct PendingFlow {
  std::uint64_t sequence = 0;
  std::vector<TargetRef> unanswered;  ///< peers that have not answered
  std::optional<TargetRef> claimed;   ///< owner according to another agent
  Lineage claimed_lineage;
  base::Endpoint claimed_via;     ///< agent that reaches the claimed owner; port 0: direct
  bool denied = false;            ///< the claimed owner denies that it owns the flow
  std::optional<TargetRef> lost;  ///< an owner that this agent cannot reach
  bool stands_by = false;         ///< this agent has a copy of the lost owner's observations
  bool answered = false;          ///< a peer answered that it reaches no owner of the flow
  std::vector<HeldPacket> held;
  base::TimePoint started{};
  base::TimePoint next_query{};
};

enum class HandOverReason : std::uint8_t {
  kDrain,  ///< this agent is draining
  kShed,   ///< its target refused the flow's request; the new target needs a free slot
};

/// A hand-over that this agent has begun.
struct OutgoingHandOver {
  HandOverReason reason = HandOverReason::kDrain;
  TargetRef to;
  std::uint64_t attempt = 0;
  wire::Bytes record;  ///< opaque here
  bool accepted = false;
  std::vector<HeldPacket> held;
  std::vector<TargetRef> refused_by;
  OwnedFlow flow;  ///< as handed over
  base::TimePoint started{};
  base::TimePoint next_send{};
};

/// The latest hand-over of a flow that this agent has answered.
struct IncomingHandOver {
  TargetRef from;
  std::uint64_t attempt = 0;
  bool accepted = false;
  base::TimePoint at{};
};

/// Copy of a flow's observations that its owner stored here in case it is lost.
struct StandByCopy {
  TargetRef owner;
  Lineage lineage;     ///< the owner's
  wire::Bytes record;  ///< opaque here
  base::TimePoint noted_at{};
};

/// An owner whose copies are kept here.
struct CopiedOwner {
  TargetRef ref;
  std::size_t flows = 0;
  /// A flow of this owner has been taken over here since the owner was last reachable.
  bool loss_confirmed = false;
  base::TimePoint next_attempt{};
  base::Duration backoff{};  ///< before the next attempt, while others reach the owner
};

/// The owner's side of the registrations with one peer. One batch at a time awaits its
/// acknowledgement.
struct RegisterStream {
  TargetRef home;
  std::uint64_t sequence = 0;
  std::deque<base::FlowKey> queue;
  std::vector<base::FlowKey> batch;  ///< sent, awaiting acknowledgement
  bool awaiting_ack = false;
  std::uint64_t settling_digest = 0;  ///< digest that the batch declares settled; 0: none
  std::uint64_t settled = 0;          ///< digest whose settling was acknowledged
  base::TimePoint next_retry{};
};

/// Another target of the service.
struct PeerTarget {
  TargetRef ref;
  base::InstanceId instance;
  base::Endpoint tunnel;
  bool suspect = false;
  bool draining = false;
  std::uint64_t applied = 0;         ///< last batch of its registrations that was applied here
  std::uint64_t settled_view = 0;    ///< digest under which all its flows are registered here
  std::uint64_t copies_applied = 0;  ///< last batch of its copies that was applied here
  TargetLoad load;
  std::uint32_t reported_flows = 0;    ///< in its last report
  std::uint64_t placed_at_report = 0;  ///< Directory::placed_as_home at its last report
  base::TimePoint since{};
};

/// A decision against an owner that the owner has not acknowledged yet.
struct PendingYield {
  base::FlowKey flow;
  TargetRef loser;
  TargetRef winner;
  std::uint64_t stamp = 0;
  base::TimePoint next_retry{};
  std::uint32_t attempts = 0;
};

/// Monotonic counters of the directory.
struct DirectoryCounters {
  std::uint64_t delivered = 0;
  std::uint64_t opened = 0;
  std::uint64_t deflected = 0;  ///< placed by this home at another target
  std::uint64_t passed_on = 0;  ///< packets forwarded to another agent
  std::uint64_t wrong_service = 0;
  std::uint64_t hop_limit = 0;
  std::uint64_t unknown_flow = 0;  ///< may_open was false
  std::uint64_t full = 0;
  std::uint64_t draining = 0;
  std::uint64_t asked = 0;
  std::uint64_t held_dropped = 0;
  std::uint64_t conflicts = 0;
  std::uint64_t yielded = 0;
  std::uint64_t ended = 0;
  std::uint64_t handed_over = 0;
  std::uint64_t taken_over = 0;
  std::uint64_t hand_overs_refused = 0;  ///< by this agent
  std::uint64_t hand_overs_taken_back = 0;
  std::uint64_t copies_refused = 0;   ///< because the limit on copies was reached
  std::uint64_t copies_taken = 0;     ///< flows taken over from a lost owner
  std::uint64_t copies_withheld = 0;  ///< attempts without a confirmed loss of the owner
  std::uint64_t stops_noticed = 0;
  std::uint64_t malformed = 0;
  std::uint64_t stale_sender = 0;
  std::uint64_t control_bytes = 0;  ///< sent; tunnel headers only
};

}  // namespace anvildrum::steering
