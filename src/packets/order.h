#pragma once

#include <span>
#include <vector>

#include "packets/types/packet.h"
#include "packets/types/place.h"

namespace anvildrum::packets {

/// Returns the agents in the rendezvous order (highest random weight) of a flow. The order is the
/// same on every instance that knows the same agents and does not depend on their order in
/// `agents`. Failure domains are ordered by weight, and so are the agents within each domain, which
/// stay together. The order starts with the domain `first` if any agent belongs to it.
///
/// An opening is placed among the first few agents of this order, so that a balancer that does not
/// remember a flow finds it by querying that many agents. Clients' packets arrive by balancers of
/// the clients' own domain, which therefore use the same first domain.
auto RendezvousOrder(const FlowId& flow, std::span<const Place> agents, DomainTag first = 0)
    -> std::vector<Address>;

/// Digest of a set of agents; never 0. `agents` must be sorted by address.
auto DigestOf(std::span<const Place> agents) -> std::uint32_t;

/// Returns the agent after `own` in a cyclic order of the flow that ignores failure domains: if a
/// target in one domain is full, the others there are likely full too, but those of other domains
/// may not be. `own` has its place in the order even if `agents` does not contain it. Returns 0 if
/// there is no other agent.
auto NextAnywhere(const FlowId& flow, std::span<const Place> agents, const Place& own) -> Address;

}  // namespace anvildrum::packets
