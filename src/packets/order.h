#pragma once

#include <span>
#include <vector>

#include "packets/types/packet.h"
#include "packets/types/place.h"

namespace anvildrum::packets {

/// The agents in the rendezvous order of a flow (highest random weight), the same on every instance
/// that knows the same agents, in whatever order it lists them. Failure domains are ordered by
/// their weights and agents within their domain, so that one domain comes after the other. The
/// order begins with the agents of `first`, where it is one of them.
///
/// An opening is placed among the first few of this order, so that a balancer that does not
/// remember a flow finds it by a question to as many agents. Clients' packets come by balancers of
/// their own domain, so that these begin alike.
auto RendezvousOrder(const FlowId& flow, std::span<const Place> agents, DomainTag first = 0)
    -> std::vector<Address>;

/// Digest of a set of agents; never 0. `agents` in the order of their addresses.
auto DigestOf(std::span<const Place> agents) -> std::uint32_t;

/// The agent after `own` in a cyclic order of the flow that does not look at failure domains: an
/// opening that found no place in one domain finds the others just as full there, but perhaps not
/// elsewhere. `own` takes its place in the order also where it isn't listed. 0 when there is no
/// other.
auto NextAnywhere(const FlowId& flow, std::span<const Place> agents, const Place& own) -> Address;

}  // namespace anvildrum::packets
