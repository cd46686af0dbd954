#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "relay/tests/fleet.h"

namespace anvildrum::relay::fleet {
namespace {

auto AllReady(const Fleet& fleet) -> bool {
  return std::all_of(fleet.nodes.begin(), fleet.nodes.end(),
                     [](const Node& node) { return !node.up || node.is_ready; });
}

BOOST_AUTO_TEST_SUITE(Platform)

// The platform is down and an instance is replaced. The new one knows nothing; it takes everything
// from a peer named in its settings and is not ready before.
BOOST_AUTO_TEST_CASE(AnInstanceJoinsFromPeersWhileThePlatformIsDown) {
  Fleet fleet = MakeFleet(2, 4, 4);
  StartAll(fleet);
  PutObject(fleet, "targets/desk/d1", "{}");
  RunFor(fleet, base::seconds(2));
  SetDown(fleet, true);
  KillNode(fleet, 3);
  KillNode(fleet, 10);
  RunFor(fleet, base::seconds(5));
  StartNode(fleet, 3);
  StartNode(fleet, 10);
  BOOST_TEST(!fleet.nodes[3].is_ready);
  BOOST_TEST(RunUntil(fleet, base::seconds(5), [&] { return AllReady(fleet); }).has_value());
  BOOST_TEST(fleet.nodes[3].number == 1U);
  BOOST_TEST(fleet.nodes[10].state.store.records.contains("targets/desk/d1"));
}

// Without the platform and without a peer that knows, an instance must not take traffic.
BOOST_AUTO_TEST_CASE(AnInstanceThatFindsNobodyIsNotReady) {
  Fleet fleet = MakeFleet(1, 3, 1);
  SetDown(fleet, true);
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) StartNode(fleet, i);
  RunFor(fleet, base::minutes(5));
  for (const Node& node : fleet.nodes) BOOST_TEST(!node.is_ready);
  SetDown(fleet, false);
  PutObject(fleet, "config", "{}", 1);
  for (std::size_t i = 0; i < 3; ++i) Announce(fleet, i);
  BOOST_TEST(RunUntil(fleet, base::minutes(2), [&] { return AllReady(fleet); }).has_value());
}

// Half an hour without the platform, with instances replaced meanwhile; then it is back with a
// backlog. Nobody but the watchers asks it, and they not at the same moment.
BOOST_AUTO_TEST_CASE(AfterALongOutageTheFleetDoesNotStampede) {
  Fleet fleet = MakeFleet(4, 10, 30);
  StartAll(fleet);
  SetDown(fleet, true);
  const base::TimePoint down_at = fleet.now;
  for (std::size_t i = 0; i < 30; ++i) {
    const std::size_t replaced = (i * 37) % fleet.nodes.size();
    KillNode(fleet, replaced);
    RunFor(fleet, base::seconds(30));
    StartNode(fleet, replaced);
    RunFor(fleet, base::seconds(30));
  }
  // Only watchers call; eight of them stand for the 52 that watch at the letter's size.
  const std::uint64_t watchers = 8;
  const std::uint64_t tenth_of_budget = 200;
  BOOST_TEST(PeakCalls(fleet, down_at) <= 2 * watchers);
  BOOST_TEST(PeakCalls(fleet, down_at) * 52 / watchers <= tenth_of_budget);
  const base::TimePoint up_at = fleet.now;
  SetDown(fleet, false);
  PutObject(fleet, "config", "{}", 2);
  for (std::size_t i = 0; i < 40; ++i) Announce(fleet, i);
  BOOST_TEST(RunUntil(fleet, base::seconds(30), [&] { return AllAgree(fleet); }).has_value());
  RunFor(fleet, base::seconds(30));
  BOOST_TEST(AllHold(fleet, 2));
  BOOST_TEST(PeakCalls(fleet, up_at) * 52 / watchers <= tenth_of_budget);
}

// The platform takes watches and never answers them. Each watcher gives its own up after the
// timeout that it named and asks again, so that records arrive late rather than never.
BOOST_AUTO_TEST_CASE(AHungWatchIsGivenUp) {
  Fleet fleet = MakeFleet(1, 3, 2);
  StartAll(fleet);
  fleet.platform.hangs = true;
  PutObject(fleet, "config", "{}", 2);
  RunFor(fleet, base::seconds(2));
  PutObject(fleet, "config", "{}", 3);
  PutObject(fleet, "targets/desk/d1", "{}");
  RunFor(fleet, base::seconds(10));
  BOOST_TEST(AllHold(fleet, 3));
  BOOST_TEST(!AllAgree(fleet));
  fleet.platform.hangs = false;
  BOOST_TEST(RunUntil(fleet, base::seconds(30), [&] { return AllAgree(fleet); }).has_value());
  BOOST_TEST(AllHold(fleet, 3));
}

auto HungWatches(const Fleet& fleet) -> std::uint64_t {
  std::uint64_t hung = 0;
  for (const Node& node : fleet.nodes) hung += node.state.counters.watches_hung;
  return hung;
}

// An answer takes longer over its caller's link than a watch may take to begin. Given up while it
// comes, it is asked for again beside itself, and none ever ends.
BOOST_AUTO_TEST_CASE(AnAnswerIsAwaitedWhileItComes) {
  Fleet fleet = MakeFleet(1, 3, 2);
  StartAll(fleet);
  fleet.platform.answer_takes = base::seconds(4);
  PutObject(fleet, "config", "{}", 2);
  PutObject(fleet, "targets/desk/d1", "{}");
  const auto is_told = [&] { return AllHold(fleet, 2) && AllAgree(fleet); };
  BOOST_TEST(RunUntil(fleet, base::seconds(10), is_told).has_value());
  BOOST_TEST(HungWatches(fleet) == 0U);
}

// The same of the first list of an instance that starts.
BOOST_AUTO_TEST_CASE(AFirstListIsAwaitedWhileItComes) {
  Fleet fleet = MakeFleet(1, 1, 0);
  fleet.platform.answer_takes = base::seconds(8);
  StartAll(fleet);
  BOOST_TEST(fleet.nodes[0].is_ready);
  BOOST_TEST(fleet.nodes[0].state.counters.polls_failed == 0U);
}

// Every watch of the platform falls silent while the configuration changes. Watchers that wait for
// theirs to end leave the old one in force everywhere.
BOOST_AUTO_TEST_CASE(AChangeIsInForceInTimeThoughWatchesAreSilent) {
  for (const std::size_t domains : {1U, 4U}) {
    Fleet fleet = MakeFleet(domains, 3, 2);
    StartAll(fleet);
    fleet.platform.hangs = true;
    PutObject(fleet, "config", "{}", 2);
    RunFor(fleet, base::seconds(2));
    for (std::uint64_t number = 3; number <= 6; ++number) {
      PutObject(fleet, "config", "{}", number);
      const base::Duration bound = base::seconds(6);
      const auto holds = [&] { return AllHold(fleet, number); };
      BOOST_TEST(RunUntil(fleet, bound, holds).has_value(), domains << " domains, " << number);
    }
  }
}

// The platform's history does not reach back to where the watcher was. It lists again instead of
// asking for ever.
BOOST_AUTO_TEST_CASE(AWatchWithoutHistoryListsAgain) {
  Fleet fleet = MakeFleet(1, 3, 2);
  StartAll(fleet);
  SetDown(fleet, true);
  RunFor(fleet, base::seconds(5));
  DeleteObject(fleet, "balancers/2", std::nullopt);
  PutObject(fleet, "targets/desk/d9", "{}");
  fleet.platform.kept_from = fleet.platform.revision;
  SetDown(fleet, false);
  BOOST_TEST(RunUntil(fleet, base::seconds(30), [&] { return AllAgree(fleet); }).has_value());
  BOOST_TEST(!fleet.nodes[0].state.store.records.contains("balancers/2") ==
             !fleet.nodes[1].state.store.records.contains("balancers/2"));
}

// One watcher's watch skips an event without a word. The other root's heartbeat carries another
// digest at the same revision, so the one that was skipped lists again, and what hangs on it too.
BOOST_AUTO_TEST_CASE(ASkippedEventIsFoundByItsDigest) {
  Fleet fleet = MakeFleet(1, 6, 6);
  StartAll(fleet);
  const std::uint64_t revision = PutObject(fleet, "targets/desk/d1", "{}");
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    if (i % 2 == 1) continue;
    // Claims everything up to the revision and holds nothing of it.
    Deliver(fleet, i, PlatformObjects{.objects = {}, .revision = revision, .complete = false});
  }
  BOOST_TEST(RunUntil(fleet, base::seconds(40), [&] { return AllAgree(fleet); }).has_value());
}

