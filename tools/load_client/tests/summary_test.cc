#include "tools/load_client/summary.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace anvildrum::load {
namespace {

auto GoodTally() -> Tally {
  auto tally = Tally{};
  tally.sent = 10;
  tally.answered = 9;
  tally.refused_not_run = 1;
  return tally;
}

auto PassesWith(std::uint64_t Tally::*count) -> bool {
  auto tally = GoodTally();
  tally.*count = 1;
  auto summary = Summary{};
  summary.tally = &tally;
  return Passed(summary);
}

BOOST_AUTO_TEST_CASE(honest_refusals_and_timeouts_pass) {
  BOOST_TEST(PassesWith(&Tally::refused_not_run));
  BOOST_TEST(PassesWith(&Tally::unknown));
  BOOST_TEST(PassesWith(&Tally::timeouts));
}

BOOST_AUTO_TEST_CASE(each_broken_promise_fails_the_run) {
  BOOST_TEST(!PassesWith(&Tally::wrong_answers));
  BOOST_TEST(!PassesWith(&Tally::double_executions));
  BOOST_TEST(!PassesWith(&Tally::broken_reports));
}

BOOST_AUTO_TEST_CASE(run_without_any_answer_fails) {
  auto tally = GoodTally();
  tally.answered = 0;
  auto summary = Summary{};
  summary.tally = &tally;
  BOOST_TEST(!Passed(summary));
}

BOOST_AUTO_TEST_CASE(broken_stream_fails_the_run_and_is_told) {
  auto tally = GoodTally();
  auto summary = Summary{};
  summary.tally = &tally;
  auto now = base::TimePoint{} + base::hours(1);
  auto stream = OpenStream(now - base::seconds(3));
  CheckGap(stream, base::seconds(2), now);
  AddStream(summary, stream, base::seconds(2), now);
  auto json = nlohmann::json::parse(ToJson(summary));
  BOOST_TEST(json["passed"] == false);
  BOOST_TEST(json["streams"] == 1);
  BOOST_TEST(json["streams_alive"] == 0);
  BOOST_TEST(json["streams_broken"] == 1);
  BOOST_TEST(json["longest_gap_ms"] == 3000.0);
}

BOOST_AUTO_TEST_CASE(quantiles_are_those_of_the_samples) {
  auto tally = GoodTally();
  for (auto ms = 1; ms <= 100; ++ms) tally.latencies(ms);
  auto summary = Summary{};
  summary.tally = &tally;
  auto json = nlohmann::json::parse(ToJson(summary));
  BOOST_TEST(json["p50_ms"].get<double>() == 50, boost::test_tools::tolerance(0.03));
  BOOST_TEST(json["p99_ms"].get<double>() == 99, boost::test_tools::tolerance(0.03));
}

}  // namespace
}  // namespace anvildrum::load
