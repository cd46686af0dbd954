#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <string>

#include "relay/tests/fleet.h"

namespace anvildrum::relay::fleet {
namespace {

const std::string kKey = "targets/desk/d1";

auto Suspect(Fleet& fleet, std::size_t index, std::uint64_t revision) -> void {
  Deliver(fleet, index,
          RecordSuspected{.key = kKey, .revision = revision, .failure_domain = "fd0"});
}

auto Exists(const Fleet& fleet) -> bool { return !fleet.platform.objects.at(kKey).deleted; }

/// Rank 0 of the first domain.
auto FirstClearer(const Fleet& fleet) -> std::size_t {
  return std::stoul(fleet.nodes[0].state.domains.at("fd0").front().name);
}

BOOST_AUTO_TEST_SUITE(Clearing)

// A target's agent died; several balancers see it and the announcement is taken away once.
BOOST_AUTO_TEST_CASE(SeveralReportsClearARecord) {
  Fleet fleet = MakeFleet(1, 6, 0);
  StartAll(fleet);
  const std::uint64_t revision = PutObject(fleet, kKey, "{}");
  RunFor(fleet, base::seconds(2));
  for (std::size_t i = 0; i < 6; ++i) Suspect(fleet, i, revision);
  RunFor(fleet, base::seconds(9));
  BOOST_TEST(Exists(fleet));
  RunFor(fleet, base::seconds(5));
  BOOST_TEST(!Exists(fleet));
  BOOST_TEST(AllAgree(fleet));
}

// Two balancers are cut from a target that serves everyone else. Their word alone does not take
// its announcement away.
BOOST_AUTO_TEST_CASE(TooFewReportsClearNothing) {
  Fleet fleet = MakeFleet(1, 6, 0);
  StartAll(fleet);
  const std::uint64_t revision = PutObject(fleet, kKey, "{}");
  RunFor(fleet, base::seconds(2));
  for (std::size_t i = 0; i < 2; ++i) Suspect(fleet, i, revision);
  RunFor(fleet, base::minutes(2));
  BOOST_TEST(Exists(fleet));
}

// A target answers again before the hold is over: those that suspected it withdraw.
BOOST_AUTO_TEST_CASE(AWithdrawnSuspicionClearsNothing) {
  Fleet fleet = MakeFleet(1, 6, 0);
  StartAll(fleet);
  const std::uint64_t revision = PutObject(fleet, kKey, "{}");
  RunFor(fleet, base::seconds(2));
  for (std::size_t i = 0; i < 6; ++i) Suspect(fleet, i, revision);
  RunFor(fleet, base::seconds(5));
  for (std::size_t i = 0; i < 6; ++i) Deliver(fleet, i, RecordAlive{kKey});
  RunFor(fleet, base::minutes(2));
  BOOST_TEST(Exists(fleet));
}

// The clearer is paused between deciding and writing. Its successor clears; the target starts again
// and announces its next incarnation; the first wakes and its write arrives. It must not take the
// new announcement away: the target would get no traffic although it serves.
BOOST_AUTO_TEST_CASE(AClearerThatWakesInItsWriteDoesNoHarm) {
  Fleet fleet = MakeFleet(1, 6, 0);
  StartAll(fleet);
  const std::uint64_t old_revision = PutObject(fleet, kKey, "1");
  RunFor(fleet, base::seconds(2));
  const std::size_t clearer = FirstClearer(fleet);
  fleet.nodes[clearer].holds_deletes = true;
  for (std::size_t i = 0; i < 6; ++i) Suspect(fleet, i, old_revision);
  RunFor(fleet, base::seconds(15));
  BOOST_REQUIRE(fleet.nodes[clearer].held_deletes.size() == 1U);
  BOOST_TEST(RunUntil(fleet, base::minutes(2), [&] { return !Exists(fleet); }).has_value());
  const std::uint64_t new_revision = PutObject(fleet, kKey, "2");
  ReleaseDeletes(fleet, clearer);
  RunFor(fleet, base::seconds(30));
  BOOST_TEST(Exists(fleet));
  BOOST_TEST(fleet.platform.objects.at(kKey).revision == new_revision);
  BOOST_TEST(fleet.nodes[clearer].state.counters.deletes_conflicted >= 1U);
  BOOST_TEST(AllAgree(fleet));
}

// A whole failure domain is gone, its balancers too. Those of the next domain clear what it left.
BOOST_AUTO_TEST_CASE(TheNextDomainClearsForADeadOne) {
  Fleet fleet = MakeFleet(2, 5, 0);
  StartAll(fleet);
  const std::uint64_t revision = PutObject(fleet, kKey, "{}");
  RunFor(fleet, base::seconds(2));
  for (std::size_t i = 0; i < 5; ++i) KillNode(fleet, i);
  for (std::size_t i = 5; i < 10; ++i) Suspect(fleet, i, revision);
  BOOST_TEST(RunUntil(fleet, base::minutes(4), [&] { return !Exists(fleet); }).has_value());
}

// The balancer of the next domain that a record's key draws dies as well, before it could clear.
// Its turn passes to another one, so that the record does not stay for ever.
BOOST_AUTO_TEST_CASE(ADrawnClearerThatDiesIsFollowedByAnother) {
  constexpr std::size_t balancers = 6;
  Fleet fleet = MakeFleet(2, balancers, 0);
  StartAll(fleet);
  const std::uint64_t revision = PutObject(fleet, kKey, "{}");
  RunFor(fleet, base::seconds(2));
  for (std::size_t i = 0; i < balancers; ++i) KillNode(fleet, i);
  for (std::size_t i = balancers; i < 2 * balancers; ++i) Suspect(fleet, i, revision);
  RunFor(fleet, base::seconds(35));
  const auto drawn = std::ranges::find_if(
      fleet.nodes, [](const Node& node) { return node.up && !node.state.reports.empty(); });
  BOOST_REQUIRE(drawn != fleet.nodes.end());
  KillNode(fleet, static_cast<std::size_t>(drawn - fleet.nodes.begin()));
  BOOST_TEST(Exists(fleet));
  BOOST_TEST(RunUntil(fleet, base::minutes(4), [&] { return !Exists(fleet); }).has_value());
}

// A failure domain is lost with its balancers and 120 targets. Those of the next domain share the
// reports and the deletes: a single one would have eight times its control bytes at the letter's
// size, and need minutes.
BOOST_AUTO_TEST_CASE(TheReportsOfALostDomainAreShared) {
  constexpr int targets = 120;
  constexpr std::size_t balancers = 20;
  Fleet fleet = MakeFleet(2, balancers, 0);
  StartAll(fleet);
  const auto key_of = [](int target) { return "targets/desk/t" + std::to_string(target); };
  for (int i = 0; i < targets; ++i) PutObject(fleet, key_of(i), "{}");
  RunFor(fleet, base::seconds(2));
  for (std::size_t i = 0; i < balancers; ++i) KillNode(fleet, i);
  for (int i = 0; i < targets; ++i) {
    const std::uint64_t revision = fleet.platform.objects.at(key_of(i)).revision;
    for (std::size_t reporter = balancers; reporter < balancers + 3; ++reporter) {
      Deliver(fleet, reporter, RecordSuspected{key_of(i), revision, "fd0"});
    }
  }
  RunFor(fleet, base::seconds(39));
  std::size_t most = 0;
  std::size_t all = 0;
  for (const Node& node : fleet.nodes) {
    most = std::max(most, node.up ? node.state.reports.size() : 0);
    all += node.up ? node.state.reports.size() : 0;
  }
  BOOST_TEST(all == static_cast<std::size_t>(targets));
  BOOST_TEST(most <= 24U);  // the mean of fifteen is 8
  RunFor(fleet, base::seconds(21));
  const auto is_gone = [&](int target) {
    return fleet.platform.objects.at(key_of(target)).deleted;
  };
  for (int i = 0; i < targets; ++i) BOOST_TEST(is_gone(i));
}

// A domain returns after its announcements were left for dead: deletes are spread, not a burst of
// writes at the platform.
BOOST_AUTO_TEST_CASE(DeletesAreSpread) {
  Fleet fleet = MakeFleet(1, 4, 0);
  StartAll(fleet);
  for (int i = 0; i < 40; ++i) PutObject(fleet, "targets/desk/t" + std::to_string(i), "{}");
  RunFor(fleet, base::seconds(2));
  const base::TimePoint from = fleet.now;
  for (std::size_t i = 0; i < 4; ++i) {
    for (int t = 0; t < 40; ++t) {
      const std::string key = "targets/desk/t" + std::to_string(t);
      const std::uint64_t revision = fleet.platform.objects.at(key).revision;
      Deliver(fleet, i, RecordSuspected{key, revision, "fd0"});
    }
  }
  RunFor(fleet, base::minutes(2));
  BOOST_TEST(AllAgree(fleet));
  BOOST_TEST(fleet.nodes[0].state.store.tombstones >= 40U);
  // At most two deletes a second, and the two watchers asking again after each.
  BOOST_TEST(PeakCalls(fleet, from) <= 8U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::relay::fleet
