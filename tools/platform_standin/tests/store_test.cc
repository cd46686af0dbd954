#include "platform_standin/store.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::platform_standin {
namespace {

BOOST_AUTO_TEST_CASE(writes_take_effect_under_their_condition_only) {
  auto store = Store{};
  BOOST_CHECK(Put(store, "a", "1", IfRevision{0}) == WriteResult::kConditionFailed);
  BOOST_CHECK(Put(store, "a", "1", IfAbsent{}) == WriteResult::kCreated);
  BOOST_CHECK(Put(store, "a", "2", IfAbsent{}) == WriteResult::kConditionFailed);
  BOOST_CHECK(Put(store, "b", "1", IfAbsent{}) == WriteResult::kCreated);
  BOOST_CHECK(Put(store, "a", "2", IfRevision{2}) == WriteResult::kConditionFailed);
  BOOST_CHECK(Put(store, "a", "2", IfRevision{1}) == WriteResult::kReplaced);
  BOOST_CHECK(Delete(store, "a", IfRevision{1}) == WriteResult::kConditionFailed);
  BOOST_CHECK(Delete(store, "a", IfRevision{3}) == WriteResult::kDeleted);
  BOOST_CHECK(Delete(store, "a", Unconditional{}) == WriteResult::kNotFound);
  BOOST_TEST(store.revision == 4U);
}

BOOST_AUTO_TEST_CASE(the_limit_of_a_value_is_a_mebibyte) {
  auto store = Store{};
  BOOST_CHECK(Put(store, "a", std::string(kMaxValueSize, '1'), IfAbsent{}) ==
              WriteResult::kCreated);
  BOOST_CHECK(Put(store, "b", std::string(kMaxValueSize + 1, '1'), IfAbsent{}) ==
              WriteResult::kTooLarge);
}

BOOST_AUTO_TEST_CASE(the_past_is_rebuilt_from_the_history) {
  auto store = Store{};
  Put(store, "a", "1", IfAbsent{});
  Put(store, "a", "2", Unconditional{});
  Put(store, "b", "3", IfAbsent{});
  Delete(store, "a", Unconditional{});
  BOOST_TEST(ObjectsAt(store, 0).empty());
  BOOST_TEST(*ObjectsAt(store, 1).at("a").value == "1");
  BOOST_TEST(*ObjectsAt(store, 3).at("a").value == "2");
  BOOST_TEST(ObjectsAt(store, 4).size() == 1U);
}

BOOST_AUTO_TEST_CASE(changes_are_told_in_order_until_the_history_ends) {
  auto store = Store{};
  store.history_limit = 2;
  Put(store, "t/a", "1", IfAbsent{});
  Put(store, "x", "2", IfAbsent{});
  Delete(store, "t/a", Unconditional{});
  BOOST_TEST(!ChangesAfter(store, "t/", 0).has_value());
  auto changes = ChangesAfter(store, "t/", 1).value();
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].revision == 3U);
  BOOST_TEST(!changes[0].after.has_value());
  BOOST_TEST(ChangesAfter(store, "t/", 3).value().empty());
}

}  // namespace
}  // namespace anvildrum::platform_standin
