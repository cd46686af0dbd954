#include "packetd/shortage_policy.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::packetd {
namespace {

constexpr auto kContract = std::string_view{"pressure"};

auto AllOn() -> admission::Policy {
  auto policy = admission::Policy{};
  policy.order_by_priority = true;
  policy.admit_by_completion = true;
  policy.fair_callers = true;
  policy.await_copies = true;
  return policy;
}

BOOST_AUTO_TEST_SUITE(shortage_policy)

// Guards against a changed behavior of deployments that list no contract, or only others.
BOOST_AUTO_TEST_CASE(without_the_contract_all_switches_are_off) {
  auto settings = Settings{};
  BOOST_TEST((ShortagePolicyOf(settings, kContract) == admission::Policy{}));
  settings.platform_contracts = {"pressures", "Pressure", ""};
  BOOST_TEST((ShortagePolicyOf(settings, kContract) == admission::Policy{}));
  BOOST_TEST((ShortagePolicyOf(settings, "") == admission::Policy{}));
}

BOOST_AUTO_TEST_CASE(the_contract_switches_all_on) {
  auto settings = Settings{};
  settings.platform_contracts = {"other", "pressure"};
  BOOST_TEST((ShortagePolicyOf(settings, kContract) == AllOn()));
}

// Guards against a contract that overrides what an operator has switched off.
BOOST_AUTO_TEST_CASE(a_stated_key_goes_before_the_contract) {
  auto settings = Settings{};
  settings.platform_contracts = {"pressure"};
  settings.shortage.await_copies = false;
  settings.shortage.reserved_share = 0.0;
  auto expected = AllOn();
  expected.await_copies = false;
  expected.reserved_share = 0.0;
  BOOST_TEST((ShortagePolicyOf(settings, kContract) == expected));
}

BOOST_AUTO_TEST_CASE(a_stated_key_works_without_the_contract) {
  auto settings = Settings{};
  settings.shortage.fair_callers = true;
  auto expected = admission::Policy{};
  expected.fair_callers = true;
  BOOST_TEST((ShortagePolicyOf(settings, kContract) == expected));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::packetd
