#pragma once

#include <cstdint>
#include <span>
#include <variant>
#include <vector>

#include "base/types/ids.h"
#include "base/types/time.h"

namespace anvildrum::membership {

/// How an instance notices that another one does not answer. All times of one observer.
struct SuspicionPolicy {
  base::Duration probe_period = base::milliseconds(500);  ///< between rounds of probes
  std::uint32_t probes_per_round = 8;                     ///< bound on a round's probes
  std::uint32_t timeout_factor = 4;                       ///< timeout = factor x smoothed RTT
  base::Duration min_timeout = base::milliseconds(150);
  base::Duration max_timeout = base::seconds(1);
  std::uint32_t misses = 3;  ///< unanswered probes in a row until a peer is suspect
  /// Each recovery doubles the number of answers that the next recovery takes, up to the bound;
  /// a quiet period of `recovery_reset` sets it back.
  std::uint32_t max_recovery_answers = 16;
  base::Duration recovery_reset = base::seconds(60);
};

/// What is known of one peer.
struct Peer {
  base::InstanceId instance;
  base::Incarnation incarnation = 0;
  bool suspect = false;
  std::uint32_t misses = 0;   ///< in a row
  std::uint32_t answers = 0;  ///< in a row, while suspect
  std::uint32_t recovery_answers = 1;
  base::Duration round_trip{};  ///< smoothed; zero until measured
  base::TimePoint last_heard{};
  base::TimePoint unanswered_since{};  ///< first datagram after `last_heard`; zero: none
  base::TimePoint last_change{};
  std::uint64_t probe = 0;  ///< sequence of the probe under way; 0: none
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

/// The peers to observe from now on; those that stay keep their history.
struct PeersChanged {
  std::span<const PeerRef> peers;
};
/// A datagram of this incarnation arrived: proof of life.
struct Heard {
  PeerRef peer;
};
/// The answer to probe `sequence`.
struct ProbeAnswered {
  PeerRef peer;
  std::uint64_t sequence = 0;
};
/// A datagram went to the peer. If nothing is heard of it for longer than TimeoutOf, the peer is
/// probed ahead of its turn: with more peers than a round reaches, traffic tells whom to doubt.
/// Silence itself is no proof, because answers may leave by another way.
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

/// The observer's one entry. Call with SuspicionTimer at NextWakeUp or more often. Each
/// probe_period starts at most probes_per_round probes, however many peers there are and however
/// often they come and go; an unanswered one is repeated at once until the peer is suspect, so that
/// control traffic is at most `misses` times that.
auto Step(Suspicion& state, const SuspicionEvent& event, base::TimePoint now) -> SuspicionEffects;

/// When the next timer is due.
auto NextWakeUp(const Suspicion& state) -> base::TimePoint;

/// How long an answer of this peer may take.
auto TimeoutOf(const SuspicionPolicy& policy, const Peer& peer) -> base::Duration;

/// Null when not observed.
auto FindPeer(const Suspicion& state, base::InstanceId instance) -> const Peer*;

}  // namespace anvildrum::membership
