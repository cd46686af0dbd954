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

// An instance that lags offers the record of a target's earlier process. Taking it would send
// packets to a port where nobody, or another service, listens.
BOOST_AUTO_TEST_CASE(an_older_incarnation_or_revision_is_refused) {
  auto view = View{};
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow) == Applied::kChanged);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 1, 30), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 19), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow) == Applied::kUnchanged);
  BOOST_CHECK(RemoveRecord(view, base::TargetIdOf("a"), 1, 40) == Applied::kStale);
}

// A target is removed; then a peer that was frozen offers it again. The tombstone keeps it out, and
// a restart (higher incarnation) comes in.
BOOST_AUTO_TEST_CASE(a_removed_target_comes_back_only_as_a_new_incarnation) {
  auto view = View{};
  ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow);
  BOOST_CHECK(RemoveRecord(view, base::TargetIdOf("a"), 2, 21) == Applied::kChanged);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 2, 20), kNow) == Applied::kStale);
  BOOST_CHECK(ApplyRecord(view, MakeRecord("a", "desk", 3, 22), kNow) == Applied::kChanged);
  BOOST_TEST(FindTarget(view, base::TargetIdOf("a"))->record.incarnation == 3u);
}

// A process restarts on the same port as a target of another service. Balancers of the old service
// must not find it any more.
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

// The agent says that its target drains; then the platform's record from before arrives late. Were
// the drain taken back, the target would get new flows.
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
