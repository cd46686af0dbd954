#include "tools/target_standin/bodies.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

namespace anvildrum::target {
namespace {

BOOST_AUTO_TEST_CASE(request_id_is_read_and_rubbish_is_refused) {
  BOOST_TEST(RequestIdOf(R"({"id":"h1"})").value() == "h1");
  for (const auto* body : {"", "junk", "[]", "{}", R"({"id":7})", R"({"id":""})", "{\"id\":\"x"}) {
    BOOST_TEST(!RequestIdOf(body).has_value());
  }
}

BOOST_AUTO_TEST_CASE(drain_flag_is_read_and_rubbish_is_refused) {
  BOOST_TEST(DrainingOf(R"({"draining":true})").value());
  BOOST_TEST(!DrainingOf(R"({"draining":"yes"})").has_value());
  BOOST_TEST(!DrainingOf("7").has_value());
}

BOOST_AUTO_TEST_CASE(answer_names_target_request_and_executions) {
  auto body = nlohmann::json::parse(RunBody("desk-1", "h1", 2));
  BOOST_TEST(body["target"] == "desk-1");
  BOOST_TEST(body["id"] == "h1");
  BOOST_TEST(body["executions"] == 2);
}

// A client can put any bytes into an id; the answer that repeats them must stay JSON.
BOOST_AUTO_TEST_CASE(answer_to_an_id_that_is_not_utf8_is_json) {
  auto body = nlohmann::json::parse(RouteBody("map-1", "\xff\xfe\""), nullptr, false);
  BOOST_TEST(body.is_object());
}

}  // namespace
}  // namespace anvildrum::target
