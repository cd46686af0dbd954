#pragma once

#include "packets/agent.h"

/// What an agent knows about the flows of its target.
namespace anvildrum::packets {

/// Whether the agent knows all flows of its target. All packets to the target pass through its
/// agent. An agent that has seen the target's first opening, or has run for longer than any flow is
/// kept, therefore knows all its flows.
///
/// Safeguard: a crashed target may restart and accept openings for up to one period before its
/// first heartbeat. If its agent restarts in that time, the new process must not treat the first
/// heartbeat as the target's start, or a flow that the target holds is reset. A balancer that knew
/// the earlier process reports it. After a power loss no balancer knows one, and there are no
/// earlier flows.
auto KnowsFlows(const Agent& agent, base::TimePoint now) -> bool;

/// Returns the routes of which the target may hold flows.
auto RoutesOf(const Agent& agent, base::TimePoint now) -> RouteSet;

}  // namespace anvildrum::packets
