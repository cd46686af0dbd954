#pragma once

#include <vector>

#include "packets/search.h"

/// Whom a balancer asks for the flows that it searches for, and when.
///
/// Load: a balancer ends, and a few of its flows come to each of the others, one by one: the likely
/// agents of each are asked. All flows of a service are lost at once, or come to one balancer:
/// agents are asked for many of them together, and no more often than the rate allows, since a
/// balancer of 0.12 of a core has to carry packets meanwhile.
namespace anvildrum::packets {

using Services = std::vector<base::ServiceId>;

/// The agents that may hold a flow of these services, in the order of their addresses.
auto AgentsOf(const Balancer& balancer, const Services& services, base::TimePoint now)
    -> std::vector<Place>;

/// The agents at the head of the flow's order, in the order of their addresses.
auto LikelyAgents(const Balancer& balancer, const FlowId& flow, const std::vector<Place>& agents)
    -> std::vector<Place>;

/// The queries of a round, to the agents that have not answered yet.
auto SendQueries(const Balancer& balancer, std::uint32_t token, const QueryRound& round,
                 std::vector<AddressedQuery>& queries) -> void;

/// Asks `agents`, which are not empty, for the flows `due` of one set of services. Likely agents
/// and all agents take turns; what the rate does not allow stays due.
auto AskFor(Balancer& balancer, const std::vector<Place>& agents, const std::vector<FlowId>& due,
            base::TimePoint now, SearchStep& step) -> void;

}  // namespace anvildrum::packets
