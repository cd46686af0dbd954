#pragma once

#include <span>
#include <vector>

#include "packets/balancer.h"
#include "packets/types/query.h"

/// How a balancer finds a flow that it does not remember, or learns that no target holds it.
///
/// Its load: after a balancer has ended, the flows that it remembered come to others; after a loss
/// of power all flows are lost, and their clients repeat packets until somebody tells them. Packets
/// that went round the agents instead, one target after the other, were 40 % of all that agents
/// delivered at 204 agents; a round ended after 64 of them, so that flows were found by the third
/// repeat of their clients, and none was ever known to be lost.
///
/// The balancer asks the agents: first the few that the flow was probably placed at, then all, for
/// many flows at once. An agent knows what its target holds, since everything that the target gets
/// comes by way of it; one that is younger than its target is sent the packet itself, the likely
/// ones before the others. Only targets that may hold a flow see its packets.
///
/// A flow is lost when every agent that may be alive has said that its target does not hold it, or
/// the target has given its packet back. Each has to count the same agents as the balancer that
/// asks, and has to have done so for a while, in which each balancer has told it of all that it
/// knows; and each balancer says that no agent is away.
namespace anvildrum::packets {

/// A query and the agent that it goes to.
struct AddressedQuery {
  Address agent = 0;
  FlowQuery query;
};

/// What a step of the searches has led to.
struct SearchStep {
  std::vector<AddressedQuery> queries;
  std::vector<SearchOutcome> outcomes;
};

/// Begins the search for the packet's flow, or takes the packet into account where one is under
/// way. `doubtful`: the packet may have waited for long. False where no more searches fit.
auto BeginSearch(Balancer& balancer, const Packet& packet,
                 std::span<const base::ServiceId> services, bool doubtful) -> bool;

/// What is to be asked now, and searches that end without a result. Called each kSearchCheck while
/// there are searches.
auto StepSearches(Balancer& balancer, base::TimePoint now) -> SearchStep;

/// Between two steps: packets that come within it are asked for together.
inline constexpr auto kSearchCheck = base::milliseconds{5};

/// An agent's answer to a query.
auto TakeAnswer(Balancer& balancer, const FlowAnswer& answer, base::TimePoint now)
    -> std::vector<SearchOutcome>;

/// An agent says that its target holds a flow. True where the flow's packet had been sent to agents
/// that could not tell: its search has ended, and what came since follows.
auto HandleFlowLocated(Balancer& balancer, const FlowId& flow, Address agent, base::TimePoint now)
    -> bool;

/// What becomes of a packet that an agent gave back.
struct ReturnedPacketStep {
  bool keep = false;  ///< the packet is kept until its search ends
  std::vector<SearchOutcome> outcomes;
};

/// An agent that could not tell has been sent the flow's packet, and its target does not take it.
/// `by_target`: the target does not hold the flow; otherwise the agent withheld the packet, and the
/// target may hold the flow half open.
auto HandleReturnedProbe(Balancer& balancer, const FlowId& flow, Address agent, bool by_target,
                         base::TimePoint now) -> std::vector<SearchOutcome>;

/// An agent gave back a packet that was sent to it by a hint; `by_target` as above.
auto HandleReturnedPacket(Balancer& balancer, const Packet& packet, Address agent, bool by_target,
                          base::TimePoint now) -> ReturnedPacketStep;

}  // namespace anvildrum::packets
