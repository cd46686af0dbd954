#include "membership/view.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::membership {
namespace {

auto MakeRecord(const char* name, const char* service, base::Incarnation incarnation,
                std::uint64_t revision) -> TargetRecord {
  auto record = TargetRecord{};
  record.name = name;
  record.id = base::TargetIdOf(name);
  record.service_name = service;
  record.service = base::ServiceIdOf(service);
  record.instance = base::InstanceIdOf(name);
  record.incarnation = incarnation;
  record.revision = revision;
  return record;
}

constexpr auto kNow = base::TimePoint{base::seconds(1)};

// A lagging instance offers the record of a target's earlier process. If it were accepted, packets
// would go to a port where nothing, or another service, listens.
BOOST_AUTO_TEST_CASE(an_older_incarnation_or_revision_is_refused) {
  auto view = View{};
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow) == Applied::kChanged);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 1, 20), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 1, 19), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 19), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 3, 19), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow) == Applied::kUnchanged);
  BOOST_CHECK(RemoveRecord(view, base::TargetIdOf("a"), 1, 40) == Applied::kStale);
}

// A peer that was stopped offers a target that has been removed. The tombstone has to refuse it,
// and a restart (higher incarnation) has to be accepted.
BOOST_AUTO_TEST_CASE(a_removed_target_comes_back_only_as_a_new_incarnation) {
  auto view = View{};
  ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow);
  BOOST_CHECK(RemoveRecord(view, base::TargetIdOf("a"), 2, 21) == Applied::kChanged);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 3, 22), kNow) == Applied::kChanged);
  BOOST_TEST(FindTarget(view, base::TargetIdOf("a"))->record.incarnation == 3u);
}

// A target drains, its machine's clock is set back by hours, and it starts again. If incarnations
// were compared, all instances would refuse its record until the clock has caught up. Order: start,
// removal, start with a lower incarnation, then a late record of the first start.
BOOST_AUTO_TEST_CASE(a_start_after_the_clock_was_set_back_is_accepted) {
  auto view = View{};
  auto id = base::TargetIdOf("a");
  ApplyRecord(view, MakeRecord("a", "desk", 9, 20), kNow);
  RemoveRecord(view, id, 9, 21);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 22), kNow) == Applied::kChanged);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 9, 20), kNow) == Applied::kStale);
  BOOST_CHECK(RemoveRecord(view, id, 2, 21) == Applied::kStale);
  BOOST_TEST(FindTarget(view, id)->record.incarnation == 2u);
  BOOST_CHECK(RemoveRecord(view, id, 2, 23) == Applied::kChanged);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 9, 20), kNow) == Applied::kStale);
}

// The same on an instance that did not see the removal, since the relay forwards only the last
// state of a key.
BOOST_AUTO_TEST_CASE(a_lower_incarnation_is_accepted_without_the_removal) {
  auto view = View{};
  ApplyRecord(view, MakeRecord("a", "desk", 9, 20), kNow);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 22), kNow) == Applied::kChanged);
  auto balancer = BalancerRecord{};
  balancer.incarnation = 9;
  balancer.revision = 23;
  ApplyBalancer(view, balancer);
  balancer.incarnation = 2;
  balancer.revision = 24;
  BOOST_CHECK(ApplyBalancer(view, balancer) == Applied::kChanged);
  balancer.incarnation = 9;
  balancer.revision = 23;
  BOOST_CHECK(ApplyBalancer(view, balancer) == Applied::kStale);
}

auto RestartOfA(base::Incarnation incarnation) -> Restart {
  auto record = MakeRecord("a", "desk", 2, 20);
  return {record.id, record.service, incarnation, record.revision, record.tunnel};
}

// A target restarts while the platform is unreachable. Its agent's notice has to put the new
// process under the record in force, and the platform's later record has a higher revision and has
// to replace it.
BOOST_AUTO_TEST_CASE(a_restart_updates_the_record_until_a_newer_revision) {
  auto view = View{};
  auto id = base::TargetIdOf("a");
  ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow);
  ApplyDrain(view, id, 2);
  SetSuspect(view, id, true);
  BOOST_CHECK(ApplyRestart(view, RestartOfA(3), kNow) == Applied::kChanged);
  BOOST_CHECK(StateOf(*FindTarget(view, id)) == TargetState::kLive);
  BOOST_CHECK(ApplyRestart(view, RestartOfA(3), kNow) == Applied::kUnchanged);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 3, 21), kNow) == Applied::kChanged);
  BOOST_CHECK(ApplyRestart(view, RestartOfA(4), kNow) == Applied::kStale);
  BOOST_TEST(FindTarget(view, id)->record.incarnation == 3u);
}

