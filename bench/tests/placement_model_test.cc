#include "placement_model.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::bench {
namespace {

constexpr auto kSeed = 1U;

auto Product() -> PlacementVariant { return {"product", Choice::kProduct, true}; }
auto PowerOfTwo() -> PlacementVariant { return {"power-of-two", Choice::kPowerOfTwo, false}; }

// All slots are needed, and balancers hear of each target's load every 250 ms. Queues form where a
// few balancers choose the same target; an agent that has no place passes the opening on.
BOOST_AUTO_TEST_CASE(at_full_load_requests_are_in_time) {
  const auto product = RunPlacement(Product(), {.of_slots = 1.0}, kSeed);
  BOOST_TEST(product.in_aim > 0.95);
  BOOST_TEST(product.max_over_mean < 1.3);
  BOOST_TEST(RunPlacement(PowerOfTwo(), {.of_slots = 1.0}, kSeed).in_aim < 0.9);
}

// Twice what the targets can do comes for 20 s. Queued, all requests would be late; those that find
// no place are refused at once, and the others are served as if there were no overload.
BOOST_AUTO_TEST_CASE(under_overload_as_many_are_in_time_as_can_be) {
  const auto product = RunPlacement(Product(), {.of_slots = 2.0}, kSeed);
  BOOST_TEST(product.in_aim > 0.47);  // 0.5 is all that the slots can do
  BOOST_TEST(product.p99_ms < kAimMs);
  BOOST_TEST(RunPlacement(PowerOfTwo(), {.of_slots = 2.0}, kSeed).in_aim < 0.01);
}

// Reports are a second old. Going by them alone, all balancers choose the target that looked
// emptiest.
BOOST_AUTO_TEST_CASE(old_reports_make_no_rush) {
  const auto load = PlacementLoad{.of_slots = 0.8, .report_ms = 1000};
  BOOST_TEST(RunPlacement(Product(), load, kSeed).max_over_mean < 2.2);
  const auto least = PlacementVariant{"least-reported", Choice::kLeastReported, false};
  BOOST_TEST(RunPlacement(least, load, kSeed).max_over_mean > 4);
}

// Three of 34 targets take four times as long. They are given what they can do.
BOOST_AUTO_TEST_CASE(slow_targets_are_given_less) {
  const auto load = PlacementLoad{.of_slots = 0.8, .slow_factor = 4};
  BOOST_TEST(RunPlacement(Product(), load, kSeed).in_aim > 0.97);
  BOOST_TEST(RunPlacement(PowerOfTwo(), load, kSeed).in_aim < 0.97);
}

}  // namespace
}  // namespace anvildrum::bench
