#include "tools/load_client/stream.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::load {
namespace {

const auto kStart = base::TimePoint{} + base::hours(1);
constexpr auto kLimit = base::milliseconds(1000);

auto After(int ms) -> base::TimePoint { return kStart + base::milliseconds(ms); }

auto Established() -> Stream {
  auto stream = OpenStream(kStart);
  OnNotification(stream, {205, 10}, After(100));
  return stream;
}

BOOST_AUTO_TEST_CASE(rising_numbers_within_the_limit_keep_the_stream) {
  auto stream = Established();
  OnNotification(stream, {205, 11}, After(900));
  CheckGap(stream, kLimit, After(1500));
  BOOST_CHECK(stream.fault == StreamFault::kNone);
  BOOST_TEST(IsAlive(stream, kLimit, After(1500)));
  BOOST_CHECK(stream.longest_gap == base::milliseconds(800));
}

// A screen that shows an older value after a newer one misleads; such a notification doesn't count
// as news, so a stream whose numbers have fallen breaks by its gap.
BOOST_AUTO_TEST_CASE(stale_notifications_do_not_keep_the_stream) {
  auto stream = Established();
  for (auto ms = 200; ms <= 1200; ms += 200) {
    OnNotification(stream, {205, 3}, After(ms));
    CheckGap(stream, kLimit, After(ms));
  }
  BOOST_TEST(stream.stale == 6U);
  BOOST_TEST(stream.sequence == 10U);
  BOOST_CHECK(stream.fault == StreamFault::kGap);
}

BOOST_AUTO_TEST_CASE(numbers_wrap_around) {
  auto stream = OpenStream(kStart);
  OnNotification(stream, {205, (1U << 24) - 1}, After(100));
  BOOST_TEST(IsFresh(stream, 0, After(200)));
  BOOST_TEST(!IsFresh(stream, (1U << 24) - 2, After(200)));
}

BOOST_AUTO_TEST_CASE(any_number_is_fresh_after_a_long_silence) {
  auto stream = Established();
  BOOST_TEST(!IsFresh(stream, 3, After(128'000)));
  BOOST_TEST(IsFresh(stream, 3, After(128'200)));
}

BOOST_AUTO_TEST_CASE(stream_that_never_starts_is_broken) {
  auto stream = OpenStream(kStart);
  CheckGap(stream, kLimit, After(1000));
  BOOST_CHECK(stream.fault == StreamFault::kNone);
  CheckGap(stream, kLimit, After(1001));
  BOOST_CHECK(stream.fault == StreamFault::kGap);
  BOOST_TEST(!IsAlive(stream, kLimit, After(1001)));
}

// The gap mends itself when notifications come again, but the client's screen was frozen: the fault
// stays while the stream counts as alive.
BOOST_AUTO_TEST_CASE(fault_stays_after_the_stream_has_come_back) {
  auto stream = Established();
  CheckGap(stream, kLimit, After(2000));
  OnNotification(stream, {205, 12}, After(2100));
  BOOST_CHECK(stream.fault == StreamFault::kGap);
  BOOST_TEST(IsAlive(stream, kLimit, After(2200)));
}

BOOST_AUTO_TEST_CASE(error_or_missing_observe_cancels_the_stream) {
  auto refused = Established();
  OnNotification(refused, {404, 11}, After(200));
  BOOST_CHECK(refused.fault == StreamFault::kCancelled);
  auto plain = Established();
  OnNotification(plain, {205, std::nullopt}, After(200));
  BOOST_CHECK(plain.fault == StreamFault::kCancelled);
  BOOST_TEST(!IsAlive(plain, kLimit, After(200)));
}

}  // namespace
}  // namespace anvildrum::load
