#include "ctl/versions.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::ctl {
namespace {

using base::milliseconds;

auto AddressOf(std::uint32_t number) -> base::Endpoint {
  return base::EndpointFromV4(0x0a000000 + number, 9464);
}

auto At(std::uint32_t number, std::optional<std::uint64_t> version, int confirmed_ms,
        bool unconfirmed = false) -> BalancerVersion {
  const auto in_force = ConfigurationInForce{version, milliseconds{confirmed_ms}, unconfirmed};
  return {AddressOf(number), in_force};
}

BOOST_AUTO_TEST_CASE(metrics_of_a_balancer_tell_its_version) {
  const auto read = ReadConfigurationInForce(
      "# TYPE anvildrum_packets_configuration_version gauge\n"
      "anvildrum_packets_configuration_version 1843\n"
      "anvildrum_packets_configuration_age_ms 7250\n"
      "anvildrum_packets_configuration_unconfirmed 1");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST((read->version == 1843U));
  BOOST_TEST((read->confirmed_ago == milliseconds{7250}));
  BOOST_TEST(read->unconfirmed);
}

BOOST_AUTO_TEST_CASE(a_balancer_without_a_configuration_says_so) {
  const auto read = ReadConfigurationInForce("anvildrum_packets_configuration_age_ms 90\n");
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(!read->version.has_value());
  BOOST_TEST(!read->unconfirmed);
}

// Guards against an agent, or a program of somebody else, that counts as a balancer.
BOOST_AUTO_TEST_CASE(metrics_of_others_are_no_balancers) {
  for (const auto* metrics :
       {"", "\n\n", "anvildrum_packets_delivered_total 7\n", "<html>",
        "anvildrum_packets_configuration_age_ms\n", "anvildrum_packets_configuration_age_ms x\n",
        "anvildrum_packets_configuration_age_ms_other 3\n"}) {
    BOOST_TEST(!ReadConfigurationInForce(metrics).has_value(), metrics);
  }
}

BOOST_AUTO_TEST_CASE(those_without_an_answer_come_first_and_then_the_oldest) {
  const auto balancers = std::vector{
      At(1, 20, 300),        At(2, 17, 4000),          At(3, 17, 9000, true),
      At(4, 20, 8000, true), At(5, std::nullopt, 100), BalancerVersion{AddressOf(6), std::nullopt}};
  auto order = std::vector<base::Endpoint>{};
  for (const auto& late : LateBalancers(balancers)) order.push_back(late.metrics);
  const auto expected =
      std::vector{AddressOf(6), AddressOf(5), AddressOf(3), AddressOf(2), AddressOf(4)};
  BOOST_TEST((order == expected));
}

// Guards against a report that is as long as the fleet while most of it is behind.
BOOST_AUTO_TEST_CASE(no_more_late_balancers_are_named_than_were_asked_for) {
  auto balancers = std::vector{At(1, 2, 100)};
  for (auto i = std::uint32_t{2}; i <= 4000; ++i) balancers.push_back(At(i, 1, 100));
  BOOST_TEST(VersionsText(balancers, 2) ==
             "version 2 at 1 of 4000 balancers, confirmed 0.10 s ago at most\n"
             "version 1 at 3999 of 4000 balancers, confirmed 0.10 s ago at most\n"
             "10.0.0.2:9464  version 1, confirmed 0.10 s ago\n"
             "10.0.0.3:9464  version 1, confirmed 0.10 s ago\n"
             "and 3997 more are late\n");
}

BOOST_AUTO_TEST_CASE(nobody_to_ask_is_nobody_late) {
  BOOST_TEST(LateBalancers({}).empty());
  BOOST_TEST(VersionsText({}, 20).empty());
}

}  // namespace
}  // namespace anvildrum::ctl
