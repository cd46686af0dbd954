#include "outlier/outcomes.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::outlier {
namespace {

using base::milliseconds;
using base::seconds;

constexpr auto kStart = base::TimePoint{seconds{1000}};
constexpr auto kRoute = std::uint64_t{7};

auto Answer(std::uint32_t bytes, base::Duration taken = milliseconds{30}) -> FinishedRequest {
  return {.route = kRoute, .ending = Ending::kAnswered, .bytes = bytes, .taken = taken};
}

auto Ended(Ending ending) -> FinishedRequest { return {.route = kRoute, .ending = ending}; }

/// Outcomes that have learned a route with answers of 2,000 bytes in 30 ms.
auto MakeOutcomes() -> Outcomes {
  auto outcomes = Outcomes{};
  for (auto i = 0; i < 40; ++i) Record(outcomes, Answer(2000), kStart - seconds{10});
  return outcomes;
}

BOOST_AUTO_TEST_SUITE(outcomes)

BOOST_AUTO_TEST_CASE(each_signal_of_a_failing_target_counts_as_one_failed_request) {
  auto outcomes = MakeOutcomes();
  BOOST_TEST((Record(outcomes, Ended(Ending::kReset), kStart) == Outcome::kFailed));
  BOOST_TEST((Record(outcomes, Ended(Ending::kUnanswered), kStart) == Outcome::kFailed));
  BOOST_TEST((Record(outcomes, Ended(Ending::kReturned), kStart) == Outcome::kFailed));
  BOOST_TEST((Record(outcomes, Answer(499), kStart) == Outcome::kFailed));
  BOOST_TEST((Record(outcomes, Answer(501), kStart) == Outcome::kOk));
  BOOST_TEST((CountsOf(outcomes, kStart) == Counts{5, 4}));
}

// Guards against a target that counts as failing because clients leave: they may do so in the
// middle of an answer.
BOOST_AUTO_TEST_CASE(a_short_answer_to_a_client_that_left_proves_nothing) {
  auto outcomes = MakeOutcomes();
  auto request = Answer(100);
  request.ending = Ending::kClientLeft;
  BOOST_TEST((Record(outcomes, request, kStart) == Outcome::kUnknown));
  request.bytes = 2000;
  BOOST_TEST((Record(outcomes, request, kStart) == Outcome::kOk));
  BOOST_TEST((CountsOf(outcomes, kStart) == Counts{1, 0}));
}

// Guards against judging the first answers of a route by each other.
BOOST_AUTO_TEST_CASE(answers_are_not_short_before_the_usual_length_is_known) {
  auto outcomes = Outcomes{};
  Record(outcomes, Answer(10'000), kStart);
  for (auto i = 0; i < 10; ++i) Record(outcomes, Answer(50), kStart);
  BOOST_TEST(CountsOf(outcomes, kStart).failed == 0U);
  BOOST_TEST(!ResponseTimeout(outcomes, kRoute).has_value());
}

// Guards against a target that fails fast and after a while counts as healthy, since its error
// answers have become the usual ones.
BOOST_AUTO_TEST_CASE(error_answers_do_not_become_the_usual_ones_within_a_minute) {
  auto outcomes = MakeOutcomes();
  auto failed = 0;
  for (auto i = 0; i < 800; ++i) {
    const auto now = kStart + i * milliseconds{80};
    failed += Record(outcomes, Answer(200), now) == Outcome::kFailed ? 1 : 0;
  }
  BOOST_TEST(failed == 800);
}

// Guards against a route whose documents became smaller and whose targets count as failing for
// good.
BOOST_AUTO_TEST_CASE(a_new_usual_length_is_learned_in_the_end) {
  auto outcomes = MakeOutcomes();
  auto answers = 0;
  while (Record(outcomes, Answer(200), kStart) == Outcome::kFailed && answers < 10'000) ++answers;
  BOOST_TEST(answers < 1500);
}

// Guards against one route's answers being measured by those of another.
BOOST_AUTO_TEST_CASE(routes_have_their_own_usual_length) {
  auto outcomes = MakeOutcomes();
  auto request = Answer(60);
  request.route = kRoute + 1;
  for (auto i = 0; i < 100; ++i) Record(outcomes, request, kStart);
  BOOST_TEST(CountsOf(outcomes, kStart).failed == 0U);
}

// Guards against memory that grows with the routes of forged packets.
BOOST_AUTO_TEST_CASE(a_flood_of_routes_fills_no_more_than_the_table_and_keeps_the_used_ones) {
  auto outcomes = MakeOutcomes();
  for (auto i = std::uint64_t{0}; i < 1000; ++i) {
    const auto now = kStart + i * milliseconds{1};
    Record(outcomes, {.route = 100 + i, .bytes = 10}, now);
    Record(outcomes, Answer(2000), now);
  }
  BOOST_TEST(outcomes.routes.size() == kMaxRoutes);
  BOOST_TEST(ResponseTimeout(outcomes, kRoute).has_value());
}

BOOST_AUTO_TEST_CASE(a_request_is_unanswered_after_eight_times_the_usual_time) {
  auto outcomes = MakeOutcomes();
  const auto response_timeout = ResponseTimeout(outcomes, kRoute);
  BOOST_REQUIRE(response_timeout.has_value());
  BOOST_TEST((*response_timeout > milliseconds{239} && *response_timeout < milliseconds{241}));
  BOOST_TEST(!ResponseTimeout(outcomes, kRoute + 1).has_value());
}

// Guards against failures that are remembered for longer than two generations, and against a gap in
// the reports when a generation begins.
BOOST_AUTO_TEST_CASE(counts_cover_the_last_one_to_two_seconds) {
  auto outcomes = Outcomes{};
  Record(outcomes, Ended(Ending::kReset), kStart);
  Record(outcomes, Answer(100), kStart + milliseconds{1500});
  BOOST_TEST((CountsOf(outcomes, kStart + milliseconds{1999}) == Counts{2, 1}));
  BOOST_TEST((CountsOf(outcomes, kStart + milliseconds{2001}) == Counts{1, 0}));
  BOOST_TEST((CountsOf(outcomes, kStart + milliseconds{4500}) == Counts{0, 0}));
}

// Guards against a slow target whose service time is reported long after its last request, and
// against one slow request that makes a target slow.
BOOST_AUTO_TEST_CASE(the_mean_service_time_follows_the_recent_requests) {
  auto outcomes = Outcomes{};
  BOOST_TEST((MeanService(outcomes, kStart) == base::Duration{}));
  for (auto i = 0; i < 200; ++i) RecordService(outcomes, milliseconds{30}, kStart);
  RecordService(outcomes, milliseconds{300}, kStart);
  BOOST_TEST((MeanService(outcomes, kStart) < milliseconds{36}));
  for (auto i = 0; i < 200; ++i) RecordService(outcomes, milliseconds{55}, kStart);
  BOOST_TEST((MeanService(outcomes, kStart) > milliseconds{53}));
  BOOST_TEST((MeanService(outcomes, kStart + seconds{11}) == base::Duration{}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::outlier
