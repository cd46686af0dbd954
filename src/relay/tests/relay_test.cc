#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "relay/internal/topology.h"
#include "relay/tests/fleet.h"

namespace anvildrum::relay::fleet {
namespace {

/// The parent that an instance hears from; the fleet's size when it has none or several.
auto ParentOf(const Fleet& fleet, std::size_t index) -> std::size_t {
  const auto& parents = fleet.nodes[index].state.parents;
  if (parents.size() != 1) return fleet.nodes.size();
  const auto& endpoint = parents.begin()->first;
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (EndpointOf(i) == endpoint) return i;
  }
  return fleet.nodes.size();
}

auto NobodyWentBack(const Fleet& fleet) -> bool {
  return std::none_of(fleet.nodes.begin(), fleet.nodes.end(),
                      [](const Node& node) { return node.went_back; });
}

/// A balancer that is nobody's root and passes records on to others.
auto FindInner(const Fleet& fleet) -> std::size_t {
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    const State& state = fleet.nodes[i].state;
    if (!state.root && state.children.size() > 1) return i;
  }
  return fleet.nodes.size();
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

// The child of a balancer that is killed hears nothing more and would keep an old configuration.
// Its parent is silent for two seconds; it moves to the next one, which sends what was missed.
BOOST_AUTO_TEST_CASE(ChildrenOfADeadParentMoveInTime) {
  Fleet fleet = MakeFleet(1, 40, 40);
  StartAll(fleet);
  const std::size_t dead = FindInner(fleet);
  BOOST_REQUIRE(dead < fleet.nodes.size());
  KillNode(fleet, dead);
  PutObject(fleet, "config", "{\"number\": 2}", 2);
  const auto took = RunUntil(fleet, base::seconds(6), [&] { return AllHold(fleet, 2); });
  BOOST_REQUIRE(took.has_value());
  BOOST_TEST((*took < base::seconds(4)));
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (fleet.nodes[i].up) BOOST_TEST(ParentOf(fleet, i) != dead);
  }
}

// A rack dies: a leaf's parent, the one beside it and the one above, all at once. Two seconds for
// each would take too long, so those that do not answer a subscription are passed over sooner.
BOOST_AUTO_TEST_CASE(ARowOfDeadParentsIsPassedInTime) {
  Fleet fleet = MakeFleet(1, 20, 0);
  for (Node& node : fleet.nodes) node.state.settings.policy.fan_out = 2;
  StartAll(fleet);
  const auto ranks = fleet.nodes[0].state.domains.at("fd0");
  for (std::size_t rank = 2; rank < 10; ++rank) KillNode(fleet, std::stoul(ranks[rank].name));
  PutObject(fleet, "config", "{\"number\": 2}", 2);
  const auto took = RunUntil(fleet, base::seconds(6), [&] { return AllHold(fleet, 2); });
  BOOST_REQUIRE(took.has_value());
  BOOST_TEST((*took < base::seconds(5)));
}

// A dead parent stays in the records until it is cleared, and its children ask it again now and
// then. They do so beside the parent that they have, so that no change is late for it.
BOOST_AUTO_TEST_CASE(AskingADeadParentAgainDelaysNothing) {
  Fleet fleet = MakeFleet(1, 20, 10);
  for (Node& node : fleet.nodes) node.state.settings.policy.fan_out = 2;
  StartAll(fleet);
  KillNode(fleet, std::stoul(fleet.nodes[0].state.domains.at("fd0")[2].name));
  RunFor(fleet, base::seconds(5));
  for (std::uint64_t number = 2; number < 100; ++number) {
    PutObject(fleet, "config", std::to_string(number), number);
    const auto took = RunUntil(fleet, base::seconds(6), [&] { return AllHold(fleet, number); });
    BOOST_REQUIRE(took.has_value());
    BOOST_TEST((*took < base::milliseconds(200)));
    RunFor(fleet, base::milliseconds(500));
  }
}

