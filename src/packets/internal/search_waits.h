#pragma once

#include <optional>
#include <vector>

#include "packets/balancer.h"
#include "packets/internal/search_queries.h"
#include "packets/search.h"

/// What a search waits for before it ends without a result: a read of the agents' records, or an
/// agent that is away and may hold the flow.
namespace anvildrum::packets {

/// Returns an agent of the services that is away and may hold a flow; 0 if there is none.
auto AwayAgent(const Balancer& balancer, const Services& services, base::TimePoint now) -> Address;

/// Whether the records of all agents that may hold the flow have been read.
auto KnowsAllAgents(const Balancer& balancer, const FlowSearch& search) -> bool;

/// How long to wait for the agents' records. Where agents know others than this balancer, the
/// platform may be away, and another query may find the flow sooner.
auto RecordsTimeoutOf(const SearchPolicy& policy, const FlowSearch& search) -> base::Duration;

/// Postpones the conclusion of the search if it has to wait; `missing` is what a reset lacks.
/// Returns false if it has not.
///
/// Safeguard: while agents and balancers are restarted in turn, the packets of an open flow come to
/// balancers that do not know its agent, and that agent is away. If they were dropped, the client
/// would send the next ones up to 1.6 s later, when the agent may be away again.
auto Postpone(Balancer& balancer, FlowSearch& search, const std::optional<MissingPremise>& missing,
              base::TimePoint now) -> bool;

/// Whether an agent of the flow's services has come or returned since all agents were queried for
/// the flow, so that the answers are not those of all.
auto HaveAgentsCome(const Balancer& balancer, const FlowSearch& search, base::TimePoint now)
    -> bool;

/// Queries the agents that have come or returned since agents were last queried for the flows,
/// which all have the same set of services. Other agents have answered already.
auto AskReturned(Balancer& balancer, const Services& services, const std::vector<FlowId>& flows,
                 base::TimePoint now, SearchStep& step) -> void;

}  // namespace anvildrum::packets
