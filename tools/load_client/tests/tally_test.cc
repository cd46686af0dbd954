#include "tools/load_client/tally.h"

#include <boost/test/unit_test.hpp>

#include "tools/common/report.h"

namespace anvildrum::load {
namespace {

const auto kStart = base::TimePoint{} + base::hours(1);
const auto kPost = Request{RequestKind::kPost, "r-1", kStart};
const auto kGet = Request{RequestKind::kGet, "r-2", kStart};
const auto kReport = Request{RequestKind::kReport, "", kStart};

constexpr auto kOthers = R"({"target":"d1","id":"r-9","executions":1})";

BOOST_AUTO_TEST_CASE(right_answer_counts_for_its_target) {
  auto tally = Tally{};
  Count(tally, kPost, {201, R"({"target":"d1","id":"r-1","executions":1})"},
        kStart + base::milliseconds(5));
  BOOST_TEST(tally.answered == 1U);
  BOOST_TEST(tally.by_target.at("d1") == 1U);
  BOOST_TEST(boost::accumulators::count(tally.latencies) == 1U);
}

BOOST_AUTO_TEST_CASE(answer_after_the_deadline_is_counted) {
  auto tally = Tally{};
  auto request = kPost;
  request.deadline = kStart + base::milliseconds(100);
  auto answer = Answer{201, R"({"target":"d1","id":"r-1","executions":1})"};
  Count(tally, request, answer, kStart + base::milliseconds(100));
  BOOST_TEST(tally.after_deadline == 0U);
  Count(tally, request, answer, kStart + base::milliseconds(101));
  BOOST_TEST(tally.after_deadline == 1U);
}

// A client that takes another's answer for its own believes in a hold that it does not have.
BOOST_AUTO_TEST_CASE(answer_to_another_request_is_wrong_whatever_its_code) {
  for (auto code : {201U, 204U, 205U, 503U, 504U}) {
    BOOST_CHECK(OutcomeOf(kPost, {code, kOthers}) == Outcome::kWrongAnswer);
    BOOST_CHECK(OutcomeOf(kGet, {code, kOthers}) == Outcome::kWrongAnswer);
  }
}

BOOST_AUTO_TEST_CASE(success_of_a_post_without_its_id_is_wrong) {
  BOOST_CHECK(OutcomeOf(kPost, {204, ""}) == Outcome::kWrongAnswer);
  BOOST_CHECK(OutcomeOf(kPost, {204, "rubbish"}) == Outcome::kWrongAnswer);
  BOOST_CHECK(OutcomeOf(kGet, {205, R"({"in_flight":0})"}) == Outcome::kAnswered);
}

BOOST_AUTO_TEST_CASE(second_execution_is_seen) {
  auto tally = Tally{};
  Count(tally, kPost, {201, R"({"target":"d1","id":"r-1","executions":2})"}, kStart);
  BOOST_TEST(tally.double_executions == 1U);
}

BOOST_AUTO_TEST_CASE(refusals_are_told_apart) {
  BOOST_CHECK(OutcomeOf(kPost, {503, ""}) == Outcome::kNotRun);
  BOOST_CHECK(OutcomeOf(kPost, {504, ""}) == Outcome::kUnknown);
  BOOST_CHECK(OutcomeOf(kPost, {404, ""}) == Outcome::kError);
}

BOOST_AUTO_TEST_CASE(report_is_right_only_when_it_is_whole) {
  auto report = tools::MakeReport("r1", 4096);
  BOOST_CHECK(OutcomeOf(kReport, {205, report}) == Outcome::kAnswered);
  report[100] = '!';
  BOOST_CHECK(OutcomeOf(kReport, {205, report}) == Outcome::kBrokenReport);
}

}  // namespace
}  // namespace anvildrum::load
