#pragma once

#include <cstdint>

#include "base/types/time.h"
#include "membership/suspicion.h"
#include "requests/types/parameters.h"
#include "steering/types/directory_types.h"

namespace anvildrum::agent {

/// Copies of observations at another agent; docs/design/standby.md has the arithmetic.
struct StandByPolicy {
  bool copies = true;                               ///< false: none are sent
  base::Duration min_age = base::seconds(3);        ///< observations that have not are left out
  base::Duration scan_interval = base::seconds(2);  ///< between two looks for what has changed
  base::Duration refresh = base::minutes(20);       ///< sent again after this, changed or not
  base::Duration retry = base::milliseconds(400);   ///< doubled at each repetition
  base::Duration max_retry = base::seconds(10);
  std::size_t batch_bytes = 900;        ///< a batch that has reached this takes no more copies
  std::size_t max_copy_bytes = 16'384;  ///< a flow with a larger one is not copied
  /// Sent at most; beyond it copies wait, and flows that end meanwhile cost nothing.
  double bytes_per_second = 1500;
  double burst_bytes = 15'000;
};

/// Parameters of an agent.
struct AgentPolicy {
  steering::DirectoryPolicy directory;
  requests::Parameters requests;
  membership::SuspicionPolicy suspicion;
  /// Balancers that are asked in turn, for replies of flows without fresh client packets, while no
  /// monitor's probe tells which ones live. Any balancer can carry any reply, so a few suffice,
  /// whatever the fleet's size.
  std::size_t reply_balancers = 4;
  /// A balancer's probe shows for this long that replies may leave by it, and without any such sign
  /// one balancer is asked this often. A little over SuspicionPolicy::probe_period, so that a
  /// monitor that probes in every round is not asked as well.
  base::Duration liveness_period = base::milliseconds(600);
  /// A balancer that probes at known intervals is late by this much before it is left out.
  base::Duration liveness_margin = base::milliseconds(300);
  /// A client packet through a balancer proves the whole way for this long.
  base::Duration route_ttl = base::seconds(5);
  /// Peers of the service that are probed at most; the others are heard of through the relay.
  std::size_t probed_peers = 16;
  base::Duration load_period = base::milliseconds(100);  ///< between two looks at the own load
  base::Duration ping_period = base::milliseconds(250);  ///< between two looks at the target
  std::uint32_t silent_pings = 8;  ///< unanswered ones until others are preferred
  /// The answers of a flow that ended are still sent for this long: every retransmission of a
  /// confirmable one (RFC 7252, 4.8.2) fits in.
  base::Duration ended_flow_ttl = requests::kMaxTransmitWait;
  /// Between two notices of a restart that the platform doesn't know of yet, to one instance after
  /// the other: 10 a second of 90 bytes, however many there are.
  base::Duration restart_notice_period = base::milliseconds(100);
  std::size_t max_ended_flows = 100'000;  ///< bound on those, and on flows of lost owners
  /// A late copy of a request is on its way for less than this.
  base::Duration lost_target_ttl = requests::kExchangeLifetime;
  /// From then to the end of the process: the clients' last answers are sent twice (RFC 7252, 4.2).
  base::Duration shutdown_grace = base::seconds(4);
  StandByPolicy stand_by;
  base::Duration hand_over_period = base::milliseconds(100);
  std::size_t hand_overs_per_period = 128;  ///< flows that a draining agent offers at most
  /// A flow whose request the target refused is offered to a target with a free slot for this long:
  /// until its client may be back (a refusal's Max-Age is at least a second).
  base::Duration shed_window = base::seconds(1);
  std::size_t shed_flows = 64;  ///< that wait for it at most
  /// Load reports lag: without a bound, targets that fill up in turns would pass flows around.
  double shed_moves_per_second = 8;
  double shed_moves_burst = 16;
  /// How long a draining agent goes on passing packets on after its last flow has moved: until
  /// every balancer has heard that it drains.
  base::Duration drain_linger = base::seconds(6);
  base::Duration drain_limit = base::hours(8);  ///< then what is left is ended
};

}  // namespace anvildrum::agent
