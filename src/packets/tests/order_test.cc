#include "packets/order.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>

namespace anvildrum::packets {
namespace {

constexpr auto kService = End{0xc6120001, 443};

auto FlowOf(std::uint16_t port) -> FlowId { return {{0x64400007, port}, kService}; }

auto Agents(Address count) -> std::vector<Place> {
  auto agents = std::vector<Place>{};
  for (auto i = Address{1}; i <= count; ++i) agents.push_back({0x0a010000 + i, 0});
  return agents;
}

auto AddressesOf(const std::vector<Place>& places) -> std::vector<Address> {
  auto addresses = std::vector<Address>{};
  for (const auto& place : places) addresses.push_back(place.agent);
  return addresses;
}

BOOST_AUTO_TEST_CASE(the_order_does_not_depend_on_how_agents_are_listed) {
  auto agents = Agents(7);
  const auto order = RendezvousOrder(FlowOf(40001), agents);
  std::reverse(agents.begin(), agents.end());
  BOOST_TEST(RendezvousOrder(FlowOf(40001), agents) == order, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(an_agent_that_leaves_changes_no_other_place) {
  auto agents = Agents(7);
  auto order = RendezvousOrder(FlowOf(40002), agents);
  const auto gone = order[2];
  std::erase(agents, Place{gone, 0});
  std::erase(order, gone);
  BOOST_TEST(RendezvousOrder(FlowOf(40002), agents) == order, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(passing_on_visits_every_agent_once) {
  const auto agents = Agents(5);
  const auto order = RendezvousOrder(FlowOf(40003), agents);
  auto at = order[3];
  auto visited = std::vector<Address>{at};
  for (auto i = 1; i < 5; ++i) visited.push_back(at = NextAnywhere(FlowOf(40003), agents, {at, 0}));
  std::sort(visited.begin(), visited.end());
  BOOST_TEST(visited == AddressesOf(agents), boost::test_tools::per_element());
  BOOST_TEST(NextAnywhere(FlowOf(40003), agents, {at, 0}) == order[3]);
}

auto InDomains(Address count) -> std::vector<Place> {
  auto agents = Agents(count);
  for (auto& place : agents) place.domain = static_cast<DomainTag>(1 + place.agent % 3);
  return agents;
}

BOOST_AUTO_TEST_CASE(passing_on_visits_every_agent_of_all_domains_once) {
  const auto agents = InDomains(11);
  for (auto port = std::uint16_t{1}; port < 50; ++port) {
    auto at = agents[port % agents.size()];
    auto visited = std::vector<Address>{at.agent};
    for (auto i = std::size_t{1}; i < agents.size(); ++i) {
      const auto next = NextAnywhere(FlowOf(port), agents, at);
      visited.push_back(next);
      const auto same = [&](const Place& place) { return place.agent == next; };
      at = *std::find_if(agents.begin(), agents.end(), same);
    }
    std::sort(visited.begin(), visited.end());
    BOOST_TEST(visited == AddressesOf(agents), boost::test_tools::per_element());
  }
}

BOOST_AUTO_TEST_CASE(the_order_goes_through_one_domain_after_the_other) {
  const auto agents = InDomains(11);
  for (auto port = std::uint16_t{1}; port < 50; ++port) {
    const auto order = RendezvousOrder(FlowOf(port), agents);
    auto changes = 0;
    for (auto i = std::size_t{1}; i < order.size(); ++i) {
      if (order[i] % 3 != order[i - 1] % 3) ++changes;
    }
    BOOST_TEST(changes == 2);
  }
}

BOOST_AUTO_TEST_CASE(the_order_begins_with_the_domain_that_is_asked_for) {
  const auto agents = InDomains(12);
  for (const auto first : {DomainTag{1}, DomainTag{2}, DomainTag{3}}) {
    const auto order = RendezvousOrder(FlowOf(7), agents, first);
    BOOST_TEST(order.size() == agents.size());
    for (auto i = std::size_t{0}; i < 4; ++i) BOOST_TEST(1 + order[i] % 3 == first);
    const auto anyhow = RendezvousOrder(FlowOf(7), agents);
    const auto begin = std::find(anyhow.begin(), anyhow.end(), order.front());
    BOOST_TEST((std::equal(begin, anyhow.end(), order.begin())));
    BOOST_TEST((std::equal(anyhow.begin(), begin, order.begin() + (anyhow.end() - begin))));
  }
}

BOOST_AUTO_TEST_CASE(an_agent_that_is_not_listed_passes_on_from_its_own_place) {
  const auto agents = Agents(3);
  constexpr auto unlisted = Place{0x0a020001, 0};
  auto all = agents;
  all.push_back(unlisted);
  const auto order = RendezvousOrder(FlowOf(40004), all);
  const auto place = std::find(order.begin(), order.end(), unlisted.agent) - order.begin();
  const auto next = order[static_cast<std::size_t>(place + 1) % order.size()];
  BOOST_TEST(NextAnywhere(FlowOf(40004), agents, unlisted) == next);
}

BOOST_AUTO_TEST_CASE(nobody_else_is_zero) {
  const auto only = Agents(1);
  BOOST_TEST(NextAnywhere(FlowOf(1), only, only.front()) == 0U);
}

BOOST_AUTO_TEST_CASE(first_places_are_spread_evenly) {
  const auto agents = Agents(8);
  auto first = std::map<Address, int>{};
  for (auto port = std::uint16_t{1}; port <= 16000; ++port) {
    ++first[RendezvousOrder(FlowOf(port), agents).front()];
  }
  for (const auto& [agent, count] : first) {
    BOOST_TEST(count > 1800);
    BOOST_TEST(count < 2200);
  }
}

}  // namespace
}  // namespace anvildrum::packets
