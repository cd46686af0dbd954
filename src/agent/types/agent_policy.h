#pragma once

#include <cstdint>

#include "base/types/time.h"
#include "membership/suspicion.h"
#include "requests/types/parameters.h"
#include "steering/types/directory_types.h"

namespace anvildrum::agent {

/// Copies of observations at other agents; docs/design/standby.md has the calculations.
struct StandByPolicy {
  bool copies = true;                               ///< false: none are sent
  base::Duration min_age = base::seconds(3);        ///< younger observations are not copied
  base::Duration scan_interval = base::seconds(2);  ///< between two scans for changes
  /// Copies are sent again after this time, changed or not.
  base::Duration refresh = base::minutes(20);
  base::Duration retry = base::milliseconds(400);  ///< doubled at each repetition
  base::Duration max_retry = base::seconds(10);
  std::size_t batch_bytes = 900;        ///< a batch of this size takes no further copies
  std::size_t max_copy_bytes = 16'384;  ///< a flow with a larger one is not copied
  /// Limits the bytes sent. Beyond it copies wait, and flows that end in the meantime cost nothing.
  double bytes_per_second = 1500;
  double burst_bytes = 15'000;
};

/// Parameters of an agent.
struct AgentPolicy {
  steering::DirectoryPolicy directory;
  requests::Parameters requests;
  membership::SuspicionPolicy suspicion;
  /// Number of balancers that are probed in turn for replies of flows without recent client
  /// packets, while no monitor's probe shows which ones are alive. Any balancer can carry any
  /// reply, so a few suffice for a fleet of any size.
  std::size_t reply_balancers = 4;
  /// How long a balancer's probe shows that it can carry replies. Without any such probe, one
  /// balancer is probed at this interval. It is a little longer than SuspicionPolicy::probe_period,
  /// so that a monitor that probes in every round is not probed in turn.
  base::Duration liveness_period = base::milliseconds(600);
  /// A balancer with a known probe interval is no longer used when its probe is late by this time.
  base::Duration liveness_margin = base::milliseconds(300);
  /// How long a client packet through a balancer proves the whole route.
  base::Duration route_ttl = base::seconds(5);
  /// Number of peers of the service that are probed at most. The others' failures are learnt
  /// through the relay.
  std::size_t probed_peers = 16;
  base::Duration load_period = base::milliseconds(100);  ///< between two updates of the own load
  base::Duration ping_period = base::milliseconds(250);  ///< between two pings of the target
  std::uint32_t silent_pings = 8;  ///< unanswered pings until other targets are preferred
  /// How long the answers of a flow that has ended are still sent: long enough indefinitelyy
  /// retransmission of a confirmable message (RFC 7252, 4.8.2).
  base::Duration ended_flow_ttl = requests::kMaxTransmitWait;
  /// Interval between two notices of a restart that the platform does not know yet. The recipients
  /// take turns: 10 notices a second of 90 bytes, whatever their number.
  base::Duration restart_notice_period = base::milliseconds(100);
  std::size_t max_ended_flows = 100'000;  ///< limit on these, and on flows of lost owners
  /// A late copy of a request arrives within this time.
  base::Duration lost_target_ttl = requests::kExchangeLifetime;
  /// Time from the end of the flows to the end of the process, in which the clients' last answers
  /// are sent twice (RFC 7252, 4.2).
  base::Duration shutdown_grace = base::seconds(4);
  StandByPolicy stand_by;
  base::Duration hand_over_period = base::milliseconds(100);
  std::size_t hand_overs_per_period = 128;  ///< limit on flows that a draining agent offers
  /// How long a flow whose request the target refused is offered to a target with a free slot:
  /// until its client may be back (a refusal's Max-Age is at least a second).
  base::Duration shed_window = base::seconds(1);
  std::size_t shed_flows = 64;  ///< limit on flows waiting for an offer
  /// Load reports are stale. Without a limit, targets that fill up in turns would pass flows
  /// around.
  double shed_moves_per_second = 8;
  double shed_moves_burst = 16;
  /// How long a draining agent forwards packets after its last flow has moved: until every balancer
  /// has learnt of the drain.
  base::Duration drain_linger = base::seconds(6);
  base::Duration drain_limit = base::hours(8);  ///< then the remaining flows are ended
};

}  // namespace anvildrum::agent
