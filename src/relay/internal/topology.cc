#include "relay/internal/topology.h"

#include <algorithm>
#include <cmath>
#include <iterator>

namespace anvildrum::relay {
namespace {

auto ByInstance(const RelayPeer& left, const RelayPeer& right) -> bool {
  return left.instance.value < right.instance.value;
}

/// The domain's own balancers by weight, then those of all others.
auto Prefer(const State& state) -> std::vector<RelayPeer> {
  std::vector<RelayPeer> order = state.peers;
  const RelayPeer& self = state.settings.self;
  std::sort(order.begin(), order.end(), [&](const RelayPeer& left, const RelayPeer& right) {
    const bool left_is_near = left.failure_domain == self.failure_domain;
    const bool right_is_near = right.failure_domain == self.failure_domain;
    if (left_is_near != right_is_near) return left_is_near;
    return Weight(self.instance, left.instance) > Weight(self.instance, right.instance);
  });
  return order;
}

auto OwnDomain(const State& state) -> const std::vector<RelayPeer>* {
  const auto found = state.domains.find(state.settings.self.failure_domain);
  return found == state.domains.end() ? nullptr : &found->second;
}

auto RankOf(const std::vector<RelayPeer>& domain, base::InstanceId instance) -> std::size_t {
  const auto found = std::find_if(domain.begin(), domain.end(),
                                  [&](const RelayPeer& peer) { return peer.instance == instance; });
  return static_cast<std::size_t>(found - domain.begin());
}

/// Peers of one purpose: the first that answers as far as is known, and at most one before it that
/// was lost and may be asked again.
struct Choice {
  std::vector<Link> links;
  bool is_usable = false;
};

auto Choose(const State& state, const std::vector<Link>& candidates, base::TimePoint now)
    -> Choice {
  Choice choice;
  for (const Link& link : candidates) {
    const auto found = state.silent.find(link.endpoint);
    if (found == state.silent.end()) {
      choice.links.push_back(link);
      choice.is_usable = true;
      return choice;
    }
    const bool may_ask = found->second.until <= now && choice.links.empty();
    if (may_ask) choice.links.push_back(link);
  }
  return choice;
}

auto ToLinks(const State& state, const std::vector<RelayPeer>& peers) -> std::vector<Link> {
  std::vector<Link> links;
  for (const RelayPeer& peer : peers) {
    if (peer.instance != state.settings.self.instance) links.push_back(ToLink(peer));
  }
  return links;
}

auto Append(std::vector<Link>& links, const Choice& choice) -> void {
  links.insert(links.end(), choice.links.begin(), choice.links.end());
}

/// Into the first domain at or after `steps` round the ring that has an answering balancer.
auto AppendRootAt(const State& state, std::size_t steps, base::TimePoint now,
                  std::vector<Link>& links) -> void {
  const std::string& own = state.settings.self.failure_domain;
  for (; steps < state.domains.size(); ++steps) {
    const auto& domain = DomainAfter(state, own, steps);
    const Choice choice = Choose(state, ToLinks(state, domain), now);
    Append(links, choice);
    if (choice.is_usable) return;
  }
}

/// Roots hear from another root of their domain and from two other domains: the next one and the
/// one about a square root of all further round the ring. One root that reaches the platform is
/// enough for all, within twice that square root of hops.
auto RootLinks(const State& state, const std::vector<RelayPeer>& domain, base::TimePoint now)
    -> std::vector<Link> {
  std::vector<Link> links;
  Append(links, Choose(state, ToLinks(state, domain), now));
  const auto chord = static_cast<std::size_t>(std::sqrt(static_cast<double>(state.domains.size())));
  AppendRootAt(state, 1, now, links);
  if (chord > 1) AppendRootAt(state, chord, now, links);
  return links;
}

/// When every candidate is silent, the one whose time is over first is asked again at once.
auto LeastSilent(const State& state, const std::vector<Link>& candidates) -> std::vector<Link> {
  const auto until = [&](const Link& link) { return state.silent.at(link.endpoint).until; };
  const auto least = std::min_element(
      candidates.begin(), candidates.end(),
      [&](const Link& left, const Link& right) { return until(left) < until(right); });
  if (least == candidates.end()) return {};
  return {*least};
}

auto FirstUsable(const State& state, const std::vector<Link>& candidates, base::TimePoint now)
    -> std::vector<Link> {
  Choice choice = Choose(state, candidates, now);
  if (choice.links.empty()) return LeastSilent(state, candidates);
  return std::move(choice.links);
}

auto SeedLinks(const State& state) -> std::vector<Link> {
  const auto& seeds = state.settings.seeds;
  std::vector<Link> links;
  for (std::size_t i = 0; i < seeds.size(); ++i) {
    const base::Endpoint& seed = seeds[(state.seed_index + i) % seeds.size()];
    if (seed != state.settings.self.control) links.push_back({.instance = {}, .endpoint = seed});
  }
  return links;
}

auto TreeLinks(const State& state) -> std::vector<Link> {
  const std::vector<RelayPeer>* domain = OwnDomain(state);
  if (domain == nullptr) return {};
  std::vector<Link> links;
  const std::size_t rank = RankOf(*domain, state.settings.self.instance);
  for (const std::size_t candidate : CandidateRanks(rank, state.settings.policy.fan_out)) {
    links.push_back(ToLink((*domain)[candidate]));
  }
  return links;
}

auto AgentLinks(const State& state) -> std::vector<Link> {
  std::vector<Link> links;
  std::transform(state.preferred.begin(), state.preferred.end(), std::back_inserter(links), ToLink);
  return links;
}

/// A peer that was started anew is asked like any other; one that is gone needs no memory.
auto ForgetSilence(State& state, const std::vector<RelayPeer>& peers) -> void {
  const auto& seeds = state.settings.seeds;
  std::erase_if(state.silent, [&](const auto& entry) {
    const auto peer = std::find_if(peers.begin(), peers.end(), [&](const RelayPeer& candidate) {
      return candidate.control == entry.first;
    });
    if (peer == peers.end()) {
      return std::find(seeds.begin(), seeds.end(), entry.first) == seeds.end();
    }
    return std::find(state.peers.begin(), state.peers.end(), *peer) == state.peers.end();
  });
}

}  // namespace

auto Weight(base::InstanceId agent, base::InstanceId balancer) -> std::uint64_t {
  std::uint64_t mixed = agent.value ^ (balancer.value * 0x9E3779B97F4A7C15ULL);
  mixed = (mixed ^ (mixed >> 32)) * 0xD6E8FEB86659FD93ULL;
  return mixed ^ (mixed >> 32);
}

auto ToLink(const RelayPeer& peer) -> Link {
  return {.instance = peer.instance, .endpoint = peer.control};
}

auto DomainAfter(const State& state, const std::string& name, std::size_t steps)
    -> const std::vector<RelayPeer>& {
  auto place = state.domains.lower_bound(name);
  const auto index = static_cast<std::size_t>(std::distance(state.domains.begin(), place));
  place = std::next(state.domains.begin(),
                    static_cast<std::ptrdiff_t>((index + steps) % state.domains.size()));
  return place->second;
}

auto IsSilent(const State& state, const base::Endpoint& endpoint) -> bool {
  return state.silent.contains(endpoint);
}

auto TakePeers(State& state, const std::vector<RelayPeer>& peers) -> void {
  const RelayPeer& self = state.settings.self;
  ForgetSilence(state, peers);
  state.peers.clear();
  std::copy_if(peers.begin(), peers.end(), std::back_inserter(state.peers),
               [&](const RelayPeer& peer) { return peer.instance != self.instance; });
  if (state.settings.role == RelayRole::kBalancer) state.peers.push_back(self);
  std::sort(state.peers.begin(), state.peers.end(), ByInstance);
  state.domains.clear();
  for (const RelayPeer& peer : state.peers) state.domains[peer.failure_domain].push_back(peer);
  if (state.settings.role == RelayRole::kAgent) state.preferred = Prefer(state);
}

auto ParentRank(std::size_t rank, std::size_t fan_out) -> std::size_t {
  return (rank - 1) / fan_out;
}

auto CandidateRanks(std::size_t rank, std::size_t fan_out) -> std::vector<std::size_t> {
  std::vector<std::size_t> ranks;
  const auto add = [&](std::size_t candidate) {
    const bool is_known = std::find(ranks.begin(), ranks.end(), candidate) != ranks.end();
    if (candidate < rank && !is_known) ranks.push_back(candidate);
  };
  if (rank == 0) return ranks;
  const std::size_t parent = ParentRank(rank, fan_out);
  add(parent);
  add(parent == 0 ? 1 : parent - 1);
  for (std::size_t above = parent; above > 0;) {
    above = ParentRank(above, fan_out);
    add(above);
  }
  for (std::size_t other = 1; other < rank; ++other) add(other);
  return ranks;
}

auto IsRoot(const State& state) -> bool {
  if (state.settings.role != RelayRole::kBalancer) return false;
  const std::vector<RelayPeer>* domain = OwnDomain(state);
  if (domain == nullptr) return false;
  std::size_t answering = 0;
  for (const RelayPeer& peer : *domain) {
    if (peer.instance == state.settings.self.instance) return true;
    if (!IsSilent(state, peer.control)) ++answering;
    if (answering >= state.settings.policy.watchers_per_domain) return false;
  }
  return false;
}

auto WantedParents(const State& state, base::TimePoint now) -> std::vector<Link> {
  const bool is_agent = state.settings.role == RelayRole::kAgent;
  const bool knows_peers = state.peers.size() > (is_agent ? 0 : 1) || state.settings.seeds.empty();
  if (!state.store.complete || !knows_peers) {
    return FirstUsable(state, SeedLinks(state), now);
  }
  if (is_agent) return FirstUsable(state, AgentLinks(state), now);
  if (state.root) return RootLinks(state, *OwnDomain(state), now);
  return FirstUsable(state, TreeLinks(state), now);
}

}  // namespace anvildrum::relay
