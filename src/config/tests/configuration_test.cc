#include "config/configuration.h"

#include <boost/test/unit_test.hpp>

#include "config/tests/sample.h"

namespace anvildrum::config {
namespace {

auto ErrorIn(std::string_view text) -> ConfigurationError {
  auto error = base::ErrorOf<ConfigurationError>([&] { return ParseConfiguration(text); });
  BOOST_REQUIRE(error.has_value());
  return *error;
}

auto WithService(std::string_view name, std::string_view service) -> std::string {
  return R"({"number": 1, "services": {"mapper": {"addresses": ["10.0.0.2:5683"]}, ")" +
         std::string(name) + "\": " + std::string(service) + "}}";
}

BOOST_AUTO_TEST_CASE(a_document_is_parsed_with_defaults) {
  auto configuration = ParseConfiguration(kSample).value();
  BOOST_TEST(configuration.number == 7U);
  BOOST_REQUIRE(configuration.services.size() == 2);
  const auto& desk = configuration.services[0];
  BOOST_TEST(desk.name == "desk");
  BOOST_CHECK(desk.id == base::ServiceIdOf("desk"));
  BOOST_TEST(desk.weights.at(0).weight == 2.0);
  BOOST_TEST(desk.limits.queue_ms == ServiceLimits{}.queue_ms);
  BOOST_TEST(configuration.services[1].spread.local_failure_domain_first);
}

BOOST_AUTO_TEST_CASE(writing_and_reading_give_the_same) {
  auto first = Serialize(ParseConfiguration(kSample).value());
  auto second = Serialize(ParseConfiguration(first).value());
  BOOST_TEST(first == second);
  BOOST_TEST(first.find("desk-1") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(the_empty_document_is_a_configuration) {
  auto configuration = ParseConfiguration(kEmptyDocument).value();
  BOOST_TEST(configuration.number == 0U);
  BOOST_TEST(configuration.services.empty());
}

BOOST_AUTO_TEST_CASE(shape_errors_name_their_place) {
  auto check = [](std::string_view service, json::ReadErrorCode code, std::string_view pointer) {
    auto error = ErrorIn(WithService("desk", service));
    BOOST_CHECK(error.rule == Rule::kShape);
    BOOST_CHECK(error.shape.code == code);
    BOOST_TEST(error.pointer == pointer);
  };
  using json::ReadErrorCode;
  check("{}", ReadErrorCode::kMissingKey, "/services/desk/addresses");
  check("[]", ReadErrorCode::kWrongType, "/services/desk");
  check(R"({"addresses": ["desk.example:1"]})", ReadErrorCode::kNotAnEndpoint,
        "/services/desk/addresses/0");
  check(R"({"addresses": ["10.0.0.1:1"], "weights": {"a": 101}})", ReadErrorCode::kOutOfRange,
        "/services/desk/weights/a");
  check(R"({"addresses": ["10.0.0.1:1"], "limits": {"queue_ms": -1}})", ReadErrorCode::kOutOfRange,
        "/services/desk/limits/queue_ms");
  check(R"({"addresses": ["10.0.0.1:1"], "spread": {"mood": 1}})", ReadErrorCode::kUnknownKey,
        "/services/desk/spread/mood");
}

BOOST_AUTO_TEST_CASE(rule_violations_name_their_rule) {
  auto check = [](std::string_view service, Rule rule, std::string_view pointer) {
    auto error = ErrorIn(WithService("desk", service));
    BOOST_CHECK(error.rule == rule);
    BOOST_TEST(error.pointer == pointer);
  };
  check(R"({"addresses": []})", Rule::kNoAddress, "/services/desk/addresses");
  check(R"({"addresses": ["10.0.0.1:0"]})", Rule::kUnusableAddress, "/services/desk/addresses/0");
  check(R"({"addresses": ["0.0.0.0:1"]})", Rule::kUnusableAddress, "/services/desk/addresses/0");
  check(R"({"addresses": ["10.0.0.1:1", "10.0.0.1:1"]})", Rule::kAddressTaken,
        "/services/desk/addresses/1");
}

// If two services had the address, a packet for it would reach whichever service an instance finds
// first.
BOOST_AUTO_TEST_CASE(an_address_belongs_to_one_service) {
  auto error = ErrorIn(WithService("desk", R"({"addresses": ["10.0.0.2:5683"]})"));
  BOOST_CHECK(error.rule == Rule::kAddressTaken);
  BOOST_TEST(error.found == "10.0.0.2:5683 of desk");
  BOOST_TEST(Describe(error).find("address-taken") == 0U);
}

BOOST_AUTO_TEST_CASE(an_oversized_document_is_refused) {
  auto text = std::string(kMaxDocument + 1, ' ');
  BOOST_CHECK(ErrorIn(text).rule == Rule::kTooLarge);
}

}  // namespace
}  // namespace anvildrum::config