// At size the configuration has hundreds of kilobytes and changes 6,800 times a day. Whole values
// would cost each instance ten times its budget; a change costs what it changes.
BOOST_AUTO_TEST_CASE(AConfigurationChangeTravelsAsItsDifference) {
  Fleet fleet = MakeFleet(1, 12, 10);
  StartAll(fleet);
  std::string value;
  for (int i = 0; i < 20'000; ++i) value += std::to_string(i * 7919 % 100'003) + ",";
  PutObject(fleet, "config", value, 2);
  RunFor(fleet, base::seconds(3));
  const std::uint64_t before = fleet.nodes.back().bytes_in;
  value.replace(value.size() / 2, 5, "weigh");
  const std::uint64_t revision = PutObject(fleet, "config", value, 3);
  RunFor(fleet, base::seconds(3));
  BOOST_TEST(AllHold(fleet, 3));
  BOOST_TEST(fleet.nodes.back().bytes_in - before < 1'500U);
  for (const Node& node : fleet.nodes) {
    BOOST_TEST(FindConfig(node.state.store)->revision == revision);
    BOOST_TEST((FindConfig(node.state.store)->value == value));
  }
}

// An instance is cut off while the configuration changes more often than steps are kept. Back
// again it holds a base that nobody has a step for, and gets the value whole.
BOOST_AUTO_TEST_CASE(WithoutItsStepTheConfigurationComesWhole) {
  Fleet fleet = MakeFleet(1, 4, 2);
  StartAll(fleet);
  const std::size_t cut_off = 5;
  for (std::size_t i = 0; i < 4; ++i) SetCut(fleet, cut_off, i, true);
  for (std::uint64_t number = 2; number <= 30; ++number) {
    PutObject(fleet, "config", std::string(3000, 'x') + std::to_string(number), number);
    RunFor(fleet, base::milliseconds(100));
  }
  fleet.cuts.clear();
  BOOST_TEST(RunUntil(fleet, base::seconds(10), [&] { return AllHold(fleet, 30); }).has_value());
  BOOST_TEST(AllAgree(fleet));
}

// A balancer is stopped for a restart. It says so to its children, which hear from another at once
// rather than after a timeout.
BOOST_AUTO_TEST_CASE(ChildrenOfAStoppingParentMoveAtOnce) {
  Fleet fleet = MakeFleet(1, 40, 40);
  StartAll(fleet);
  const std::size_t stopping = FindInner(fleet);
  BOOST_REQUIRE(stopping < fleet.nodes.size());
  Deliver(fleet, stopping, StopRequested{});
  RunFor(fleet, base::milliseconds(10));
  KillNode(fleet, stopping);
  PutObject(fleet, "config", "{\"number\": 2}", 2);
  const auto took = RunUntil(fleet, base::seconds(6), [&] { return AllHold(fleet, 2); });
  BOOST_REQUIRE(took.has_value());
  BOOST_TEST((*took < base::seconds(1)));
}

// A balancer is paused for a while and wakes. All it knows is that it has heard nobody, which says
// nothing about the others: it must not take its parent for dead and become a watcher.
BOOST_AUTO_TEST_CASE(AWokenBalancerKeepsItsParent) {
  Fleet fleet = MakeFleet(1, 12, 4);
  StartAll(fleet);
  const std::size_t paused = FindInner(fleet);
  BOOST_REQUIRE(paused < fleet.nodes.size());
  const std::size_t parent = ParentOf(fleet, paused);
  Pause(fleet, paused);
  RunFor(fleet, base::seconds(20));
  // Its timer comes before the messages that waited in its sockets.
  auto& held = fleet.nodes[paused].held_events;
  std::stable_partition(held.begin(), held.end(), [](const Event& event) {
    return std::holds_alternative<TimerFired>(event);
  });
  Resume(fleet, paused);
  RunFor(fleet, base::seconds(3));
  BOOST_TEST(ParentOf(fleet, paused) == parent);
  BOOST_TEST(fleet.nodes[paused].state.counters.parents_lost == 0U);
}

// Both watchers of a domain die at once. The next balancers notice and watch in their place.
BOOST_AUTO_TEST_CASE(OthersWatchWhenBothWatchersDie) {
  Fleet fleet = MakeFleet(2, 10, 10);
  StartAll(fleet);
  for (std::size_t i = 0; i < 10; ++i) {
    if (fleet.nodes[i].state.root) KillNode(fleet, i);
  }
  RunFor(fleet, base::seconds(8));
  PutObject(fleet, "config", "{\"number\": 2}", 2);
  const auto took = RunUntil(fleet, base::seconds(6), [&] { return AllHold(fleet, 2); });
  BOOST_TEST(took.has_value());
  BOOST_TEST(Watchers(fleet) >= 4U);
}

// A whole failure domain cannot reach the platform, its instances can reach peers elsewhere. Its
// roots hear from the roots of other domains.
BOOST_AUTO_TEST_CASE(ADomainWithoutThePlatformHearsFromOthers) {
  Fleet fleet = MakeFleet(5, 6, 4);
  StartAll(fleet);
  for (Node& node : fleet.nodes) {
    node.reaches_platform = node.state.settings.self.failure_domain == "fd4";
  }
  SetDown(fleet, true);
  SetDown(fleet, false);
  RunFor(fleet, base::seconds(12));
  PutObject(fleet, "config", "{\"number\": 2}", 2);
  const auto took = RunUntil(fleet, base::seconds(6), [&] { return AllHold(fleet, 2); });
  BOOST_REQUIRE(took.has_value());
  BOOST_TEST((*took < base::seconds(1)));
}

// Two halves of a domain see different balancers, so more than two believe that they have to watch.
// That costs a few calls and never an older record; once the views agree the extra ones stop.
BOOST_AUTO_TEST_CASE(DifferentViewsGiveMoreWatchersForAWhile) {
  Fleet fleet = MakeFleet(1, 8, 6);
  StartAll(fleet);
  PeersChanged odd;
  PeersChanged even;
  PeersChanged all;
  for (std::size_t i = 0; i < 8; ++i) {
    const RelayPeer& peer = fleet.nodes[i].state.settings.self;
    all.peers.push_back(peer);
    (i % 2 == 0 ? even : odd).peers.push_back(peer);
  }
  for (std::size_t i = 0; i < 8; ++i) Deliver(fleet, i, i % 2 == 0 ? even : odd);
  RunFor(fleet, base::seconds(3));
  BOOST_TEST(Watchers(fleet) == 4U);
  PutObject(fleet, "config", "{\"number\": 2}", 2);
  BOOST_TEST(RunUntil(fleet, base::seconds(6), [&] { return AllHold(fleet, 2); }).has_value());
  for (std::size_t i = 0; i < 8; ++i) Deliver(fleet, i, all);
  RunFor(fleet, base::seconds(3));
  BOOST_TEST(Watchers(fleet) == 2U);
  BOOST_TEST(NobodyWentBack(fleet));
}

// An agent takes the records of its own service and of balancers, and nothing of other services.
BOOST_AUTO_TEST_CASE(AgentsTakeOnlyTheirService) {
  Fleet fleet = MakeFleet(1, 3, 2);
  StartAll(fleet);
  PutObject(fleet, "targets/desk/d1", "{}");
  PutObject(fleet, "targets/mapper/m1", "{}");
  RunFor(fleet, base::seconds(3));
  const Store& agent = fleet.nodes[3].state.store;
  BOOST_TEST(agent.records.contains("targets/desk/d1"));
  BOOST_TEST(!agent.records.contains("targets/mapper/m1"));
  BOOST_TEST(fleet.nodes[0].state.store.records.contains("targets/mapper/m1"));
  const std::uint64_t sent = fleet.nodes[3].state.counters.subscribes_sent;
  PutObject(fleet, "targets/mapper/m2", "{}");
  RunFor(fleet, base::seconds(5));
  BOOST_TEST(fleet.nodes[3].state.counters.subscribes_sent <= sent + 1);
  BOOST_TEST(AllAgree(fleet));
}

// An instance restarts every second for a minute. Others must not pay for it: each start costs its
// own join and a few messages, not a storm among those that stay.
BOOST_AUTO_TEST_CASE(AFlappingInstanceCostsBoundedBytes) {
  Fleet fleet = MakeFleet(1, 20, 0);
  StartAll(fleet);
  RunFor(fleet, base::seconds(60));
  std::uint64_t before = fleet.bytes;
  RunFor(fleet, base::seconds(60));
  const std::uint64_t quiet = fleet.bytes - before;
  before = fleet.bytes;
  for (int i = 0; i < 60; ++i) {
    KillNode(fleet, 7);
    StartNode(fleet, 7);
    Announce(fleet, 7);
    RunFor(fleet, base::seconds(1));
  }
  const std::uint64_t flapping = fleet.bytes - before - quiet;
  const std::uint64_t bytes_of_a_start = 8'000;
  BOOST_TEST(flapping < 60 * bytes_of_a_start);
  BOOST_TEST(RunUntil(fleet, base::seconds(30), [&] { return AllAgree(fleet); }).has_value());
}

BOOST_AUTO_TEST_CASE(RanksBelowAreAskedParentFirst) {
  BOOST_TEST(CandidateRanks(0, 8).empty());
  const std::vector<std::size_t> second{0};
  BOOST_TEST(CandidateRanks(1, 8) == second, boost::test_tools::per_element());
  const auto deep = CandidateRanks(80, 8);
  BOOST_TEST(deep.size() == 80U);
  BOOST_TEST(deep[0] == 9U);
  BOOST_TEST(deep[1] == 8U);
  BOOST_TEST(deep[2] == 1U);
  BOOST_TEST(deep[3] == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::relay::fleet