// Notices that must be refused: of a removed target, of an earlier process, based on another
// record, of a second agent with the same name at another address, and of another service.
BOOST_AUTO_TEST_CASE(a_restart_that_does_not_match_the_record_is_refused) {
  auto view = View{};
  BOOST_CHECK(ApplyRestart(view, RestartOfA(3), kNow) == Applied::kStale);
  ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow);
  auto refused = [&](auto change) {
    auto restart = RestartOfA(3);
    change(restart);
    return ApplyRestart(view, restart, kNow) == Applied::kStale;
  };
  BOOST_TEST(refused([](Restart& restart) { restart.incarnation = 1; }));
  BOOST_TEST(refused([](Restart& restart) { restart.revision = 19; }));
  BOOST_TEST(refused([](Restart& restart) { restart.revision = 21; }));
  BOOST_TEST(refused([](Restart& restart) { restart.tunnel.port = 9; }));
  BOOST_TEST(refused([](Restart& restart) { restart.service = base::ServiceIdOf("mapper"); }));
  RemoveRecord(view, base::TargetIdOf("a"), 2, 22);
  BOOST_CHECK(ApplyRestart(view, RestartOfA(3), kNow) == Applied::kStale);
  BOOST_TEST(view.services.front().targets.empty());
}

// The record is removed while a restarted process serves under it. Its incarnation is removed with
// it, and late copies of its notice or of the record must not restore it.
BOOST_AUTO_TEST_CASE(a_restart_is_removed_with_its_record) {
  auto view = View{};
  auto id = base::TargetIdOf("a");
  ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow);
  ApplyRestart(view, RestartOfA(3), kNow);
  BOOST_CHECK(RemoveRecord(view, id, 3, 22) == Applied::kChanged);
  BOOST_CHECK(ApplyRestart(view, RestartOfA(3), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 3, 23), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 4, 23), kNow) == Applied::kChanged);
}

// A process restarts on the same port as a target of another service. Balancers must no longer find
// it in the old service.
BOOST_AUTO_TEST_CASE(a_target_that_restarts_under_another_service_leaves_the_first) {
  auto view = View{};
  ApplyRecord(view, MakeRecord("a", "desk", 1, 1), kNow);
  ApplyRecord(view, MakeRecord("a", "mapper", 2, 2), kNow);
  BOOST_TEST(FindService(view, base::ServiceIdOf("desk"))->targets.empty());
  BOOST_TEST(FindService(view, base::ServiceIdOf("mapper"))->targets.size() == 1u);
}

BOOST_AUTO_TEST_CASE(the_digest_depends_on_what_is_shared_and_not_on_order_or_suspicion) {
  auto one = View{};
  auto other = View{};
  ApplyRecord(one, MakeRecord("a", "desk", 1, 1), kNow);
  ApplyRecord(one, MakeRecord("b", "desk", 1, 2), kNow);
  ApplyRecord(other, MakeRecord("b", "desk", 1, 2), kNow);
  ApplyRecord(other, MakeRecord("a", "desk", 1, 1), kNow);
  auto digest = [](const View& view) { return view.services.front().digest; };
  BOOST_TEST(digest(one) == digest(other));
  SetSuspect(one, base::TargetIdOf("a"), true);
  BOOST_TEST(digest(one) == digest(other));
  ApplyDrain(one, base::TargetIdOf("a"), 1);
  BOOST_TEST(digest(one) != digest(other));
}

BOOST_AUTO_TEST_CASE(a_drain_notice_of_an_earlier_incarnation_is_refused) {
  auto view = View{};
  ApplyRecord(view, MakeRecord("a", "desk", 2, 1), kNow);
  BOOST_CHECK(ApplyDrain(view, base::TargetIdOf("a"), 1) == Applied::kStale);
  BOOST_CHECK(StateOf(*FindTarget(view, base::TargetIdOf("a"))) == TargetState::kLive);
}

// The agent announces that its target drains, and an older record of the platform arrives late. If
// that ended the drain, the target would get new flows.
BOOST_AUTO_TEST_CASE(a_record_from_before_the_drain_does_not_end_it) {
  auto view = View{};
  ApplyRecord(view, MakeRecord("a", "desk", 1, 1), kNow);
  ApplyDrain(view, base::TargetIdOf("a"), 1);
  ApplyRecord(view, MakeRecord("a", "desk", 1, 2), kNow);
  BOOST_CHECK(StateOf(*FindTarget(view, base::TargetIdOf("a"))) == TargetState::kDraining);
  ApplyRecord(view, MakeRecord("a", "desk", 2, 3), kNow);
  BOOST_CHECK(StateOf(*FindTarget(view, base::TargetIdOf("a"))) == TargetState::kLive);
}

}  // namespace
}  // namespace anvildrum::membership
