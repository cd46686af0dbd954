#include "tools/common/coap_message.h"

#include <boost/test/unit_test.hpp>

#include "tools/common/coap_address.h"

namespace anvildrum::tools {
namespace {

BOOST_AUTO_TEST_CASE(query_value_is_that_of_the_whole_name) {
  BOOST_TEST(QueryValue("id=7", "id") == "7");
  BOOST_TEST(QueryValue("x=1&id=7&y", "id") == "7");
  BOOST_TEST(QueryValue("paid=1", "id") == "");
  BOOST_TEST(QueryValue("id", "id") == "");
  BOOST_TEST(QueryValue("", "id") == "");
}

BOOST_AUTO_TEST_CASE(address_survives_a_round_trip) {
  for (const auto* text : {"127.0.0.1:5683", "[2001:db8::1]:1"}) {
    auto address = ToCoapAddress(base::ParseEndpoint(text).value());
    BOOST_TEST(base::FormatEndpoint(FromCoapAddress(address)) == text);
  }
}

}  // namespace
}  // namespace anvildrum::tools
