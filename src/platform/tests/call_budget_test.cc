#include "platform/call_budget.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::platform {
namespace {

constexpr auto kStart = base::TimePoint{base::hours(1)};
constexpr auto kGet = static_cast<std::size_t>(CallKind::kGet);

auto TakeMany(CallBudget& budget, CallKind kind, int calls, base::TimePoint now) -> int {
  auto taken = 0;
  for (auto i = 0; i < calls; ++i) taken += TakeCall(budget, kind, now) ? 1 : 0;
  return taken;
}

// The platform's operators see refused calls everywhere when one instance loops without backoff.
// Its own bucket runs dry after the burst and then lets through the long-run rate alone.
BOOST_AUTO_TEST_CASE(a_loop_is_held_to_burst_and_rate) {
  auto policy = BudgetPolicy{};
  policy.reads = {2, 5};
  auto budget = MakeCallBudget(policy, kStart);
  BOOST_TEST(TakeMany(budget, CallKind::kGet, 100, kStart) == 5);
  BOOST_TEST(TakeMany(budget, CallKind::kGet, 100, kStart + base::seconds(1)) == 2);
  BOOST_TEST(TakeMany(budget, CallKind::kGet, 100, kStart + base::hours(1)) == 5);
  BOOST_TEST(budget.counts.sent[kGet] == 12U);
  BOOST_TEST(budget.counts.refused[kGet] == 288U);
}

BOOST_AUTO_TEST_CASE(kinds_do_not_starve_each_other) {
  auto budget = MakeCallBudget({}, kStart);
  TakeMany(budget, CallKind::kList, 1000, kStart);
  BOOST_TEST(!TakeCall(budget, CallKind::kGet, kStart));
  BOOST_TEST(TakeCall(budget, CallKind::kPut, kStart));
  BOOST_TEST(TakeCall(budget, CallKind::kWatch, kStart));
}

BOOST_AUTO_TEST_CASE(waiting_watches_are_counted_until_they_end) {
  auto budget = MakeCallBudget({}, kStart);
  BOOST_REQUIRE(TakeCall(budget, CallKind::kWatch, kStart));
  BOOST_REQUIRE(TakeCall(budget, CallKind::kWatch, kStart));
  FinishCall(budget, CallKind::kWatch);
  FinishCall(budget, CallKind::kGet);
  BOOST_TEST(budget.counts.waiting_watches == 1U);
}

}  // namespace
}  // namespace anvildrum::platform
