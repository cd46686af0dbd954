#pragma once

#include <cstddef>
#include <map>
#include <vector>

#include "packets/balancer.h"
#include "packets/internal/search_queries.h"

/// Which agents are sent a flow's packet since only their targets can tell whether they hold it,
/// and what follows from the silence of such an agent.
namespace anvildrum::packets {

/// The agents that are away, by services. They are looked up once for a step of all searches.
class AwayAgents {
 public:
  AwayAgents(const Balancer& balancer, base::TimePoint now);

  /// Returns an agent of the services that is away and may hold a flow; 0 if there is none.
  auto Of(const Services& services) -> Address;

 private:
  const Balancer& balancer;
  base::TimePoint now;
  std::map<Services, Address> by_services;
};

/// Returns the agents that could not tell and may receive the packet of the round's flow at this
/// index: all of them after a query to all agents, otherwise only the likely ones if there are too
/// many. Those whose target has returned a packet of the flow are left out.
auto UnsureOf(const Balancer& balancer, const QueryRound& round, std::size_t place,
              base::TimePoint now) -> std::vector<Candidate>;

/// Whether the wait for the agents that were sent the flow's packet is over. If just one has not
/// returned it, the flow is probably there, unless it may be at an agent that is away. The wait for
/// the likely agents is shorter, since the others may hold the flow.
auto HasProbed(const Balancer& balancer, const FlowSearch& search, AwayAgents& away,
               base::TimePoint now) -> bool;

/// Whether the silence of the agent shows that its target keeps the packet: an agent that has ended
/// since is silent too.
auto KeepsPacket(const Balancer& balancer, const FlowSearch& search, Address agent,
                 base::TimePoint now) -> bool;

}  // namespace anvildrum::packets
