#include "tools/fabric_standin/options.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::fabric {
namespace {

const auto kServices = std::vector<Service>{{"desk", base::EndpointFromV4(0x7f000001, 5683)},
                                            {"mapper", base::EndpointFromV4(0x7f000001, 5684)}};

auto RefusalOf(std::string_view text) -> OptionErrorCode {
  auto balancers = std::vector<Balancer>{};
  auto error =
      base::ErrorOf<OptionError>([&] { return AddBalancerAddress(text, kServices, balancers); });
  BOOST_REQUIRE(error.has_value());
  BOOST_TEST(error->text == text);
  BOOST_TEST(balancers.empty());
  return error->code;
}

BOOST_AUTO_TEST_CASE(service_is_read) {
  auto service = ParseService("desk=127.0.0.1:5683");
  BOOST_REQUIRE(service.has_value());
  BOOST_TEST(service->name == "desk");
  BOOST_CHECK(service->address == base::EndpointFromV4(0x7f000001, 5683));
}

BOOST_AUTO_TEST_CASE(addresses_of_one_balancer_come_together) {
  auto balancers = std::vector<Balancer>{};
  for (const auto* text :
       {"b1=desk@127.0.0.1:4001", "b1=mapper@127.0.0.1:4002", "b2=desk@[::1]:4003"}) {
    BOOST_TEST(!!AddBalancerAddress(text, kServices, balancers));
  }
  BOOST_REQUIRE(balancers.size() == 2U);
  BOOST_TEST(balancers[0].addresses.size() == 2U);
  BOOST_TEST(base::FormatEndpoint(balancers[1].addresses.at("desk")) == "[::1]:4003");
}

BOOST_AUTO_TEST_CASE(each_fault_of_a_balancer_option_is_told_apart) {
  BOOST_CHECK(RefusalOf("b1") == OptionErrorCode::kMissingName);
  BOOST_CHECK(RefusalOf("=desk@127.0.0.1:1") == OptionErrorCode::kMissingName);
  BOOST_CHECK(RefusalOf("b1=127.0.0.1:1") == OptionErrorCode::kMissingName);
  BOOST_CHECK(RefusalOf("b1=ledger@127.0.0.1:1") == OptionErrorCode::kUnknownService);
  BOOST_CHECK(RefusalOf("b1=desk@localhost:1") == OptionErrorCode::kBadAddress);
}

BOOST_AUTO_TEST_CASE(second_address_for_a_service_is_refused) {
  auto balancers = std::vector<Balancer>{};
  BOOST_TEST(!!AddBalancerAddress("b1=desk@127.0.0.1:1", kServices, balancers));
  auto error = base::ErrorOf<OptionError>(
      [&] { return AddBalancerAddress("b1=desk@127.0.0.1:2", kServices, balancers); });
  BOOST_REQUIRE(error.has_value());
  BOOST_CHECK(error->code == OptionErrorCode::kDuplicateService);
}

}  // namespace
}  // namespace anvildrum::fabric
