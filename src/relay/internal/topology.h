#pragma once

#include <cstddef>
#include <string>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/ids.h"
#include "base/types/time.h"
#include "relay/state.h"

namespace anvildrum::relay {

/// A peer to subscribe to.
struct Link {
  base::InstanceId instance;  ///< zero for a seed
  base::Endpoint endpoint;
};

/// Sorts the balancers into domains and ranks; for an agent also its order of preference.
auto TakePeers(State& state, const std::vector<RelayPeer>& peers) -> void;

/// Parent of rank >= 1 in a tree where each has at most `fan_out` children.
auto ParentRank(std::size_t rank, std::size_t fan_out) -> std::size_t;

/// Ranks to ask, in order: the parent, the one beside it, the ways up to the first rank, then all
/// others below `rank`.
auto CandidateRanks(std::size_t rank, std::size_t fan_out) -> std::vector<std::size_t>;

/// Whether this balancer should watch the platform: fewer than `watchers_per_domain` balancers
/// before it in its domain's order answer, as far as it can tell.
auto IsRoot(const State& state) -> bool;

/// Peers to hear from now: those in use, and beside them lost ones that are asked again.
auto WantedParents(const State& state, base::TimePoint now) -> std::vector<Link>;

/// Weight of a balancer for an agent, or for a record's key: the highest is taken first, and a
/// balancer that comes or goes moves only what it serves.
auto Weight(base::InstanceId place, base::InstanceId balancer) -> std::uint64_t;

auto ToLink(const RelayPeer& peer) -> Link;

/// The domain `steps` further round the ring of names.
auto DomainAfter(const State& state, const std::string& name, std::size_t steps)
    -> const std::vector<RelayPeer>&;

/// Whether a peer was lost and has not been heard since.
auto IsSilent(const State& state, const base::Endpoint& endpoint) -> bool;

}  // namespace anvildrum::relay
