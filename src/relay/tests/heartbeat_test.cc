#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <numeric>
#include <string>

#include "relay/tests/fleet.h"

namespace anvildrum::relay::fleet {
namespace {

constexpr std::size_t kFull = 9;  ///< balancers of a domain whose first has as many children as go

auto IndexOfRank(const Fleet& fleet, std::size_t rank) -> std::size_t {
  return std::stoul(fleet.nodes[0].state.domains.at("fd0")[rank].name);
}

auto ParentsLost(const Fleet& fleet) -> std::uint64_t {
  return std::accumulate(fleet.nodes.begin(), fleet.nodes.end(), std::uint64_t{0},
                         [](std::uint64_t sum, const Node& node) {
                           return node.up ? sum + node.state.counters.parents_lost : sum;
                         });
}

/// Heartbeats that an instance sends to each child in a minute.
auto BeatsAMinute(Fleet& fleet, std::size_t index) -> std::uint64_t {
  const std::uint64_t before = fleet.nodes[index].state.counters.heartbeats_sent;
  RunFor(fleet, base::minutes(1));
  const State& state = fleet.nodes[index].state;
  return (state.counters.heartbeats_sent - before) / state.children.size();
}

BOOST_AUTO_TEST_SUITE(Heartbeats)

// Heartbeats on fourteen links were 2.7 of a balancer's 7 KB/s of control. Where many children hang
// on it they hear from it a third as often, and nobody takes it for dead.
BOOST_AUTO_TEST_CASE(ManyChildrenGetAThird) {
  Fleet few = MakeFleet(1, 4, 0);
  Fleet many = MakeFleet(1, kFull, 0);
  StartAll(few);
  StartAll(many);
  const std::uint64_t often = BeatsAMinute(few, IndexOfRank(few, 0));
  const std::uint64_t seldom = BeatsAMinute(many, IndexOfRank(many, 0));
  BOOST_TEST(often >= 55U);
  BOOST_TEST(3 * seldom <= often + 6);
  BOOST_TEST(ParentsLost(many) == 0U);
}

// Four of eight children die and come back a minute later: their parent's heartbeats become more
// frequent, and seldom again. Each child knows the period before it counts, so that neither those
// that stayed nor those that came back take their parent for dead.
BOOST_AUTO_TEST_CASE(AChangeOfPeriodCostsNoParent) {
  Fleet fleet = MakeFleet(1, kFull, 0);
  StartAll(fleet);
  RunFor(fleet, base::seconds(10));
  for (std::size_t rank = 5; rank < kFull; ++rank) KillNode(fleet, IndexOfRank(fleet, rank));
  RunFor(fleet, base::minutes(1));
  BOOST_TEST(BeatsAMinute(fleet, IndexOfRank(fleet, 0)) >= 55U);
  for (std::size_t rank = 5; rank < kFull; ++rank) StartNode(fleet, IndexOfRank(fleet, rank));
  RunFor(fleet, base::seconds(10));
  BOOST_TEST(BeatsAMinute(fleet, IndexOfRank(fleet, 0)) <= 23U);
  BOOST_TEST(ParentsLost(fleet) == 0U);
}

/// Time until a change, made in the moment in which the balancer of this rank dies, is in force
/// everywhere; the longest over the moments between two heartbeats.
auto LongestDelay(std::size_t rank) -> base::Duration {
  auto longest = base::Duration{};
  for (int moment = 0; moment < 16; ++moment) {
    Fleet fleet = MakeFleet(1, 40, 40);
    StartAll(fleet);
    RunFor(fleet, base::seconds(10) + moment * base::milliseconds(200));
    KillNode(fleet, IndexOfRank(fleet, rank));
    PutObject(fleet, "config", "{\"number\": 2}", 2);
    const auto took = RunUntil(fleet, base::seconds(6), [&] { return AllHold(fleet, 2); });
    BOOST_REQUIRE(took.has_value());
    longest = std::max(longest, *took);
  }
  return longest;
}

// A balancer with many children dies at any moment between two heartbeats, the root or one below
// it, and the configuration changes at once. Its children wait longer before they move than those
// of others, and the change is still in force everywhere within six seconds.
BOOST_AUTO_TEST_CASE(ADeadParentOfManyIsLeftInTime) {
  for (const std::size_t rank : {0U, 2U}) {
    const base::Duration longest = LongestDelay(rank);
    BOOST_TEST_MESSAGE("rank " << rank << ": at most " << longest / base::milliseconds(1) << " ms");
    BOOST_CHECK(longest < base::seconds(5));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::relay::fleet
