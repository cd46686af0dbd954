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
  base::Duration max_hold_time = base::seconds(3);          ///< then held packets are dropped
  std::size_t max_pending_flows = 1024;                     ///< flows that are asked for at once
  std::size_t held_packets_per_flow = 4;
  base::Duration deferral_time =
      base::seconds(10);  ///< how long an answered query defers to the asker
  /// How long an agent that is no longer the home answers for a placement of its own.
  base::Duration claim_validity = base::seconds(5);
  base::Duration register_retry = base::milliseconds(200);
  std::size_t registrations_per_batch = 24;
  base::Duration flow_idle = base::hours(2);
  std::uint32_t hop_limit = 4;
  std::uint32_t query_hops = 3;  ///< a packet that passed this many agents is asked for
  /// A process that was not run for this long may have been given up by its peers: shorter than
  /// the shortest time in which they suspect it (misses x shortest_timeout of SuspicionPolicy).
  base::Duration pause_threshold = base::milliseconds(400);
  base::Duration hand_over_retry = base::milliseconds(100);
  base::Duration hand_over_backoff = base::seconds(1);  ///< after an offer that nobody took
  /// An offer to a target that is suspect is taken back after this.
  base::Duration hand_over_timeout = base::seconds(3);
  /// Copies of other targets' observations that this agent keeps, in all.
  std::size_t max_copies = 50'000;
  std::size_t max_copy_bytes = 16U << 20U;
  /// A copy that its owner has not sent again is forgotten; AgentPolicy's refresh is a third of it.
  base::Duration copy_ttl = base::hours(1);
  /// Flows of a lost owner that are asked for at a step: the first alone, to learn whether others
  /// reach the owner, and then so many.
  std::size_t takeover_batch = 64;
  base::Duration takeover_retry = base::milliseconds(100);
  base::Duration max_takeover_retry = base::seconds(5);  ///< while others reach the owner
  base::Duration drain_notice_retry = base::milliseconds(300);
  std::uint32_t drain_notices = 3;
  std::size_t notified_balancers = 64;  ///< others hear of a drain through the relay
  base::Duration sweep_period = base::seconds(1);
  base::Duration forward_ttl = base::minutes(10);  ///< of flows whose home is elsewhere
  /// Peers are told of this agent's flows when their number has changed by this much since, beside
  /// the answers to their probes; at most once a `load_report_interval`.
  double load_report_share = 0.05;
  std::uint32_t load_report_flows = 8;
  base::Duration load_report_interval = base::milliseconds(50);
  double openings_per_second = 2000;
  double openings_burst = 4000;
  /// A balancer hears hints from many homes: docs/CAPACITY.md (hint_rate_fits) has the bound.
  /// Beyond it a packet of an exception costs a hop, nothing else.
  double hints_per_second = 1;
  double hints_burst = 200;
};

struct TargetRef {
  base::TargetId target;
  base::Incarnation incarnation = 0;
  auto operator==(const TargetRef&) const -> bool = default;
};

/// Where a flow comes from: its opening, and how often it was handed over since.
struct Lineage {
  TargetRef opener;
  std::uint64_t stamp = 0;  ///< of the opening; 0: not known
  std::uint32_t hand_overs = 0;
  std::vector<TargetRef> previous;  ///< owners that handed it over, the latest last; bounded
};

/// Whether one home of a flow knows its owner.
struct RegisteredAt {
  TargetRef home;       ///< that acknowledged the registration
  bool queued = false;  ///< waits in the home's stream
};

/// A flow that this agent serves.
struct OwnedFlow {
  base::TimePoint opened{};
  base::TimePoint last_from_client{};
  base::TimePoint last_used{};  ///< either way
  base::Endpoint balancer;      ///< where it was seen last; replies leave there
  std::uint64_t stamp = 0;
  RegisteredAt first;
  RegisteredAt acting;              ///< while this agent suspects the first home
  bool closing = false;             ///< ended here, the first home has not acknowledged it yet
  std::uint8_t reply_rotation = 0;  ///< whose turn it is of the balancers that replies may leave by
  TargetRef closing_home;           ///< the first home at that time
  Lineage lineage;
  base::TimePoint next_offer{};  ///< after an offer that nobody took
  bool offered = false;          ///< offered to another target: nothing is delivered or answered
};

