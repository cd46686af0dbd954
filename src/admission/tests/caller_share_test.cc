#include "admission/caller_share.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <map>
#include <random>

namespace anvildrum::admission {
namespace {

constexpr auto kStart = base::TimePoint{base::seconds{1000}};
constexpr auto kForged = std::uint32_t{0x0A000000};  // first of the forged addresses

// Caller 0 demands `factor` times as much as each of the others.
struct Demand {
  double per_second = 36;
  std::uint32_t callers = 1200;
  double factor = 10;
  double forged_per_second = 0;  ///< requests of addresses that are used once
  base::Duration length = base::seconds{600};
};

// Share of the callers' requests that come from a caller over its share.
struct Verdicts {
  double greedy = 0;
  double ordinary = 0;
};

auto Run(const Demand& demand, std::uint64_t seed) -> Verdicts {
  auto random = std::mt19937_64{seed};
  const auto total = demand.per_second + demand.forged_per_second;
  auto gap = std::exponential_distribution<double>{total};
  auto kind = std::uniform_real_distribution<double>{0, total};
  auto other = std::uniform_int_distribution<std::uint32_t>{1, demand.callers - 1};
  const auto greedy_rate = demand.per_second * demand.factor / (demand.callers - 1 + demand.factor);
  auto share = CallerShare{.seed = seed};
  auto forged = kForged;
  auto over = std::array<double, 2>{};
  auto count = std::array<double, 2>{};
  for (auto now = kStart; now < kStart + demand.length;) {
    now += std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>{gap(random)});
    const auto drawn = kind(random);
    const auto is_forged = drawn >= demand.per_second;
    const auto is_greedy = drawn < greedy_rate;
    const auto caller = is_forged ? forged++ : is_greedy ? 0U : other(random);
    if (!is_forged) {
      count.at(is_greedy ? 0 : 1) += 1;
      over.at(is_greedy ? 0 : 1) += IsOverShare(share, caller, now) ? 1 : 0;
    }
    CountUse(share, caller, now);
  }
  return {over[0] / std::max(count[0], 1.0), over[1] / std::max(count[1], 1.0)};
}

BOOST_AUTO_TEST_SUITE(caller_share)

// Guards against a caller that hides its use behind others, also across the turn of a generation.
BOOST_AUTO_TEST_CASE(use_is_never_understated) {
  auto random = std::mt19937_64{1};
  auto share = CallerShare{.seed = 7};
  auto counted = std::map<std::uint32_t, std::uint64_t>{};
  auto now = kStart;
  // 4.8 s: everything that was counted is in one of the two generations.
  for (auto i = 0; i < 24'000; ++i, now += base::microseconds{200}) {
    const auto caller = static_cast<std::uint32_t>(random() % 3000);
    CountUse(share, caller, now);
    ++counted[caller];
  }
  for (const auto& [caller, use] : counted) BOOST_REQUIRE(UseOf(share, caller, now) >= use);
}

// Guards against rows that are not independent, and against an update that raises all counters: the
// overstatement of 10,000 addresses in 1,024 columns would then be about 7 or more.
BOOST_AUTO_TEST_CASE(overstatement_is_bounded_with_10000_addresses) {
  for (const auto seed : {1U, 2U, 3U}) {
    auto share = CallerShare{.seed = seed};
    for (auto caller = 0U; caller < 10'000; ++caller) CountUse(share, caller, kStart);
    auto sum = 0.0;
    auto most = std::uint64_t{0};
    for (auto caller = 0U; caller < 10'000; ++caller) {
      const auto over = UseOf(share, caller, kStart) - 1;
      sum += static_cast<double>(over);
      most = std::max(most, over);
    }
    BOOST_TEST_MESSAGE("seed " << seed << ": overstated by " << sum / 10'000 << ", at most "
                               << most);
    BOOST_TEST(sum / 10'000 < 6);
    BOOST_TEST(most < 12U);
  }
}

// Guards against a verdict that finds none of a greedy caller's requests at the low rate of a
// target. Most of them cannot be told from ordinary ones: the caller has had 1.1 requests within
// the window in the mean, an ordinary one 0.11.
BOOST_AUTO_TEST_CASE(a_greedy_caller_is_told_from_ordinary_ones_at_real_rates) {
  const auto found = Run({.length = base::seconds{3600}}, 1);
  BOOST_TEST_MESSAGE("greedy " << found.greedy << ", ordinary " << found.ordinary);
  BOOST_TEST(found.greedy > 0.25);
  BOOST_TEST(found.ordinary < 0.01);
}

// Guards against a rule that fits the low rate alone.
BOOST_AUTO_TEST_CASE(a_greedy_caller_is_found_where_callers_are_few) {
  const auto found = Run({.callers = 40}, 1);
  BOOST_TEST_MESSAGE("greedy " << found.greedy << ", ordinary " << found.ordinary);
  BOOST_TEST(found.greedy > 0.95);
  BOOST_TEST(found.ordinary < 0.01);
}

// Guards against collisions, or a mean that forged addresses lower, putting ordinary callers last.
BOOST_AUTO_TEST_CASE(forged_addresses_do_not_put_ordinary_callers_over_their_share) {
  for (const auto rate : {200.0, 1000.0, 4000.0}) {
    const auto found = Run({.forged_per_second = rate, .length = base::seconds{60}}, 1);
    BOOST_TEST_MESSAGE(rate << "/s forged: ordinary " << found.ordinary);
    BOOST_TEST(found.ordinary < 0.01);
  }
}

// Guards against memory that grows with the number of addresses, and against its use at agents
// where nothing is counted.
BOOST_AUTO_TEST_CASE(memory_is_constant_from_the_first_use_on) {
  auto share = CallerShare{};
  BOOST_TEST(!IsOverShare(share, 1, kStart));
  BOOST_TEST(share.counters[0].capacity() == 0U);
  for (auto caller = kForged; caller < kForged + 50'000; ++caller) {
    CountUse(share, caller, kStart + base::microseconds{(caller - kForged) * 200});
  }
  BOOST_TEST(share.counters[0].capacity() + share.counters[1].capacity() == 2U * 4U * 1024U);
}

// Guards against a caller that stays last after it has gone quiet.
BOOST_AUTO_TEST_CASE(use_is_forgotten_after_five_seconds) {
  for (const auto began : {0, 1, 1249, 2499}) {
    auto share = CallerShare{};
    CountUse(share, 2, kStart);  // starts the first generation
    const auto used_at = kStart + base::milliseconds{began};
    CountUse(share, 1, used_at);
    BOOST_TEST(UseOf(share, 1, used_at + base::milliseconds{2499}) == 1U);
    BOOST_TEST(UseOf(share, 1, used_at + base::seconds{5}) == 0U);
  }
}

// Guards against a pause after which old use counts as recent, and against a wrong number of
// callers after the turn of a generation.
BOOST_AUTO_TEST_CASE(callers_are_counted_over_both_generations) {
  auto share = CallerShare{};
  const auto use_by = [&](std::uint32_t from, std::uint32_t to, base::TimePoint now) {
    for (auto caller = from; caller < to; ++caller) CountUse(share, caller, now);
    return CallersSeen(share, now);
  };
  BOOST_TEST(std::abs(use_by(0, 100, kStart) - 100) < 10);
  BOOST_TEST(std::abs(use_by(0, 100, kStart + base::seconds{3}) - 100) < 10);
  BOOST_TEST(std::abs(use_by(100, 200, kStart + base::seconds{4}) - 200) < 15);
  BOOST_TEST(std::abs(CallersSeen(share, kStart + base::seconds{6}) - 200) < 15);
  BOOST_TEST(CallersSeen(share, kStart + base::seconds{60}) == 0);
  BOOST_TEST(std::abs(use_by(0, 50, kStart + base::seconds{61}) - 50) < 8);
}

// Guards against a verdict by the mean of a handful of callers.
BOOST_AUTO_TEST_CASE(nobody_is_over_its_share_among_fewer_than_16_callers) {
  auto share = CallerShare{.seed = 3};
  for (auto caller = 1U; caller < 15; ++caller) CountUse(share, caller, kStart);
  for (auto i = 0; i < 500; ++i) CountUse(share, 0, kStart);
  BOOST_TEST(!IsOverShare(share, 0, kStart));
  for (auto caller = 15U; caller < 20; ++caller) CountUse(share, caller, kStart);
  BOOST_TEST(IsOverShare(share, 0, kStart));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::admission
