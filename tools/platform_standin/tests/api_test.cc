#include "platform_standin/api.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::platform_standin {
namespace {

auto Call(Platform& platform, std::string method, std::string target, std::string body = "",
          std::string if_match = "") -> Answer {
  return Handle(platform,
                {std::move(method), std::move(target), std::move(if_match), "", std::move(body)})
      .answer;
}

auto SetFaults(Platform& platform, std::string faults) -> unsigned {
  return Call(platform, "PUT", "/v1/faults", std::move(faults)).status;
}

BOOST_AUTO_TEST_CASE(a_listing_holds_the_values_as_json) {
  auto platform = Platform{};
  Call(platform, "PUT", "/v1/objects/t/a%22", R"({"x":1})");
  Call(platform, "PUT", "/v1/objects/u", "2");
  BOOST_TEST(Call(platform, "GET", "/v1/list?prefix=t%2F").body ==
             R"({"revision":2,"items":[{"key":"t/a\"","revision":1,"deleted":false,)"
             R"("value":{"x":1}}]})");
}

BOOST_AUTO_TEST_CASE(malformed_calls_are_answered_400_and_counted) {
  auto platform = Platform{};
  auto calls = std::uint64_t{0};
  auto refused = [&](const char* method, const char* target, const char* body = "",
                     const char* if_match = "") {
    ++calls;
    return Call(platform, method, target, body, if_match).status == 400U;
  };
  BOOST_TEST(refused("GET", "/v1/objects/"));
  BOOST_TEST(refused("GET", "/v1/objects/%4"));
  BOOST_TEST(refused("GET", "/v1/objects/%zz"));
  BOOST_TEST(refused("PUT", "/v1/objects/a", "{"));
  BOOST_TEST(refused("PUT", "/v1/objects/a", ""));
  BOOST_TEST(refused("PUT", "/v1/objects/a", "1", "7"));
  BOOST_TEST(refused("PUT", "/v1/objects/a", "1", R"("x")"));
  BOOST_TEST(refused("GET", "/v1/list"));
  BOOST_TEST(refused("GET", "/v1/list?prefix"));
  BOOST_TEST(refused("GET", "/v1/watch?prefix=&after=-1"));
  BOOST_TEST(refused("GET", "/v1/watch?prefix=&after=1&timeout_ms=99999999999"));
  BOOST_TEST(refused("PUT", "/v1/faults", R"({"down":1})"));
  BOOST_TEST(refused("PUT", "/v1/faults", R"({"unknown":1})"));
  BOOST_TEST(platform.counts.malformed == calls);
  BOOST_TEST(platform.store.revision == 0U);
  BOOST_TEST(Call(platform, "POST", "/v1/objects/a").status == 405U);
  BOOST_TEST(Call(platform, "GET", "/v2").status == 404U);
}

BOOST_AUTO_TEST_CASE(lost_answers_and_false_conflicts_follow_writes_that_took) {
  auto platform = Platform{};
  BOOST_TEST(SetFaults(platform, R"({"lose_answers":1})") == 200U);
  BOOST_CHECK(Call(platform, "PUT", "/v1/objects/a", "1").delivery == Delivery::kClose);
  BOOST_TEST(SetFaults(platform, R"({"conflict_after_write":1})") == 200U);
  BOOST_TEST(Call(platform, "PUT", "/v1/objects/a", "2").status == 412U);
  BOOST_TEST(Call(platform, "GET", "/v1/objects/a").body == "2");
  BOOST_TEST(Call(platform, "PUT", "/v1/objects/a", "3").status == 200U);
}

BOOST_AUTO_TEST_CASE(reads_can_lag) {
  auto platform = Platform{};
  Call(platform, "PUT", "/v1/objects/a", "1");
  Call(platform, "PUT", "/v1/objects/a", "2");
  SetFaults(platform, R"({"stale_reads_revisions":1})");
  auto answer = Call(platform, "GET", "/v1/objects/a");
  BOOST_TEST(answer.body == "1");
  BOOST_TEST(answer.etag == 1U);
  BOOST_TEST(Call(platform, "GET", "/v1/list?prefix=").body.starts_with(R"({"revision":1,)"));
}

BOOST_AUTO_TEST_CASE(errors_outages_and_cuts_strike_as_often_as_set) {
  auto platform = Platform{};
  SetFaults(platform, R"({"error_500":1,"half_body":1})");
  BOOST_TEST(Call(platform, "PUT", "/v1/objects/a", "1").status == 500U);
  BOOST_TEST(platform.store.revision == 0U);
  BOOST_CHECK(Call(platform, "GET", "/v1/objects/a").delivery == Delivery::kHalf);
  BOOST_CHECK(Call(platform, "GET", "/v1/objects/a").delivery == Delivery::kWhole);
  SetFaults(platform, R"({"down":true})");
  BOOST_CHECK(Call(platform, "GET", "/v1/objects/a").delivery == Delivery::kClose);
  BOOST_TEST(Call(platform, "GET", "/v1/counts").status == 200U);
}

BOOST_AUTO_TEST_CASE(a_watch_is_held_until_a_change_its_time_or_a_lost_history) {
  auto platform = Platform{};
  platform.store.history_limit = 1;
  auto target = "/v1/watch?prefix=t/&after=0&timeout_ms=50";
  auto held = Handle(platform, {"GET", target, "", "", ""}).held;
  BOOST_REQUIRE(held.has_value());
  BOOST_TEST(held->timeout_ms == 50U);
  BOOST_TEST(!AnswerWatch(platform, *held, false).has_value());
  BOOST_TEST(AnswerWatch(platform, *held, true)->body == R"({"revision":0,"events":[]})");
  Call(platform, "PUT", "/v1/objects/t/a", "1");
  BOOST_TEST(AnswerWatch(platform, *held, false)->body ==
             R"({"revision":1,"events":[{"key":"t/a","revision":1,"deleted":false,"value":1}]})");
  SetFaults(platform, R"({"hang_watches":true})");
  BOOST_TEST(!AnswerWatch(platform, *held, true).has_value());
  SetFaults(platform, R"({"hang_watches":false})");
  Call(platform, "PUT", "/v1/objects/x", "1");
  BOOST_TEST(AnswerWatch(platform, *held, false)->status == 410U);
}

}  // namespace
}  // namespace anvildrum::platform_standin