// The platform is restored from an old copy: its revisions and the configuration's number are lower
// than what is in force. Everything old is refused and counted until it has caught up.
BOOST_AUTO_TEST_CASE(ARestoredPlatformTakesNothingBack) {
  Fleet fleet = MakeFleet(1, 3, 2);
  StartAll(fleet);
  for (std::uint64_t number = 2; number <= 5; ++number) {
    PutObject(fleet, "config", std::to_string(number), number);
  }
  RunFor(fleet, base::seconds(2));
  PlatformObjects restored{
      .objects = {{.key = "config", .revision = 101, .value = "1", .number = 1}},
      .revision = 101,
      .complete = true};
  for (std::size_t i = 0; i < 3; ++i) Deliver(fleet, i, restored);
  RunFor(fleet, base::seconds(10));
  BOOST_TEST(AllHold(fleet, 5));
  BOOST_TEST(AllAgree(fleet));
  BOOST_TEST(fleet.nodes[0].state.counters.refused_stale_revision > 0U);
}

// A list comes in pages, and between two of them a target is announced and another one is removed.
// The list counts as of its first page: it holds the new one and lacks the other. The watch that
// goes on from there tells both again, and the watcher ends up with what the platform holds.
BOOST_AUTO_TEST_CASE(ChangesBetweenPagesOfAListEndUpRight) {
  Fleet fleet = MakeFleet(1, 1, 0);
  StartAll(fleet);
  PutObject(fleet, "targets/desk/kept", "{}");
  PutObject(fleet, "targets/desk/removed", "{}");
  RunFor(fleet, base::seconds(2));
  fleet.nodes[0].reaches_platform = false;
  const std::uint64_t first_page = PutObject(fleet, "targets/desk/a", "{}");
  DeleteObject(fleet, "targets/desk/removed", std::nullopt);
  PutObject(fleet, "targets/desk/z", "{}");
  PlatformObjects list{.objects = {}, .revision = first_page, .complete = true};
  for (const auto& [key, object] : fleet.platform.objects) {
    if (object.deleted) continue;
    list.objects.push_back({.key = key,
                            .revision = object.revision,
                            .deleted = false,
                            .value = object.value,
                            .number = object.number});
  }
  Deliver(fleet, 0, list);
  fleet.nodes[0].reaches_platform = true;
  RunFor(fleet, base::minutes(2));
  BOOST_TEST(AllAgree(fleet));
  BOOST_TEST(!fleet.nodes[0].went_back);
  BOOST_TEST(fleet.nodes[0].state.store.horizon == fleet.platform.revision);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::relay::fleet
