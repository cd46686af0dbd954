#include "tools/target_standin/work.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::target {
namespace {

const auto kStart = base::TimePoint{} + base::hours(1);

auto MakeWork(unsigned slots) -> Work {
  auto work = Work{};
  work.settings.slots = slots;
  work.settings.service_time = base::milliseconds(20);
  work.random.seed(7);
  return work;
}

BOOST_AUTO_TEST_CASE(no_more_requests_run_than_there_are_slots) {
  auto work = MakeWork(2);
  auto first = Admit(work, "a", kStart);
  BOOST_REQUIRE(first.has_value());
  BOOST_TEST(Admit(work, "b", kStart).has_value());
  BOOST_TEST(!Admit(work, "c", kStart).has_value());
  BOOST_CHECK(Finish(work, first->job, kStart) == JobOutcome::kDone);
  BOOST_TEST(Admit(work, "d", kStart).has_value());
  BOOST_TEST(work.refused == 1U);
}

// A refused request must not count as executed: the proofs rest on "not run" being true.
BOOST_AUTO_TEST_CASE(executions_count_admitted_requests_alone) {
  auto work = MakeWork(2);
  Admit(work, "a", kStart);
  Admit(work, "a", kStart);
  Admit(work, "c", kStart);
  BOOST_TEST(work.executions.at("a") == 2U);
  BOOST_TEST(!work.executions.contains("c"));
}

BOOST_AUTO_TEST_CASE(draining_target_refuses_and_finishes_what_runs) {
  auto work = MakeWork(2);
  auto running = Admit(work, "a", kStart);
  SetDraining(work, true, kStart);
  BOOST_TEST(!Admit(work, "b", kStart).has_value());
  BOOST_CHECK(Finish(work, running->job, kStart) == JobOutcome::kDone);
  BOOST_TEST(work.in_flight == 0U);
}

BOOST_AUTO_TEST_CASE(cancelled_request_frees_its_slot_once) {
  auto work = MakeWork(1);
  auto running = Admit(work, "a", kStart);
  BOOST_CHECK(Cancel(work, "a", kStart) == running->job);
  BOOST_TEST(!Cancel(work, "a", kStart).has_value());
  BOOST_TEST(Admit(work, "b", kStart).has_value());
  BOOST_CHECK(Finish(work, running->job, kStart) == JobOutcome::kCancelled);
  BOOST_TEST(work.in_flight == 1U);
}

// A target that starts what it cannot finish burns a slot for an answer that nobody reads, and then
// has to say "unknown" where "not run" would have been true.
BOOST_AUTO_TEST_CASE(request_that_cannot_finish_in_time_is_not_run) {
  auto work = MakeWork(1);
  BOOST_TEST(!Admit(work, "a", kStart, base::milliseconds(19)).has_value());
  BOOST_TEST(!work.executions.contains("a"));
  BOOST_TEST(Admit(work, "a", kStart, base::milliseconds(40)).has_value());
}

// A run that turns out longer than its client waits stops then, and the slot is free.
BOOST_AUTO_TEST_CASE(run_ends_at_the_deadline) {
  auto work = MakeWork(1);
  auto expired = 0;
  for (auto i = 0; i < 100; ++i) {
    auto running = Admit(work, "a", kStart, base::milliseconds(20)).value();
    BOOST_CHECK(running.run_time <= base::milliseconds(20));
    if (Finish(work, running.job, kStart) == JobOutcome::kExpired) ++expired;
  }
  BOOST_TEST(work.in_flight == 0U);
  BOOST_TEST(expired > 20);
  BOOST_TEST(expired < 80);
  BOOST_TEST(work.expired == static_cast<std::uint64_t>(expired));
}

BOOST_AUTO_TEST_CASE(cold_target_is_slower_until_it_has_warmed_up) {
  auto work = MakeWork(100);
  work.settings.cold_extra = base::milliseconds(200);
  auto first = Admit(work, "", kStart)->run_time;
  for (auto i = 0; i < 30; ++i) Admit(work, "", kStart);
  auto warm = Admit(work, "", kStart)->run_time;
  BOOST_CHECK(first >= base::milliseconds(200));
  BOOST_CHECK(warm <= base::milliseconds(25));
}

BOOST_AUTO_TEST_CASE(told_load_lags) {
  auto work = MakeWork(4);
  work.settings.load_lag = base::milliseconds(500);
  auto running = Admit(work, "", kStart);
  BOOST_TEST(ToldLoad(work, kStart + base::milliseconds(499)).in_flight == 0U);
  BOOST_TEST(ToldLoad(work, kStart + base::milliseconds(500)).in_flight == 1U);
  Finish(work, running->job, kStart + base::seconds(1));
  BOOST_TEST(ToldLoad(work, kStart + base::milliseconds(1499)).in_flight == 1U);
  BOOST_TEST(ToldLoad(work, kStart + base::milliseconds(1500)).in_flight == 0U);
}

BOOST_AUTO_TEST_CASE(history_stays_as_short_as_the_lag_needs) {
  auto work = MakeWork(4);
  work.settings.load_lag = base::milliseconds(10);
  for (auto i = 0; i < 1000; ++i) {
    auto now = kStart + base::milliseconds(i);
    Finish(work, Admit(work, "", now)->job, now);
  }
  BOOST_TEST(work.history.size() < 40U);
}

BOOST_AUTO_TEST_CASE(lying_load_tells_an_idle_target) {
  auto work = MakeWork(4);
  work.settings.lying_load = true;
  Admit(work, "", kStart);
  BOOST_TEST(ToldLoad(work, kStart).in_flight == 0U);
}

}  // namespace
}  // namespace anvildrum::target
