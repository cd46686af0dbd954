#include "slope.h"

#include <array>
#include <boost/test/unit_test.hpp>

namespace anvildrum::capacity {
namespace {

constexpr auto kTolerance = 1e-9;

BOOST_AUTO_TEST_CASE(points_on_a_line_give_that_line) {
  auto points = std::array{Point{1, 13}, Point{10, 40}, Point{100, 310}};
  auto line = FitLine(points);
  BOOST_CHECK_CLOSE(line.slope, 3.0, kTolerance);
  BOOST_CHECK_CLOSE(line.intercept, 10.0, kTolerance);
  BOOST_CHECK_SMALL(line.residual, kTolerance);
}

// The page extends a line to thousands of units and also reads it at one. A fit that follows the
// largest point alone puts the smallest far off the line (here several times its value).
BOOST_AUTO_TEST_CASE(small_sizes_count_as_much_as_large_ones) {
  auto points = std::array{Point{1, 10}, Point{10, 30}, Point{1000, 3500}};
  auto line = FitLine(points);
  auto at_one = line.intercept + line.slope;
  BOOST_TEST(at_one > 5.0);
  BOOST_TEST(at_one < 20.0);
}

BOOST_AUTO_TEST_CASE(residual_is_the_worst_share) {
  auto points = std::array{Point{1, 10}, Point{2, 10}, Point{3, 10}, Point{2, 20}};
  auto line = FitLine(points);
  BOOST_CHECK_CLOSE(line.slope + 1.0, 1.0, kTolerance);
  auto distance = 20.0 - (line.intercept + 2 * line.slope);
  BOOST_CHECK_CLOSE(line.residual, distance / 20.0, kTolerance);
}

}  // namespace
}  // namespace anvildrum::capacity
