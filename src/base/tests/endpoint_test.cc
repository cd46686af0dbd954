#include "base/types/endpoint.h"

#include <boost/test/unit_test.hpp>

#include "base/result.h"
#include "base/tcp_endpoint.h"

namespace anvildrum::base {
namespace {

auto CodeOf(std::string_view text) -> EndpointErrorCode {
  auto error = ErrorOf<EndpointError>([&] { return ParseEndpoint(text); });
  BOOST_REQUIRE(error.has_value());
  return error->code;
}

BOOST_AUTO_TEST_CASE(endpoint_survives_a_round_trip) {
  for (const auto* text : {"127.0.0.1:5683", "[2001:db8::1]:1"}) {
    BOOST_TEST(FormatEndpoint(ParseEndpoint(text).value()) == text);
  }
}

BOOST_AUTO_TEST_CASE(endpoint_refuses_what_is_not_an_ip_number) {
  BOOST_CHECK(CodeOf("localhost:80") == EndpointErrorCode::kNotAnIpAddress);
  BOOST_CHECK(CodeOf("127.0.0.1") == EndpointErrorCode::kMissingPort);
  BOOST_CHECK(CodeOf("127.0.0.1:70000") == EndpointErrorCode::kPortOutOfRange);
}

BOOST_AUTO_TEST_CASE(an_endpoint_becomes_one_of_its_own_kind_of_address) {
  const auto v4 = ToTcp(ParseEndpoint("127.0.0.1:5683").value());
  BOOST_TEST(v4.address().is_v4());
  BOOST_TEST(v4.address().to_string() == "127.0.0.1");
  BOOST_TEST(v4.port() == 5683);
  const auto v6 = ToTcp(ParseEndpoint("[2001:db8::1]:1").value());
  BOOST_TEST(v6.address().is_v6());
  BOOST_TEST(v6.address().to_string() == "2001:db8::1");
}

}  // namespace
}  // namespace anvildrum::base
