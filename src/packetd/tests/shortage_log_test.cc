#include "packetd/shortage_log.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::packetd {
namespace {

constexpr auto kStart = base::TimePoint{base::seconds{1000}};
constexpr auto kCheck = packets::kStallCheck;

BOOST_AUTO_TEST_SUITE(shortage_log)

// Guards against a count that leaves out what was turned away between the shortage's beginning and
// the check that noticed it, or that includes what was turned away before.
BOOST_AUTO_TEST_CASE(openings_are_counted_from_the_last_check_before_the_shortage) {
  auto log = ShortageLog{};
  BOOST_TEST((NextShortageLine(log, false, 7, kStart) == ShortageLine::kNone));
  BOOST_TEST((NextShortageLine(log, true, 10, kStart + kCheck) == ShortageLine::kBegan));
  BOOST_TEST(log.turned_away == 7U);
  BOOST_TEST((NextShortageLine(log, true, 90, kStart + base::seconds{8}) == ShortageLine::kNone));
  BOOST_TEST((NextShortageLine(log, false, 95, kStart + base::seconds{9}) == ShortageLine::kEnded));
  BOOST_TEST(log.turned_away == 7U);
  BOOST_TEST((NextShortageLine(log, false, 99, kStart + base::seconds{9} + kCheck) ==
              ShortageLine::kNone));
  BOOST_TEST(log.turned_away == 99U);
}

// Guards against a log that a service at its limit fills: a shortage may last half a second and
// begin anew at once.
BOOST_AUTO_TEST_CASE(there_is_at_most_one_line_a_second) {
  auto log = ShortageLog{};
  auto said = std::vector<base::TimePoint>{};
  auto lines = std::vector<ShortageLine>{};
  for (auto i = 0; i < 200; ++i) {
    const auto now = kStart + i * kCheck;
    const auto line = NextShortageLine(log, i / 11 % 2 == 1, 0, now);
    if (line == ShortageLine::kNone) continue;
    said.push_back(now);
    lines.push_back(line);
  }
  BOOST_REQUIRE(said.size() >= 4U);
  for (auto i = std::size_t{1}; i < said.size(); ++i) {
    BOOST_TEST((said[i] - said[i - 1] >= base::seconds{1}));
    BOOST_TEST((lines[i] != lines[i - 1]));
  }
}

// Guards against a line about the end that is lost when it falls due within the second.
BOOST_AUTO_TEST_CASE(a_line_that_had_to_wait_is_written) {
  auto log = ShortageLog{};
  BOOST_TEST((NextShortageLine(log, true, 0, kStart) == ShortageLine::kBegan));
  const auto ended_at = kStart + base::milliseconds{600};
  BOOST_TEST((NextShortageLine(log, false, 0, ended_at) == ShortageLine::kNone));
  BOOST_TEST((NextShortageLine(log, false, 0, kStart + base::seconds{1}) == ShortageLine::kEnded));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::packetd
