#include "packets/gossip.h"

#include <algorithm>
#include <span>

namespace anvildrum::packets {
namespace {

constexpr auto kMaxNewPeers = kMaxGossipPeers - kGossipRepeats;

// Maximum size of an encoded entry.
constexpr auto kPeerBytes = std::size_t{15};
constexpr auto kAddressBytes = std::size_t{4};

// Returns the live agents, sorted by address.
auto LivePeers(const View& view, base::TimePoint now) -> std::vector<Peer> {
  auto peers = std::vector<Peer>{};
  for (const auto& [agent, member] : view.members) {
    if (IsAlive(view, member, now)) peers.push_back({agent, member.service, 0});
  }
  std::sort(peers.begin(), peers.end(),
            [](const Peer& a, const Peer& b) { return a.agent < b.agent; });
  return peers;
}

auto EraseSilent(GossipState& state, const View& view, base::TimePoint now) -> void {
  std::erase_if(state.announced_at, [&](const auto& told) {
    const auto member = view.members.find(told.first);
    return member == view.members.end() || !IsAlive(view, member->second, now);
  });
}

// Appends up to `most` of `peers` to the message, starting at `from` and wrapping around.
auto Append(Hello& hello, std::span<const Peer> peers, std::size_t from, std::size_t most) -> void {
  for (auto i = std::size_t{0}; i < std::min(most, peers.size()); ++i) {
    hello.peers.push_back(peers[(from + i) % peers.size()]);
  }
}

}  // namespace

auto FullGossip(const View& view, base::TimePoint now) -> std::vector<Hello> {
  const auto all = LivePeers(view, now);
  auto parts = std::vector<Hello>{};
  for (auto first = std::size_t{0}; first < all.size(); first += kMaxGossipPeers) {
    const auto last = std::min(first + kMaxGossipPeers, all.size());
    auto& part = parts.emplace_back();
    part.peers.assign(all.begin() + static_cast<std::ptrdiff_t>(first),
                      all.begin() + static_cast<std::ptrdiff_t>(last));
  }
  return parts;
}

auto NextGossip(const View& view, GossipState& state, base::TimePoint now) -> Hello {
  EraseSilent(state, view, now);
  auto untold = std::vector<Peer>{};
  auto recent = std::vector<Peer>{};
  auto others = std::vector<Peer>{};
  for (const auto& peer : LivePeers(view, now)) {
    const auto told = state.announced_at.find(peer.agent);
    if (told == state.announced_at.end()) {
      untold.push_back(peer);
    } else {
      (now - told->second < kGossipNewFor ? recent : others).push_back(peer);
    }
  }
  auto hello = Hello{};
  Append(hello, untold, 0, kMaxNewPeers);
  for (const auto& peer : hello.peers) state.announced_at[peer.agent] = now;
  Append(hello, recent, 0, kMaxNewPeers - hello.peers.size());
  Append(hello, others, state.next_repeat, kGossipRepeats);
  state.next_repeat = others.empty() ? 0 : (state.next_repeat + kGossipRepeats) % others.size();
  return hello;
}

auto SplitIntoFrames(const Hello& message) -> std::vector<Hello> {
  const auto bytes =
      message.peers.size() * kPeerBytes + message.out_of_reach.size() * kAddressBytes;
  if (message.out_of_reach.empty() || bytes <= kMaxGossipPeers * kPeerBytes) return {message};
  auto agents = message;
  agents.out_of_reach.clear();
  auto out_of_reach = message;
  out_of_reach.peers.clear();
  out_of_reach.listed = false;
  return {agents, out_of_reach};
}

auto OutOfReach(const View& view, base::TimePoint running_since, base::TimePoint now)
    -> std::vector<Address> {
  auto agents = std::vector<Address>{};
  for (const auto& [agent, member] : view.members) {
    if (agents.size() == kMaxOutOfReach) break;
    if (FoundOutOfReach(view, member, running_since, now)) agents.push_back(agent);
  }
  return agents;
}

}  // namespace anvildrum::packets
