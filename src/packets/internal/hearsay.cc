#include "packets/hearsay.h"

#include <algorithm>

namespace anvildrum::packets {
namespace {

// Live members that `wanted` holds for, in the order of their addresses.
template <typename Wanted>
auto LivePeers(const View& view, base::TimePoint now, Wanted wanted) -> std::vector<Peer> {
  auto peers = std::vector<Peer>{};
  for (const auto& [agent, member] : view.members) {
    if (IsAlive(view, member, now) && wanted(member)) peers.push_back({agent, member.service, 0});
  }
  std::sort(peers.begin(), peers.end(),
            [](const Peer& a, const Peer& b) { return a.agent < b.agent; });
  return peers;
}

}  // namespace

auto WholeHearsay(const View& view, base::TimePoint now) -> std::vector<Hello> {
  const auto all = LivePeers(view, now, [](const Member&) { return true; });
  auto parts = std::vector<Hello>{};
  for (auto first = std::size_t{0}; first < all.size(); first += kMostHearsay) {
    const auto last = std::min(first + kMostHearsay, all.size());
    auto& part = parts.emplace_back();
    part.peers.assign(all.begin() + static_cast<std::ptrdiff_t>(first),
                      all.begin() + static_cast<std::ptrdiff_t>(last));
  }
  return parts;
}

auto NextHearsay(const View& view, std::size_t& from, base::TimePoint now) -> Hello {
  const auto is_new = [&](const Member& member) { return now - member.known_since < kHearsayNew; };
  auto hello = Hello{};
  hello.peers = LivePeers(view, now, is_new);
  hello.peers.resize(std::min(hello.peers.size(), kMostHearsay - kHearsayAgain));
  const auto others = LivePeers(view, now, [&](const Member& member) { return !is_new(member); });
  for (auto i = std::size_t{0}; i < std::min(kHearsayAgain, others.size()); ++i) {
    hello.peers.push_back(others[(from + i) % others.size()]);
  }
  from = others.empty() ? 0 : (from + kHearsayAgain) % others.size();
  return hello;
}

auto OutOfReach(const View& view, base::TimePoint running_since, base::TimePoint now)
    -> std::vector<Address> {
  auto agents = std::vector<Address>{};
  for (const auto& [agent, member] : view.members) {
    if (agents.size() == kMostOutOfReach) break;
    if (FoundOutOfReach(view, member, running_since, now)) agents.push_back(agent);
  }
  return agents;
}

}  // namespace anvildrum::packets
