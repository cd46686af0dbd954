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
