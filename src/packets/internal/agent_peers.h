#pragma once

#include <vector>

#include "packets/agent.h"

/// The other agents of the service, as balancers tell of them.
namespace anvildrum::packets {

/// Works out the agents that any balancer holds for alive.
auto MergePeers(Agent& agent, base::TimePoint now) -> void;

/// Known agents besides this one to which an opening may be passed on: none of a drained domain.
auto OpenPeers(const Agent& agent) -> std::vector<Place>;

/// What the balancer is told of drained domains: nothing where it knows the same or newer ones.
auto DrainedFor(const Agent& agent, Address balancer) -> DrainedDomains;

/// Whether a balancer has been heard from, and each that has says that it knows all.
auto KnowsAll(const Agent& agent, base::TimePoint now) -> bool;

/// Whether this agent has counted the same others for a while, and itself among them: one of the
/// balancers may know an agent that the others do not yet.
auto HasSettled(const Agent& agent, base::TimePoint now) -> bool;

}  // namespace anvildrum::packets
