#include "relay/internal/delta.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace anvildrum::relay {
namespace {

auto Numbers(int from, int to) -> std::string {
  std::string text;
  for (int i = from; i < to; ++i) text += std::to_string(i * 7919 % 100'003) + ",";
  return text;
}

BOOST_AUTO_TEST_SUITE(Deltas)

BOOST_AUTO_TEST_CASE(ADeltaIsAsSmallAsTheChange) {
  const std::string old_value = Numbers(0, 50'000);
  std::string new_value = old_value;
  new_value.replace(1000, 3, "abc");
  new_value.insert(new_value.size() - 10, "something new");
  const std::string delta = Pack(new_value, old_value);
  BOOST_TEST(delta.size() < 200U);
  const auto again = Unpack(delta, old_value, kValueMost);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST((*again == new_value));
}

// A few thousand services that differ in their names alone, and an operator adds one at the front
// and changes another: every child of the relay gets the delta, so its size is what a change costs.
BOOST_AUTO_TEST_CASE(ADeltaOfAlikeServicesIsAsSmallAsTheChange) {
  const auto service = [](int index) {
    return R"({"addresses":["203.0.113.10:5683"],"limits":{"client_in_flight":64,)"
           R"("flow_idle_seconds":7200,"queue_ms":250},"name":"service-)" +
           std::to_string(index) +
           R"(","spread":{"load_margin":0.03,"local_failure_domain_first":true,)"
           R"("slow_start_seconds":10},"weights":[{"target":"scada-gw-03","weight":1.5}]},)";
  };
  std::string before;
  for (int i = 0; i < 3000; ++i) before += service(i);
  std::string after = service(3000) + before;
  after.replace(after.find("250", after.size() / 2), 3, "350");
  const std::string delta = Pack(after, before);
  BOOST_TEST(delta.size() < 400U);
  const auto again = Unpack(delta, before, kValueMost);
  BOOST_REQUIRE(again.has_value());
  BOOST_TEST((*again == after));
}

// A child whose base is not what its parent believes would build a configuration that nobody wrote.
BOOST_AUTO_TEST_CASE(ADeltaOnAnotherBaseIsRefused) {
  const std::string old_value = Numbers(0, 5'000);
  const std::string other = Numbers(1, 5'001);
  const std::string delta = Pack(old_value + "x", old_value);
  BOOST_TEST(!Unpack(delta, other, kValueMost).has_value());
  BOOST_TEST(!Unpack(delta, {}, kValueMost).has_value());
}

// A few bytes can claim gigabytes; what is longer than the platform holds is not unpacked.
BOOST_AUTO_TEST_CASE(WhatUnpacksToTooMuchIsRefused) {
  const std::string packed = Pack(std::string(2'000, 'x'), {});
  BOOST_TEST(Unpack(packed, {}, 2'000).has_value());
  BOOST_TEST(!Unpack(packed, {}, 1'999).has_value());
  BOOST_TEST(!Unpack("rubbish", {}, kValueMost).has_value());
  BOOST_TEST(!Unpack({}, {}, kValueMost).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::relay
