#pragma once

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "base/types/ids.h"
#include "base/types/time.h"

namespace anvildrum::membership {

/// Parameters by which an observer detects that a peer does not answer.
struct SuspicionPolicy {
  base::Duration probe_period = base::milliseconds(500);  ///< between rounds of probes
  std::uint32_t probes_per_round = 8;                     ///< maximum number of probes in a round
  std::uint32_t timeout_factor = 4;                       ///< timeout = factor x smoothed RTT
  base::Duration min_timeout = base::milliseconds(150);
  base::Duration max_timeout = base::seconds(1);
  std::uint32_t misses = 3;  ///< unanswered probes in a row before a peer is suspect
  /// Each recovery doubles the number of answers needed for the next one, up to this maximum. After
  /// `recovery_reset` without a change the number is reset.
  std::uint32_t max_recovery_answers = 16;
  base::Duration recovery_reset = base::seconds(60);
};

/// State of one peer.
struct Peer {
  base::InstanceId instance;
  base::Incarnation incarnation = 0;
  bool suspect = false;
  std::uint32_t misses = 0;   ///< in a row
  std::uint32_t answers = 0;  ///< in a row, while suspect
  std::uint32_t recovery_answers = 1;
  base::Duration round_trip{};  ///< smoothed; zero until measured
  base::TimePoint last_heard{};
  base::TimePoint unanswered_since{};  ///< first datagram sent after `last_heard`; zero: none
  base::TimePoint last_change{};
  std::uint64_t probe = 0;  ///< sequence of the outstanding probe; 0: none
  base::TimePoint probe_sent{};
};

/// State of one observer. `peers` is sorted by instance.
struct Suspicion {
  SuspicionPolicy policy;
  std::vector<Peer> peers;
  std::size_t next_peer = 0;  ///< where the next round starts
  std::uint64_t sequence = 0;
  base::TimePoint next_round{};
};

struct PeerRef {
  base::InstanceId instance;
  base::Incarnation incarnation = 0;
};

/// Sets the peers to observe. Peers that were observed before keep their state.
struct PeersChanged {
  std::span<const PeerRef> peers;
};
/// A datagram of this incarnation arrived, so the peer is alive.
struct Heard {
  PeerRef peer;
};
/// The answer to probe `sequence`.
struct ProbeAnswered {
  PeerRef peer;
  std::uint64_t sequence = 0;
};
/// A datagram was sent to the peer. If nothing is received from it for longer than TimeoutOf, the
/// peer is probed before its turn. With more peers than a round can probe, this selects the peers
/// to check first. Silence alone does not make a peer suspect, because answers may take another
/// route.
struct Sent {
  PeerRef peer;
};
struct SuspicionTimer {};

using SuspicionEvent = std::variant<PeersChanged, Heard, ProbeAnswered, Sent, SuspicionTimer>;

struct SendProbe {
  base::InstanceId instance;
  std::uint64_t sequence = 0;
};
struct SuspectChanged {
  base::InstanceId instance;
  bool suspect = false;
};
struct SuspicionEffects {
  std::vector<SendProbe> probes;
  std::vector<SuspectChanged> changes;
};

/// Processes one event. Call it with SuspicionTimer at NextWakeUp or more often. Each probe_period
/// starts at most probes_per_round probes, whatever the number of peers and however often it
/// changes. An unanswered probe is repeated at once until the peer is suspect, so the control
/// traffic is at most `misses` times that.
auto Step(Suspicion& state, const SuspicionEvent& event, base::TimePoint now) -> SuspicionEffects;

/// Returns when the next timer is due.
auto NextWakeUp(const Suspicion& state) -> base::TimePoint;

/// Returns how long this peer may take to answer.
auto TimeoutOf(const SuspicionPolicy& policy, const Peer& peer) -> base::Duration;

/// Returns null if the peer is not observed.
auto FindPeer(const Suspicion& state, base::InstanceId instance) -> const Peer*;

}  // namespace anvildrum::membership
