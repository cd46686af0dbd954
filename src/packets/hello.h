#pragma once

#include <cstddef>
#include <map>
#include <span>
#include <vector>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "packets/balancer.h"
#include "packets/control.h"
#include "packets/route_classes.h"

/// Builds the hellos that a balancer sends to its agents.
namespace anvildrum::packets {

/// Maximum number of agents in one hello to an agent. At up to 7 bytes each the hello stays below
/// 1,300 bytes, so that no datagram is longer than an Ethernet frame. kMaxHelloParts parts hold
/// 11,520 agents of a service.
inline constexpr auto kAgentsInHello = std::size_t{180};

/// The hellos to the agents of one service.
struct ServiceHello {
  Hello brief;                ///< without the list
  std::vector<Hello> listed;  ///< the list, in parts, for agents that request it
};

/// Returns the hellos by service. Each lists the agents of the service that may hold flows: agents
/// pass openings on among these, and this balancer queries the same set for flows.
auto MakeHellos(const Balancer& balancer, base::TimePoint now)
    -> std::map<base::ServiceId, ServiceHello>;

/// Returns the parts of the list that the report requests. The result is empty if the report
/// requests none, or a list other than the one in `hellos`. It refers to `hellos`.
auto WantedParts(const std::map<base::ServiceId, ServiceHello>& hellos, const TargetReport& report)
    -> std::span<const Hello>;

/// Returns the parts of the route classes that the report requests. The result is empty if the
/// report requests none, or a set other than the one in `classes`. It refers to `classes`.
auto RequestedClasses(const ClassesByService& classes, const TargetReport& report)
    -> std::span<const RouteClassesPart>;

/// Splits the hello into parts of kAgentsInHello peers; there is always at least one part. Peers
/// beyond kMaxHelloParts parts are left out, and `complete` is then false in every part.
///
/// Safeguard: a list that is longer than a datagram cannot be sent. In a service of 170 agents,
/// none knew any other, and packets of flows that no instance remembered were delivered to none: an
/// established flow stalled as soon as its packets arrived by another balancer.
auto SplitHello(const Hello& hello) -> std::vector<Hello>;

}  // namespace anvildrum::packets
