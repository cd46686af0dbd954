#pragma once

#include <vector>

#include "packets/agent.h"

/// The other agents of the service, as reported by balancers.
namespace anvildrum::packets {

/// Whether the balancer's last hello is still valid.
auto IsFresh(const Agent& agent, const BalancerHello& hello, base::TimePoint now) -> bool;

/// Recomputes `peers`, the agents that at least one balancer considers alive.
auto MergePeers(Agent& agent, base::TimePoint now) -> void;

/// Other known agents to which an opening may be forwarded. Excludes agents in drained domains.
auto OpenPeers(const Agent& agent) -> std::vector<Place>;

/// The drained domains to report to the balancer. Empty if it knows the same or a newer set.
auto DrainedFor(const Agent& agent, Address balancer) -> DrainedDomains;

/// Whether at least one balancer has sent a current hello, and every such balancer states that its
/// list of agents is complete.
auto KnowsAll(const Agent& agent, base::TimePoint now) -> bool;

/// Whether no new peer has appeared for AgentPolicy::settling_time and the list includes this
/// agent. Until then, one balancer may know an agent that the others do not know yet.
auto HasSettled(const Agent& agent, base::TimePoint now) -> bool;

}  // namespace anvildrum::packets
