#include "base/echo.h"

#include <boost/test/unit_test.hpp>
#include <limits>

namespace anvildrum::base {
namespace {

constexpr auto kStart = TimePoint{seconds{1000}};
constexpr auto kClock = MarkClock{.origin = 77, .started = kStart};

auto HeldFor(Duration held) -> Echo {
  return *EchoOf(HeardMark{.mark = MarkAt(kClock, kStart + seconds{1}), .at = TimePoint{}},
                 TimePoint{} + held);
}

BOOST_AUTO_TEST_CASE(a_message_was_sent_no_earlier_than_its_mark_and_the_time_that_it_was_held) {
  const auto sent = SentNotBefore(kClock, HeldFor(milliseconds{400}), kStart + seconds{2});
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST((*sent == kStart + milliseconds{1400}));
}

// A process stands still with the message in its socket.
BOOST_AUTO_TEST_CASE(time_in_a_socket_makes_no_message_newer) {
  const auto sent = SentNotBefore(kClock, HeldFor(milliseconds{400}), kStart + seconds{9});
  BOOST_REQUIRE(sent.has_value());
  BOOST_TEST((*sent == kStart + milliseconds{1400}));
}

BOOST_AUTO_TEST_CASE(no_message_is_from_the_future) {
  const auto now = kStart + milliseconds{1300};
  BOOST_TEST((SentNotBefore(kClock, HeldFor(milliseconds{400}), now) == now));
}

// An instance answers a process that has been started again with the mark of
// the earlier one.
BOOST_AUTO_TEST_CASE(marks_of_an_earlier_process_prove_nothing) {
  const auto later = MarkClock{.origin = 3'000'000'000U, .started = kStart + seconds{1}};
  const auto echo = HeldFor(milliseconds{400});
  BOOST_TEST(!SentNotBefore(later, echo, kStart + seconds{2}).has_value());
  const auto close = MarkClock{.origin = kClock.origin + 5'000, .started = kStart + seconds{1}};
  BOOST_TEST(!SentNotBefore(close, echo, kStart + seconds{2}).has_value());
}

BOOST_AUTO_TEST_CASE(old_marks_and_odd_numbers_prove_nothing) {
  const auto echo = HeldFor(milliseconds{0});
  const auto made = kStart + seconds{1};
  BOOST_TEST(SentNotBefore(kClock, echo, made + kMarkFor).has_value());
  BOOST_TEST(!SentNotBefore(kClock, echo, made + kMarkFor + milliseconds{1}).has_value());
  BOOST_TEST(!SentNotBefore(kClock, {echo.mark, milliseconds{-1}}, made).has_value());
  BOOST_TEST(!SentNotBefore(kClock, {echo.mark + 1, {}}, made).has_value());
  const auto heard = HeardMark{.mark = 1, .at = made};
  BOOST_TEST(EchoOf(heard, made + kMarkFor).has_value());
  BOOST_TEST(!EchoOf(heard, made + kMarkFor + milliseconds{1}).has_value());
}

BOOST_AUTO_TEST_CASE(marks_go_round_without_a_gap) {
  constexpr auto round = milliseconds{std::numeric_limits<std::uint32_t>::max()};
  const auto made = kStart + round;
  const auto echo = Echo{.mark = MarkAt(kClock, made), .held = milliseconds{30}};
  BOOST_TEST((SentNotBefore(kClock, echo, made + seconds{1}) == made + milliseconds{30}));
}

}  // namespace
}  // namespace anvildrum::base
