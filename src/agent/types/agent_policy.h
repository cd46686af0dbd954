#pragma once

#include <cstdint>

#include "base/types/time.h"
#include "membership/suspicion.h"
#include "requests/types/parameters.h"
#include "steering/types/directory_types.h"

namespace anvildrum::agent {

/// Parameters of an agent.
struct AgentPolicy {
  steering::DirectoryPolicy directory;
  requests::Parameters requests;
  membership::SuspicionPolicy suspicion;
  /// Balancers through which replies of flows without fresh client packets leave, and which are
  /// probed for it. Any balancer can carry any reply, so a few suffice, whatever the fleet's size.
  std::size_t reply_balancers = 4;
  /// A client packet through a balancer proves the whole way for this long.
  base::Duration fresh_route = base::seconds(5);
  /// Peers of the service that are probed at most; the others are heard of through the relay.
  std::size_t probed_peers = 16;
  base::Duration load_period = base::milliseconds(100);  ///< between two looks at the own load
  base::Duration ping_period = base::milliseconds(250);  ///< between two looks at the target
  std::uint32_t silent_pings = 8;  ///< unanswered ones until others are preferred
  /// The answers of a flow that ended are still sent for this long: every retransmission of a
  /// confirmable one (RFC 7252, 4.8.2) fits in.
  base::Duration parting = requests::kMaxTransmitWait;
  /// Between two notices of a restart that the platform doesn't know of yet, to one instance after
  /// the other: 10 a second of 90 bytes, however many there are.
  base::Duration restart_notice_period = base::milliseconds(100);
  std::size_t parted_flows = 100'000;  ///< bound on those, and on flows of lost owners
  /// A late copy of a request is on its way for less than this.
  base::Duration lost_memory = requests::kExchangeLifetime;
  /// From then to the end of the process: the clients' last answers are sent twice (RFC 7252, 4.2).
  base::Duration farewell = base::seconds(4);
  base::Duration hand_over_period = base::milliseconds(100);
  std::size_t hand_overs_of_period = 128;  ///< flows that a draining agent offers at most
  /// How long a draining agent goes on passing packets on after its last flow has moved: until
  /// every balancer has heard that it drains.
  base::Duration drain_linger = base::seconds(6);
  base::Duration drain_limit = base::hours(8);  ///< then what is left is ended
};

}  // namespace anvildrum::agent
