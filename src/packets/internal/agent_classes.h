#pragma once

#include <cstdint>

#include "packets/agent.h"

/// The classes of the service's routes, as told by balancers.
namespace anvildrum::packets {

/// Handles the classes that a balancer's hello announces, and requests them if the agent holds
/// others of the same or a lower version. A set without routes applies at once. While any balancer
/// still announces the known set, another one of the same version is not requested.
///
/// Safeguard: balancers of two builds may split the same configuration into different sets. An
/// agent that followed each hello would request the sets in turn forever, up to 60 kB each.
auto NoteClassesOffer(Agent& agent, Address balancer, const Hello& hello, base::TimePoint now)
    -> void;

/// Returns the digest of the classes to request in the next report to the balancer; 0 if none. A
/// request is returned once, since the balancer answers each report that carries it.
auto TakeRequestFor(Agent& agent, Address balancer) -> std::uint32_t;

}  // namespace anvildrum::packets