/// An owner that was out of reach; when it is back it has to let go of a flow that was opened
/// elsewhere.
struct LostOwner {
  TargetRef owner;
  std::uint64_t stamp = 0;  ///< 0: none
};

/// What this agent knows of a flow that another one serves.
struct KnownOwner {
  TargetRef owner;
  base::Endpoint via;  ///< port 0: the owner's own tunnel, as the view has it
  base::TimePoint via_since{};
  base::TimePoint opened{};
  base::TimePoint last_packet{};
  std::uint64_t stamp = 0;     ///< 0: not registered yet
  base::TimePoint noted_at{};  ///< when this agent learnt it
  bool tentative = false;  ///< the owner asked and may open the flow; it has not said that it did
  LostOwner lost;
  Lineage lineage;
};

struct HeldPacket {
  wire::pb::Packet packet;
  wire::Bytes payload;
};

/// A flow that is asked for: nobody opens it before all others have answered.
struct PendingFlow {
  std::uint64_t sequence = 0;
  std::vector<TargetRef> unanswered;  ///< peers that have not answered
  std::optional<TargetRef> claimed;   ///< named by an agent that isn't the owner itself
  Lineage claimed_lineage;
  base::Endpoint claimed_via;     ///< the agent that reaches it; port 0: directly
  bool denied = false;            ///< the claimed owner itself says no
  std::optional<TargetRef> lost;  ///< the owner that cannot be reached
  bool stands_by = false;         ///< this agent has a copy of the lost owner's observations
  bool answered = false;          ///< by a peer that reaches no owner of the flow
  std::vector<HeldPacket> held;
  base::TimePoint started{};
  base::TimePoint next_ask{};
};

enum class HandOverReason : std::uint8_t {
  kDrain,  ///< this agent drains
  kShed,   ///< its target refused the flow's request: only a target with a free slot helps
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

/// The latest hand-over of a flow that this agent answered.
struct IncomingHandOver {
  TargetRef from;
  std::uint64_t attempt = 0;
  bool accepted = false;
  base::TimePoint at{};
};

/// What an owner has left here of a flow's observations, for the case that it is lost.
struct StandByCopy {
  TargetRef owner;
  Lineage lineage;     ///< of the owner
  wire::Bytes record;  ///< opaque here
  base::TimePoint noted_at{};
};

/// An owner of copies that are kept here.
struct CopiedOwner {
  TargetRef ref;
  std::size_t flows = 0;
  /// Its loss is agreed: a flow of it was taken over here since it was last in reach.
  bool loss_confirmed = false;
  base::TimePoint next_attempt{};
  base::Duration backoff{};  ///< before the next one, when others reach the owner
};

/// Owner's end of the registrations with one peer: one batch under way at a time.
struct RegisterStream {
  TargetRef home;
  std::uint64_t sequence = 0;
  std::deque<base::FlowKey> queue;
  std::vector<base::FlowKey> batch;  ///< under way
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
  std::uint32_t reported_flows = 0;    ///< by its last report
  std::uint64_t placed_at_report = 0;  ///< Directory::placed_as_home when that came
  base::TimePoint since{};
};

/// A verdict that the loser has not acknowledged.
struct PendingYield {
  base::FlowKey flow;
  TargetRef loser;
  TargetRef winner;
  std::uint64_t stamp = 0;
  base::TimePoint next_retry{};
  std::uint32_t attempts = 0;
};

/// Counts of what the directory did; monotonic.
struct DirectoryCounters {
  std::uint64_t delivered = 0;
  std::uint64_t opened = 0;
  std::uint64_t deflected = 0;  ///< opened for this home at another target
  std::uint64_t passed_on = 0;  ///< packets to another agent
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
  std::uint64_t copies_refused = 0;   ///< for want of room
  std::uint64_t copies_taken = 0;     ///< flows taken over from a lost owner
  std::uint64_t copies_withheld = 0;  ///< tries that found the owner in reach of others, or nobody
  std::uint64_t stops_noticed = 0;
  std::uint64_t malformed = 0;
  std::uint64_t stale_sender = 0;
  std::uint64_t control_bytes = 0;  ///< sent, headers of the tunnel only
};

}  // namespace anvildrum::steering
