#include "steering/placement.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace anvildrum::steering {
namespace {

auto MakeLoads(std::size_t count, std::uint32_t flows) -> std::vector<TargetLoad> {
  auto load = TargetLoad{};
  load.flows = flows;
  load.connections = 2000;
  load.slots = 4;
  load.delay = base::milliseconds(10);
  return std::vector<TargetLoad>(count, load);
}

auto PlaceAt(const std::vector<TargetLoad>& loads, std::uint32_t home) -> std::uint32_t {
  auto random = Random(7);
  return Place(PlacementPolicy{}, {loads, home, 0}, random);
}

BOOST_AUTO_TEST_CASE(a_flow_stays_at_its_home_within_the_bound) {
  BOOST_TEST(PlaceAt(MakeLoads(7, 1000), 3) == 3u);
}

BOOST_AUTO_TEST_CASE(a_home_over_its_bound_places_the_flow_elsewhere) {
  auto loads = MakeLoads(7, 1000);
  loads[3].flows = 1100;
  BOOST_TEST(PlaceAt(loads, 3) != 3u);
}

// Guards against waiting requests that would accumulate on a target that answers several times as
// slowly as the others.
BOOST_AUTO_TEST_CASE(a_slow_or_refusing_home_places_the_flow_elsewhere) {
  auto loads = MakeLoads(7, 1000);
  loads[3].delay = base::milliseconds(100);
  BOOST_TEST(PlaceAt(loads, 3) != 3u);
  loads = MakeLoads(7, 1000);
  loads[3].refused_permille = 500;
  BOOST_TEST(PlaceAt(loads, 3) != 3u);
}

// The target reports that it is idle. Only the load that agents observe may count.
BOOST_AUTO_TEST_CASE(a_target_cannot_attract_flows_by_its_own_load_report) {
  auto loads = MakeLoads(7, 1000);
  for (auto& load : loads) load.reported_load = 900;
  loads[3].reported_load = 0;
  loads[3].flows = 1500;
  BOOST_TEST(PlaceAt(loads, 3) != 3u);
}

BOOST_AUTO_TEST_CASE(no_flow_goes_over_a_connection_limit_or_to_an_ineligible_target) {
  auto loads = MakeLoads(3, 2000);
  BOOST_TEST(PlaceAt(loads, 0) == kNoTarget);
  loads[1].flows = 1999;
  BOOST_TEST(PlaceAt(loads, 0) == 1u);
  loads[1].eligible = false;
  BOOST_TEST(PlaceAt(loads, 0) == kNoTarget);
}

// A cold target joins others that are full. It gets a fifth of its share at first, and all of it
// after the slow start.
BOOST_AUTO_TEST_CASE(a_cold_target_takes_a_growing_share) {
  auto flows_until_full = [](base::Duration age) {
    auto loads = MakeLoads(7, 1000);
    loads[3].flows = 0;
    loads[3].age = age;
    while (PlaceAt(loads, 3) == 3u) ++loads[3].flows;
    return loads[3].flows;
  };
  auto at_start = flows_until_full(base::Duration::zero());
  auto at_end = flows_until_full(base::seconds(10));
  BOOST_TEST(at_start >= 150u);
  BOOST_TEST(at_start <= 250u);
  BOOST_TEST(at_end >= 1000u);
}

// One target is slow and its flows are placed elsewhere, but the others keep their flows at home.
// If their bound were derived from a mean that counts the slow target in full, each of their flows
// would cost a hop.
BOOST_AUTO_TEST_CASE(a_slow_target_does_not_displace_the_flows_of_others) {
  auto loads = MakeLoads(7, 1000);
  loads[0].delay = base::milliseconds(200);
  loads[0].flows = 300;
  for (auto home = 1u; home < 7; ++home) BOOST_TEST(PlaceAt(loads, home) == home);
}

BOOST_AUTO_TEST_CASE(every_policy_places_on_an_eligible_target) {
  auto loads = MakeLoads(5, 10);
  for (auto& load : loads) load.eligible = false;
  loads[2].eligible = true;
  auto random = Random(7);
  for (auto kind :
       {PlacementKind::kRandom, PlacementKind::kLeastReportedLoad, PlacementKind::kRendezvous,
        PlacementKind::kPowerOfTwo, PlacementKind::kHomeFirst}) {
    auto policy = PlacementPolicy{};
    policy.kind = kind;
    BOOST_TEST(Place(policy, {loads, 0, 0}, random) == 2u);
  }
}

}  // namespace
}  // namespace anvildrum::steering
