#include "packets/hearsay.h"

#include <algorithm>
#include <tuple>

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

constexpr auto kMostNew = kMostHearsay - kHearsayAgain;

// Of a message that is sent, at most.
constexpr auto kPeerBytes = std::size_t{15};
constexpr auto kAddressBytes = std::size_t{4};

auto WasTold(const HearsayTurn& turn, const Member& member) -> bool {
  return std::tie(member.known_since, member.agent) <= std::tie(turn.known_since, turn.agent);
}

// In the order in which they became known, so that none is passed over, however many there are.
auto TellUntold(const View& view, HearsayTurn& turn, base::TimePoint now, Hello& hello) -> void {
  auto untold = std::vector<const Member*>{};
  for (const auto& [agent, member] : view.members) {
    if (!WasTold(turn, member) && IsAlive(view, member, now)) untold.push_back(&member);
  }
  const auto told = std::min(untold.size(), kMostNew);
  const auto end = untold.begin() + static_cast<std::ptrdiff_t>(told);
  std::partial_sort(untold.begin(), end, untold.end(), [](const Member* a, const Member* b) {
    return std::tie(a->known_since, a->agent) < std::tie(b->known_since, b->agent);
  });
  std::for_each(untold.begin(), end, [&](const Member* member) {
    hello.peers.push_back({member->agent, member->service, 0});
  });
  if (told == 0) return;
  turn.known_since = untold[told - 1]->known_since;
  turn.agent = untold[told - 1]->agent;
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

auto NextHearsay(const View& view, HearsayTurn& turn, base::TimePoint now) -> Hello {
  auto hello = Hello{};
  const auto before = turn;
  TellUntold(view, turn, now, hello);
  const auto is_new = [&](const Member& member) { return now - member.known_since < kHearsayNew; };
  const auto repeated = LivePeers(
      view, now, [&](const Member& member) { return is_new(member) && WasTold(before, member); });
  const auto room = std::min(kMostNew - hello.peers.size(), repeated.size());
  hello.peers.insert(hello.peers.end(), repeated.begin(),
                     repeated.begin() + static_cast<std::ptrdiff_t>(room));
  const auto others = LivePeers(
      view, now, [&](const Member& member) { return !is_new(member) && WasTold(before, member); });
  for (auto i = std::size_t{0}; i < std::min(kHearsayAgain, others.size()); ++i) {
    hello.peers.push_back(others[(turn.again + i) % others.size()]);
  }
  turn.again = others.empty() ? 0 : (turn.again + kHearsayAgain) % others.size();
  return hello;
}

auto InFrames(const Hello& message) -> std::vector<Hello> {
  const auto bytes =
      message.peers.size() * kPeerBytes + message.out_of_reach.size() * kAddressBytes;
  if (message.out_of_reach.empty() || bytes <= kMostHearsay * kPeerBytes) return {message};
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
    if (agents.size() == kMostOutOfReach) break;
    if (FoundOutOfReach(view, member, running_since, now)) agents.push_back(agent);
  }
  return agents;
}

}  // namespace anvildrum::packets
