#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <vector>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "packets/balancer.h"
#include "packets/control.h"

/// What a balancer says to the agents that it knows.
namespace anvildrum::packets {

/// Agents in one hello to an agent: with 7 bytes each at most it stays below 1,300 bytes, so that
/// no datagram is longer than an Ethernet frame. kMaxHelloParts of them are 11,520 agents of a
/// service.
inline constexpr auto kAgentsInHello = std::size_t{180};

/// To the agents of one service.
struct ServiceHello {
  Hello brief;                ///< without the list
  std::vector<Hello> listed;  ///< the list, in parts, for agents that ask for it
};

/// To each agent the live agents of its own service: the set along which agents pass openings on,
/// and the one that this balancer asks for flows.
auto MakeHellos(const Balancer& balancer, base::TimePoint now)
    -> std::map<base::ServiceId, ServiceHello>;

/// The parts of the list that the report asks for; none where it asks for none, or for another one
/// than `hellos` name.
auto WantedParts(const std::map<base::ServiceId, ServiceHello>& hellos, const TargetReport& report)
    -> std::span<const Hello>;

/// The hello in parts of kAgentsInHello peers; one part where it fits. Peers beyond kMaxHelloParts
/// are left out, and `complete` is false then.
///
/// Safeguard: a list that is longer than a datagram never leaves its balancer. Agents of a service
/// of 170 then knew no other, and packets of flows that nobody remembered reached nobody:
/// an established flow was silent as soon as its packets came by another balancer.
auto SplitHello(const Hello& hello) -> std::vector<Hello>;

}  // namespace anvildrum::packets
