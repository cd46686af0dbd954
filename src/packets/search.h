#pragma once

#include <span>
#include <vector>

#include "packets/balancer.h"
#include "packets/types/query.h"

/// Finds the agent of a flow for which the balancer has no hint, or establishes that no target
/// holds the flow.
///
/// Searches are needed when a balancer ends, since its flows then arrive at others, and after a
/// loss of power, when all flows are lost and their clients retransmit until they receive a reset.
/// Passing the packets from target to target instead accounted for 40 % of all packets that agents
/// delivered at 204 agents. Each pass ended after 64 agents, so that a flow was found only at its
/// client's third retransmission, and no flow was ever known to be lost.
///
/// The balancer queries the agents for many flows at once: first the few at which the flow was
/// probably placed, then all. An agent knows which flows its target holds, since every packet to
/// the target passes through it. An agent that is younger than its target receives the packet
/// itself, likely agents first. Only targets that may hold a flow receive its packets, and each of
/// them one packet of a flow that it does not hold. While an agent is away that may hold the flow,
/// its packets wait.
///
/// A flow is lost when, for every agent that may be alive, either the agent has answered that its
/// target does not hold the flow or the target has returned the packet. Each agent must know the
/// same agents as the querying balancer, and must have done so for long enough that each balancer
/// has sent it all that it knows; and each balancer must report that no agent is missing. At the
/// end the balancer has read the agents' records, after the flow's packet arrived.
namespace anvildrum::packets {

/// A query and the agent that receives it.
struct AddressedQuery {
  Address agent = 0;
  FlowQuery query;
};

/// The queries to send and the outcomes to handle after a step of the searches.
struct SearchStep {
  std::vector<AddressedQuery> queries;
  std::vector<SearchOutcome> outcomes;
};

/// Begins a search for the packet's flow, or updates the one in progress. `doubtful` says that the
/// packet may have been queued for long. Returns false if the limit of searches is reached.
auto BeginSearch(Balancer& balancer, const Packet& packet,
                 std::span<const base::ServiceId> services, bool doubtful, base::TimePoint now)
    -> bool;

/// Returns the queries to send now and the searches that have ended. The caller calls it every
/// kSearchCheck while there are searches.
auto StepSearches(Balancer& balancer, base::TimePoint now) -> SearchStep;

/// Interval between two steps. Flows of packets that arrive within it are queried together.
inline constexpr auto kSearchCheck = base::milliseconds{5};

/// Handles an agent's answer to a query.
auto TakeAnswer(Balancer& balancer, const FlowAnswer& answer, base::TimePoint now)
    -> std::vector<SearchOutcome>;

/// Handles an agent's message that its target holds a flow. Returns true if the flow's packet had
/// been sent to agents that could not tell: the search has then ended, and the caller forwards the
/// packets that arrived since.
auto HandleFlowLocated(Balancer& balancer, const FlowId& flow, Address agent, base::TimePoint now)
    -> bool;

/// What to do with a packet that an agent returned.
struct ReturnedPacketStep {
  bool keep = false;  ///< hold the packet until its search ends
  std::vector<SearchOutcome> outcomes;
};

/// Handles the return of a packet that was sent to an agent which could not tell whether its target
/// holds the flow. If `by_target` is true, the target does not hold the flow; otherwise the agent
/// withheld the packet, and the target may hold the flow half open.
auto HandleReturnedProbe(Balancer& balancer, const FlowId& flow, Address agent, bool by_target,
                         base::TimePoint now) -> std::vector<SearchOutcome>;

/// Handles the return of a packet that was forwarded by a hint; `by_target` is as above.
auto HandleReturnedPacket(Balancer& balancer, const Packet& packet, Address agent, bool by_target,
                          base::TimePoint now) -> ReturnedPacketStep;

}  // namespace anvildrum::packets
