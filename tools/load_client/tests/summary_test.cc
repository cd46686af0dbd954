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

BOOST_AUTO_TEST_CASE(listed_stream_names_its_targets_and_its_fault) {
  auto tally = GoodTally();
  auto summary = Summary{};
  summary.tally = &tally;
  summary.started = base::TimePoint{} + base::hours(1);
  auto stream = OpenStream(summary.started);
  OnNotification(stream, {205, 1, "desk-1"}, summary.started + base::milliseconds(100));
  OnNotification(stream, {205, 2, "desk-1"}, summary.started + base::milliseconds(200));
  OnNotification(stream, {205, 3, "desk-2"}, summary.started + base::milliseconds(300));
  OnNotification(stream, {503, {}, ""}, summary.started + base::milliseconds(400));
  summary.listed.push_back(&stream);
  auto listed = nlohmann::json::parse(ToJson(summary))["stream_list"][0];
  auto wanted = nlohmann::json::parse(
      R"({"fault": "cancelled", "failed_ms": 400.0, "places": [{"target": "desk-1", "since_ms": 100.0},
          {"target": "desk-2", "since_ms": 300.0}]})");
  BOOST_TEST(listed == wanted);
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
