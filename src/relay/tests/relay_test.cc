#include <boost/test/unit_test.hpp>
#include <string>

#include "relay/tests/fleet.h"

namespace anvildrum::relay::fleet {
namespace {

/// Balancers first (indices 0..), domain by domain, then agents of service "desk"; every one with
/// the first balancer of each domain as a seed.
auto MakeFleet(std::size_t domains, std::size_t balancers, std::size_t agents) -> Fleet {
  Fleet fleet;
  for (std::size_t i = 0; i < domains * balancers; ++i) {
    AddNode(fleet, Balancer(i, "fd" + std::to_string(i / balancers)));
  }
  for (std::size_t i = 0; i < domains * agents; ++i) {
    AddNode(fleet, Agent(fleet.nodes.size(), "fd" + std::to_string(i / agents), "desk"));
  }
  for (Node& node : fleet.nodes) {
    for (std::size_t i = 0; i < domains; ++i) {
      node.state.settings.seeds.push_back(EndpointOf(i * balancers));
    }
  }
  return fleet;
}

auto StartAll(Fleet& fleet) -> void {
  PutObject(fleet, "config", "{\"number\": 1}", 1);
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    StartNode(fleet, i);
    if (fleet.nodes[i].state.settings.role == RelayRole::kBalancer) Announce(fleet, i);
  }
  RunFor(fleet, base::seconds(30));
}

BOOST_AUTO_TEST_SUITE(Relay)

BOOST_AUTO_TEST_CASE(AChangeIsInForceEverywhere) {
  Fleet fleet = MakeFleet(3, 12, 20);
  StartAll(fleet);
  BOOST_TEST(AllHold(fleet, 1));
  BOOST_TEST(AllAgree(fleet));
  BOOST_TEST(Watchers(fleet) == 6U);
  PutObject(fleet, "config", "{\"number\": 2}", 2);
  const auto took = RunUntil(fleet, base::seconds(6), [&] { return AllHold(fleet, 2); });
  BOOST_REQUIRE(took.has_value());
  BOOST_TEST((*took < base::seconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::relay::fleet
