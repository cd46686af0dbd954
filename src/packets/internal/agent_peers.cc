#include "packets/internal/agent_peers.h"

#include <algorithm>
#include <functional>
#include <iterator>
#include <optional>
#include <span>
#include <unordered_set>
#include <utility>
#include <vector>

#include "packets/internal/agent_classes.h"
#include "packets/order.h"

namespace anvildrum::packets {
namespace {

auto AgentsOf(const Hello& hello) -> std::vector<Place> {
  auto agents = std::vector<Place>{};
  for (const auto& peer : hello.peers) agents.push_back({peer.agent, peer.domain});
  return agents;
}

// Stores one part of a balancer's list. Returns the whole list once all parts have been received.
auto AddListPart(BalancerHello& known, const Hello& hello) -> std::optional<std::vector<Place>> {
  if (known.list_parts_digest != hello.digest || known.list_parts.size() != hello.parts) {
    known.list_parts_digest = hello.digest;
    known.list_parts.assign(hello.parts, {});
  }
  known.list_parts[hello.part] = AgentsOf(hello);
  auto whole = std::vector<Place>{};
  for (const auto& part : known.list_parts) {
    if (part.empty() && hello.parts > 1) return std::nullopt;
    whole.insert(whole.end(), part.begin(), part.end());
  }
  known.list_parts.clear();
  return whole;
}

auto Contains(std::span<const Address> agents, Address agent) -> bool {
  return std::find(agents.begin(), agents.end(), agent) != agents.end();
}

// Assigns a received list to every balancer that announced its digest.
auto TakeList(Agent& agent, std::uint32_t digest, const PeerList& list) -> void {
  if (agent.wanted && agent.wanted->digest == digest) agent.wanted.reset();
  for (auto& [balancer, known] : agent.balancers) {
    if (known.said.digest != digest) continue;
    known.peers = list;
    known.digest = digest;
  }
}

// Uses the list of another balancer if it has the digest that this balancer announced.
auto AdoptKnownList(Agent& agent, BalancerHello& known) -> void {
  known.digest = 0;
  for (const auto& [balancer, other] : agent.balancers) {
    if (other.digest != known.said.digest) continue;
    known.peers = other.peers;
    known.digest = other.digest;
    return;
  }
}

// Requests the announced list from the balancer, unless it was just requested from another one.
//
// Safeguard: all balancers announce a new list at about the same time. When each agent requested it
// from each balancer, 91 balancers sent the same list to 163 agents, twice a second while targets
// were replaced.
auto RequestList(Agent& agent, Address balancer, std::uint32_t digest, base::TimePoint now)
    -> void {
  const auto& wanted = agent.wanted;
  const auto asked =
      wanted && wanted->digest == digest && now - wanted->at < agent.policy.list_request_timeout;
  if (!asked) agent.wanted = WantedList{digest, balancer, now};
}

}  // namespace

auto IsFresh(const Agent& agent, const BalancerHello& hello, base::TimePoint now) -> bool {
  return now - hello.at <= std::max(agent.policy.hello_lifetime, kReportsMissed * hello.every);
}

// Most balancers announce the same list, so each distinct list is merged only once.
auto MergePeers(Agent& agent, base::TimePoint now) -> void {
  agent.merged_at = now;
  agent.peers_stale = false;
  auto all = std::vector<Place>{};
  auto taken = std::unordered_set<std::uint32_t>{};
  for (const auto& [balancer, hello] : agent.balancers) {
    if (!hello.peers || !IsFresh(agent, hello, now)) continue;
    if (hello.digest != 0 && !taken.insert(hello.digest).second) continue;
    all.insert(all.end(), hello.peers->begin(), hello.peers->end());
  }
  std::sort(all.begin(), all.end(), std::greater<>{});
  const auto same_agent = [](const Place& a, const Place& b) { return a.agent == b.agent; };
  all.erase(std::unique(all.begin(), all.end(), same_agent), all.end());
  std::reverse(all.begin(), all.end());
  if (all == agent.peers) return;
  const auto added = !std::includes(agent.peers.begin(), agent.peers.end(), all.begin(), all.end());
  agent.peers = std::move(all);
  agent.peers_digest = DigestOf(agent.peers);
  if (added) agent.peers_since = now;
}

auto OpenPeers(const Agent& agent) -> std::vector<Place> {
  auto open = std::vector<Place>{};
  std::copy_if(agent.peers.begin(), agent.peers.end(), std::back_inserter(open),
               [&](const Place& peer) {
                 return peer.agent != agent.own && !IsDrained(agent.drained, peer.domain);
               });
  return open;
}

// The target of a domain that returns to service may have just become cold. Until its next
// heartbeat it receives openings at the rate of a cold target.
auto TakeDrainedOf(Agent& agent, const Hello& hello) -> void {
  const auto was_drained = IsDrained(agent.drained, agent.domain);
  TakeDrained(agent.drained, hello.drained);
  if (!hello.drains_unknown) agent.drains_told = true;
  if (was_drained && !IsDrained(agent.drained, agent.domain)) agent.target.cold_doubtful = true;
}

auto DrainedFor(const Agent& agent, Address balancer) -> DrainedDomains {
  const auto entry = agent.balancers.find(balancer);
  if (entry == agent.balancers.end()) return agent.drained;
  const auto& known = entry->second.said.drained;
  const auto knows = known.revision != 0 && known.domains == agent.drained.domains;
  return knows || known.revision >= agent.drained.revision ? DrainedDomains{} : agent.drained;
}

// While an agent is unreachable, or may be unknown to some balancer, a flow cannot be considered
// lost.
auto KnowsAll(const Agent& agent, base::TimePoint now) -> bool {
  auto heard = false;
  for (const auto& [balancer, hello] : agent.balancers) {
    if (!IsFresh(agent, hello, now)) continue;
    if (!hello.said.complete || hello.digest == 0) return false;
    heard = true;
  }
  return heard;
}

// A balancer with a longer hello period announces an agent that it alone knows later. It informs
// all agents of a change within a tenth of its period.
auto HasSettled(const Agent& agent, base::TimePoint now) -> bool {
  auto settling_time = agent.policy.settling_time;
  for (const auto& [balancer, hello] : agent.balancers) {
    settling_time = std::max<base::Duration>(settling_time, hello.every / 4);
  }
  if (agent.peers_stale || now - agent.peers_since < settling_time) return false;
  const auto own = Place{agent.own, agent.domain};
  return std::binary_search(agent.peers.begin(), agent.peers.end(), own);
}

auto HoldsConfigurationCopy(const Agent& agent) -> bool {
  auto places = agent.peers;
  // The order ignores the domains, so that the copies are spread over all of them.
  for (auto& place : places) place.domain = 0;
  const auto order = RendezvousOrder({}, places);
  const auto keepers = std::span{order}.first(std::min(order.size(), kConfigurationCopies));
  return Contains(keepers, agent.own);
}

auto BalancersOf(const Agent& agent, std::uint16_t origin) -> std::vector<Address> {
  auto balancers = std::vector<Address>{};
  for (const auto& [balancer, hello] : agent.balancers) {
    if (OriginTagOf(balancer) == origin) balancers.push_back(balancer);
  }
  return balancers;
}

auto SilentBalancers(const Agent& agent, std::size_t most, base::TimePoint now)
    -> std::vector<Address> {
  auto silent = std::vector<std::pair<base::TimePoint, Address>>{};
  for (const auto& [balancer, hello] : agent.balancers) {
    if (now - hello.at > 2 * hello.every) silent.emplace_back(hello.at, balancer);
  }
  std::sort(silent.begin(), silent.end(), std::greater<>{});
  silent.resize(std::min(silent.size(), most));
  auto balancers = std::vector<Address>{};
  for (const auto& [heard, balancer] : silent) balancers.push_back(balancer);
  return balancers;
}

auto RefreshPeers(Agent& agent, base::TimePoint now) -> void {
  const auto lapsed = now - agent.merged_at > agent.policy.hello_lifetime / 2;
  if (agent.peers_stale || lapsed) MergePeers(agent, now);
}

auto TakeHello(Agent& agent, Address balancer, const Hello& hello, base::TimePoint now) -> bool {
  TakeDrainedOf(agent, hello);
  if (hello.service != agent.service) return false;
  if (hello.revision != 0) agent.cold_per_second = hello.cold_per_second;
  auto& known = agent.balancers[balancer];
  const auto late = !IsFresh(agent, known, now);
  const auto before = known.digest;
  known.at = now;
  known.every = hello.every;
  if (Contains(hello.restarted, agent.own)) agent.had_predecessor = true;
  auto whole = hello.listed ? AddListPart(known, hello) : std::nullopt;
  known.said = hello;
  known.said.peers.clear();
  if (whole) {
    TakeList(agent, hello.digest, std::make_shared<const std::vector<Place>>(std::move(*whole)));
  } else if (known.digest != hello.digest) {
    AdoptKnownList(agent, known);
  }
  if (known.digest == 0 && !hello.listed) RequestList(agent, balancer, hello.digest, now);
  NoteClassesOffer(agent, balancer, hello, now);
  if (whole || late || known.digest != before) agent.peers_stale = true;
  return true;
}

}  // namespace anvildrum::packets
