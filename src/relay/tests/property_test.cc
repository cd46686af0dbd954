#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>

#include "relay/tests/fleet.h"

namespace anvildrum::relay::fleet {
namespace {

constexpr std::uint64_t kSeeds = 60;
constexpr int kSteps = 60;

auto Draw(Fleet& fleet, std::size_t below) -> std::size_t {
  return std::uniform_int_distribution<std::size_t>(0, below - 1)(fleet.random);
}

auto Flip(Fleet& fleet, std::size_t index) -> void {
  if (fleet.nodes[index].up) {
    KillNode(fleet, index);
  } else {
    StartNode(fleet, index);
  }
}

/// One random event; `number` is the highest configuration written.
auto Disturb(Fleet& fleet, std::uint64_t& number) -> void {
  const std::size_t any = Draw(fleet, fleet.nodes.size());
  const std::string target = "targets/desk/t" + std::to_string(Draw(fleet, 6));
  switch (Draw(fleet, 8)) {
    case 0:
      return Flip(fleet, any);
    case 1:
      return SetCut(fleet, any, Draw(fleet, fleet.nodes.size()), Draw(fleet, 2) == 0);
    case 2:
      return SetDown(fleet, Draw(fleet, 3) == 0);
    case 3:
      fleet.nodes[any].reaches_platform = Draw(fleet, 2) == 0;
      return;
    case 4:
    case 5:
      ++number;
      PutObject(fleet, "config", std::string(2000, 'x') + std::to_string(number), number);
      return;
    case 6:
      PutObject(fleet, target, "{}");
      return;
    default:
      DeleteObject(fleet, target, std::nullopt);
      return;
  }
}

auto Heal(Fleet& fleet) -> void {
  fleet.loss = 0;
  fleet.cuts.clear();
  SetDown(fleet, false);
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    fleet.nodes[i].reaches_platform = true;
    if (!fleet.nodes[i].up) StartNode(fleet, i);
  }
}

BOOST_AUTO_TEST_SUITE(Property)

// Messages are lost and overtake each other, instances die and start, pairs are cut, the platform
// comes and goes, in an order drawn from a seed. Nobody ever goes back, and once it is over all
// hold the highest number and the same records.
BOOST_AUTO_TEST_CASE(NobodyGoesBackAndAllAgreeInTheEnd) {
  for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
    Fleet fleet = MakeFleet(2, 5, 4);
    fleet.random.seed(seed);
    for (Node& node : fleet.nodes) {
      node.state.settings.seed = seed;
      node.state.settings.policy.tombstone_keep = base::seconds(20);
    }
    StartAll(fleet);
    fleet.jitter = base::milliseconds(50);
    fleet.loss = 0.1;
    std::uint64_t number = 1;
    for (int i = 0; i < kSteps; ++i) {
      Disturb(fleet, number);
      RunFor(fleet, base::milliseconds(Draw(fleet, 3000)));
    }
    Heal(fleet);
    const auto took = RunUntil(fleet, base::minutes(3),
                               [&] { return AllHold(fleet, number) && AllAgree(fleet); });
    BOOST_TEST_INFO("seed " << seed);
    BOOST_TEST(took.has_value());
    for (const Node& node : fleet.nodes) {
      BOOST_TEST_INFO("seed " << seed);
      BOOST_TEST(!node.went_back);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::relay::fleet
