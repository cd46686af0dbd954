#include "platform/backoff.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>

namespace anvildrum::platform {
namespace {

constexpr auto kPolicy = BackoffPolicy{base::milliseconds(100), base::milliseconds(800)};
constexpr auto kSeeds = 500;

auto LongestNthDelay(unsigned nth) -> base::Duration {
  auto longest = base::Duration{};
  for (auto seed = 0; seed < kSeeds; ++seed) {
    auto backoff = MakeBackoff(kPolicy, seed);
    for (auto i = 0U; i < nth; ++i) NextDelay(backoff);
    longest = std::max(longest, NextDelay(backoff));
  }
  return longest;
}

BOOST_AUTO_TEST_CASE(delays_grow_up_to_the_cap) {
  BOOST_CHECK(LongestNthDelay(0) <= base::milliseconds(100));
  BOOST_CHECK(LongestNthDelay(0) > base::milliseconds(90));
  BOOST_CHECK(LongestNthDelay(2) <= base::milliseconds(400));
  BOOST_CHECK(LongestNthDelay(2) > base::milliseconds(350));
  BOOST_CHECK(LongestNthDelay(100) <= kPolicy.cap);
  BOOST_CHECK(LongestNthDelay(100) > base::milliseconds(700));
}

BOOST_AUTO_TEST_CASE(success_starts_over) {
  for (auto seed = 0; seed < kSeeds; ++seed) {
    auto backoff = MakeBackoff(kPolicy, seed);
    for (auto i = 0; i < 10; ++i) NextDelay(backoff);
    Reset(backoff);
    BOOST_CHECK(NextDelay(backoff) <= kPolicy.first);
  }
}

}  // namespace
}  // namespace anvildrum::platform
