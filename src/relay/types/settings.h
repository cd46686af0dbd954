#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/ids.h"
#include "base/types/time.h"

namespace anvildrum::relay {

/// What the relay needs to know of a balancer; the daemon takes it from the balancer's record.
struct RelayPeer {
  std::string name;
  base::InstanceId instance;
  base::Incarnation incarnation = 0;
  base::Endpoint control;  ///< ZeroMQ port of the relay
  std::string failure_domain;
  auto operator==(const RelayPeer&) const -> bool = default;
};

/// A balancer passes records on; an agent only takes them.
enum class RelayRole { kBalancer, kAgent };

/// Parameters of the policy. The defaults fit 26 failure domains of 158 balancers and 846 agents;
/// docs/design/relay.md has the arithmetic.
struct RelayPolicy {
  std::size_t fan_out = 8;              ///< children of a balancer in its domain's tree
  std::size_t watchers_per_domain = 2;  ///< balancers of a domain that watch the platform
  base::Duration heartbeat = base::milliseconds(900);
  /// From so many children on a balancer sends them heartbeats of the longer period, and tells it.
  std::size_t many_children = 8;
  base::Duration slow_heartbeat = base::milliseconds(2700);
  base::Duration parent_timeout = base::seconds(2);  ///< longer by what its period is longer
  /// Added to the timeout for each hop below the first, so that the children of a dead parent move
  /// before their own children give up on them.
  base::Duration timeout_per_hop = base::milliseconds(250);
  base::Duration answer_timeout = base::milliseconds(800);  ///< of a first subscription
  base::Duration subscribe_retry =
      base::milliseconds(700);  ///< between requests for what is missing
  base::Duration avoid_most = base::minutes(4);
  base::Duration avoid_for = base::seconds(15);       ///< a lost parent is not asked again; doubles
  base::Duration child_timeout = base::seconds(30);   ///< a child that does not renew is dropped
  base::Duration renew_interval = base::seconds(10);  ///< subscriptions are sent again this often
  base::Duration watch_timeout = base::seconds(2);    ///< the platform answers a watch by then
  base::Duration watch_grace = base::seconds(1);      ///< a watch silent for longer has hung
  /// Watchers whose watches hung read the configuration spread over this.
  base::Duration hung_read_spread = base::milliseconds(500);
  base::Duration retry_first = base::milliseconds(500);  ///< after a failed call; doubles, jittered
  base::Duration retry_most = base::seconds(10);
  /// Watchers list everything this often (mean, jittered), in case every watch lost the same event.
  base::Duration relist_interval = base::hours(2);
  base::Duration repair_interval = base::seconds(30);  ///< between repairs of sets that differ
  base::Duration seed_wait = base::seconds(1);         ///< peers have this long before a first poll
  base::Duration poll_after = base::seconds(10);       ///< without a parent for this long: poll
  base::Duration poll_interval =
      base::seconds(30);  ///< between polls of a balancer, mean, jittered
  base::Duration agent_poll_interval = base::minutes(10);  ///< the same of an agent
  base::Duration tombstone_keep = base::minutes(10);
  std::size_t tombstones_most = 50'000;
  std::size_t compress_from = 512;  ///< bytes of a value below which it travels plain
  std::size_t deltas_kept = 8;      ///< last configuration changes kept for children
  /// Balancers that must suspect a record before it is cleared; fewer when the domain has fewer.
  std::size_t suspicion_quorum = 3;
  base::Duration suspicion_hold = base::seconds(10);    ///< from the quorum's reports to the delete
  base::Duration suspicion_expiry = base::seconds(45);  ///< a report not repeated is forgotten
  base::Duration suspicion_repeat = base::seconds(10);  ///< reports go out again this often
  base::Duration suspicion_escalate = base::seconds(30);  ///< then the next balancer is told
  /// Balancers of the next domain among which a record's clearer is drawn. Together they delete 30
  /// a second, a tenth of what the platform takes.
  std::size_t clearers_of_next = 15;
  base::Duration delete_interval = base::milliseconds(500);  ///< between a clearer's deletes
};

struct RelaySettings {
  RelayRole role = RelayRole::kBalancer;
  RelayPeer self;                     ///< `control` is unused for an agent
  base::ServiceId service;            ///< agents: the only service whose targets are taken
  std::vector<base::Endpoint> seeds;  ///< control endpoints of peers, from the settings file
  std::uint64_t seed = 1;             ///< for jitter
  RelayPolicy policy;
};

}  // namespace anvildrum::relay
