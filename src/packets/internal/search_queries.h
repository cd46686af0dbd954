#pragma once

#include <vector>

#include "packets/search.h"

/// Selects the agents that a balancer queries for the flows of its searches, and limits the rate.
///
/// When a balancer ends, a few of its flows arrive at each of the others one by one; the likely
/// agents of each flow are queried. When all flows of a service are lost at once or arrive at one
/// balancer, each query covers many of them and the rate is limited, since a balancer with 0.12 of
/// a core has to forward packets at the same time.
namespace anvildrum::packets {

using Services = std::vector<base::ServiceId>;

/// Returns the agents that may hold a flow of these services, sorted by address.
auto AgentsOf(const Balancer& balancer, const Services& services, base::TimePoint now)
    -> std::vector<Place>;

/// Returns the agents at the head of the flow's rendezvous order, sorted by address.
auto LikelyAgents(const Balancer& balancer, const FlowId& flow, const std::vector<Place>& agents)
    -> std::vector<Place>;

/// Appends the queries of a round for the agents that have not answered yet.
auto SendQueries(const Balancer& balancer, std::uint32_t token, const QueryRound& round,
                 std::vector<AddressedQuery>& queries) -> void;

/// Queries `agents` for the flows `due`, all of the same set of services. They need not be all
/// agents of the services.
auto AskSome(Balancer& balancer, const std::vector<Place>& agents, const std::vector<FlowId>& due,
             base::TimePoint now, SearchStep& step) -> void;

/// Queries the agents of other services that may hold flows of the route for the flows `due`, which
/// are all of this route and of the same set of services.
auto AskElsewhere(Balancer& balancer, const std::vector<Place>& agents,
                  const std::vector<FlowId>& due, base::TimePoint now, SearchStep& step) -> void;

/// Queries `agents`, which must not be empty, for the flows `due`, all of the same set of services.
/// Queries to likely agents and queries to all agents alternate. Flows that exceed the rate limit
/// stay due.
auto AskFor(Balancer& balancer, const std::vector<Place>& agents, const std::vector<FlowId>& due,
            base::TimePoint now, SearchStep& step) -> void;

}  // namespace anvildrum::packets
