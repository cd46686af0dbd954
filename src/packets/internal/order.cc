#include "packets/order.h"

#include <algorithm>
#include <functional>

#include "base/types/ids.h"

namespace anvildrum::packets {
namespace {

// The finalizer of SplitMix64 (Steele, Lea and Flood, 2014). It takes a few nanoseconds per agent,
// whereas a general hash took most of the processing time of a packet of an unknown flow.
auto Mix(std::uint64_t value) -> std::uint64_t {
  value += 0x9e3779b97f4a7c15U;
  value = (value ^ (value >> 30U)) * 0xbf58476d1ce4e5b9U;
  value = (value ^ (value >> 27U)) * 0x94d049bb133111ebU;
  return value ^ (value >> 31U);
}

auto Weight(std::uint64_t digest, std::uint64_t subject) -> std::uint64_t {
  return Mix(digest ^ Mix(subject));
}

// Distinguishes domains from agents in weights.
constexpr auto kDomainSalt = std::uint64_t{1} << 48U;

// Position of an agent in a flow's order; higher ranks come first.
struct Rank {
  std::uint64_t domain = 0;
  std::uint64_t weight = 0;
  Address agent = 0;
  auto operator<=>(const Rank&) const = default;  // NOLINT(modernize-use-nullptr): false positive
};

auto RankAnywhere(std::uint64_t digest, const Place& place) -> Rank {
  return {0, Weight(digest, place.agent), place.agent};
}

auto RankByDomain(std::uint64_t digest, const Place& place) -> Rank {
  auto rank = RankAnywhere(digest, place);
  rank.domain = Weight(digest, kDomainSalt | place.domain);
  return rank;
}

// Returns the agent with the highest rank below that of `own`, or else the highest of all others.
template <typename RankOf>
auto NextBy(RankOf rank_of, std::span<const Place> agents, const Place& own) -> Address {
  const auto own_rank = rank_of(own);
  auto first = Rank{};
  auto next = Rank{};
  for (const auto& place : agents) {
    if (place.agent == own.agent) continue;
    const auto rank = rank_of(place);
    first = std::max(first, rank);
    if (rank < own_rank) next = std::max(next, rank);
  }
  return next.agent != 0 ? next.agent : first.agent;
}

}  // namespace

auto DomainTagOf(std::string_view name) -> DomainTag {
  constexpr auto mask = (std::uint64_t{1} << kDomainTagBits) - 1;
  return static_cast<DomainTag>((base::HashName(name) & mask) | 1U);
}

auto HashOf(const FlowId& flow) -> std::uint64_t {
  return Mix(Mix(KeyOf(flow.client)) ^ KeyOf(flow.service));
}

auto OriginTagOf(Address balancer) -> std::uint16_t {
  return static_cast<std::uint16_t>(Mix(balancer) >> (64U - kOriginTagBits));
}

auto RendezvousOrder(const FlowId& flow, std::span<const Place> agents, DomainTag first)
    -> std::vector<Address> {
  const auto digest = HashOf(flow);
  auto ranked = std::vector<Rank>{};
  ranked.reserve(agents.size());
  auto in_first = std::size_t{0};
  for (const auto& place : agents) {
    ranked.push_back(RankByDomain(digest, place));
    if (place.domain == first) ++in_first;
  }
  std::sort(ranked.begin(), ranked.end(), std::greater<>{});
  auto order = std::vector<Address>{};
  order.reserve(ranked.size());
  for (const auto& rank : ranked) order.push_back(rank.agent);
  if (first == 0 || in_first == 0) return order;
  const auto weight = Weight(digest, kDomainSalt | first);
  const auto begin = std::find_if(ranked.begin(), ranked.end(),
                                  [&](const Rank& rank) { return rank.domain == weight; });
  std::rotate(order.begin(), order.begin() + (begin - ranked.begin()), order.end());
  return order;
}

auto DigestOf(std::span<const Place> agents) -> std::uint32_t {
  auto digest = std::uint64_t{0};
  for (const auto& place : agents) {
    digest = Mix(digest ^ place.agent ^ (std::uint64_t{place.domain} << 32U));
  }
  return static_cast<std::uint32_t>(digest) | 1U;
}

auto NextAnywhere(const FlowId& flow, std::span<const Place> agents, const Place& own) -> Address {
  const auto digest = HashOf(flow);
  return NextBy([&](const Place& place) { return RankAnywhere(digest, place); }, agents, own);
}

}  // namespace anvildrum::packets
