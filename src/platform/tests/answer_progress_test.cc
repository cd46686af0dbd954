#include "platform/answer_progress.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::platform {
namespace {

using base::milliseconds;
using base::seconds;

constexpr auto kSent = base::TimePoint{seconds{1000}};
constexpr auto kTimeouts = AnswerTimeouts{.first = seconds{2}, .between = seconds{1}};

// Plays bytes that come every `gap` and returns when the call is given up, at `until` at the
// latest.
auto GivenUpAt(base::Duration gap, base::TimePoint until) -> base::TimePoint {
  auto progress = AnswerProgress{.sent_at = kSent, .heard_at = {}};
  for (auto now = kSent; now < until; now += gap) {
    if (now >= GiveUpAt(progress, kTimeouts)) return GiveUpAt(progress, kTimeouts);
    progress.heard_at = now;
  }
  return until;
}

// The platform, or the way to it, is silent.
BOOST_AUTO_TEST_CASE(a_call_whose_answer_does_not_begin_is_given_up) {
  const auto progress = AnswerProgress{.sent_at = kSent, .heard_at = {}};
  BOOST_CHECK(GiveUpAt(progress, kTimeouts) == kSent + seconds{2});
}

// A large answer over a narrow link is given up for taking longer than a small one.
BOOST_AUTO_TEST_CASE(an_answer_that_keeps_coming_is_awaited) {
  const auto until = kSent + seconds{20};
  BOOST_CHECK(GivenUpAt(milliseconds{900}, until) == until);
}

// A connection goes silent in the middle of an answer, without a reset.
BOOST_AUTO_TEST_CASE(an_answer_that_stops_coming_is_given_up) {
  const auto heard = kSent + milliseconds{500};
  const auto progress = AnswerProgress{.sent_at = kSent, .heard_at = heard};
  BOOST_CHECK(GiveUpAt(progress, kTimeouts) == heard + seconds{1});
}

// A peer that sends a byte now and then holds a caller for ever.
BOOST_AUTO_TEST_CASE(an_answer_that_never_ends_is_given_up) {
  const auto limit = kSent + seconds{32};
  BOOST_CHECK(GivenUpAt(milliseconds{500}, kSent + seconds{60}) == limit);
}

}  // namespace
}  // namespace anvildrum::platform
