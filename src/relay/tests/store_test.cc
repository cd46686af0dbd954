#include "relay/store.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::relay {
namespace {

const base::TimePoint kNow{base::seconds(1000)};

auto Config(std::uint64_t revision, std::uint64_t number) -> PlatformObject {
  return {.key = "config", .revision = revision, .value = "{}", .number = number};
}

auto Target(std::string name, std::uint64_t revision, bool deleted = false) -> PlatformObject {
  return {.key = "targets/desk/" + std::move(name), .revision = revision, .deleted = deleted};
}

BOOST_AUTO_TEST_SUITE(Stores)

// A lagging read or a restored platform offers an older configuration. If it were taken, a policy
// that the operator had replaced would be in force again.
BOOST_AUTO_TEST_CASE(AConfigurationNeverGoesBack) {
  Store store;
  BOOST_TEST((Offer(store, Config(10, 5), false, kNow) == Verdict::kAccepted));
  BOOST_TEST((Offer(store, Config(9, 6), false, kNow) == Verdict::kStaleRevision));
  BOOST_TEST((Offer(store, Config(12, 5), false, kNow) == Verdict::kStaleNumber));
  BOOST_TEST((Offer(store, Config(12, 4), false, kNow) == Verdict::kStaleNumber));
  BOOST_TEST((Offer(store, Config(10, 5), false, kNow) == Verdict::kDuplicate));
  auto deleted = Config(13, 9);
  deleted.deleted = true;
  BOOST_TEST((Offer(store, deleted, true, kNow) == Verdict::kConfigDeleted));
  BOOST_TEST(FindConfig(store)->number == 5U);
  BOOST_TEST((Offer(store, Config(13, 6), false, kNow) == Verdict::kAccepted));
}

// A peer that missed a deletion offers the deleted target after the tombstone is gone here. If it
// were taken, new flows would go to a target that left.
BOOST_AUTO_TEST_CASE(AForgottenDeletionIsNotUndone) {
  Store store;
  store.complete = true;
  store.horizon = 7;
  BOOST_TEST((Offer(store, Target("a", 8), false, kNow) == Verdict::kAccepted));
  BOOST_TEST((Offer(store, Target("a", 9, true), false, kNow) == Verdict::kAccepted));
  store.horizon = 9;
  PruneTombstones(store, base::minutes(10), 100, kNow + base::minutes(11));
  BOOST_TEST(store.records.empty());
  BOOST_TEST(store.floor == 9U);
  BOOST_TEST((Offer(store, Target("a", 8), false, kNow) == Verdict::kForgotten));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::relay
