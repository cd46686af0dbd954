#include "slope.h"

#include <algorithm>
#include <cmath>

namespace anvildrum::capacity {
namespace {

// Points span orders of magnitude. Plain least squares would fit the largest alone and miss the
// small sizes many times over, so each distance counts as a share of its point.
auto WeightOf(const Point& point) -> double {
  return point.value > 0 ? 1.0 / (point.value * point.value) : 1.0;
}

auto WeightedMean(std::span<const Point> points, double Point::*member) -> double {
  auto sum = 0.0;
  auto weights = 0.0;
  for (const auto& point : points) {
    sum += WeightOf(point) * point.*member;
    weights += WeightOf(point);
  }
  return sum / weights;
}

auto LargestResidual(std::span<const Point> points, const Line& line) -> double {
  auto largest = 0.0;
  for (const auto& point : points) {
    auto distance = std::abs(line.intercept + line.slope * point.size - point.value);
    if (point.value > 0) largest = std::max(largest, distance / point.value);
  }
  return largest;
}

}  // namespace

auto FitLine(std::span<const Point> points) -> Line {
  auto mean_size = WeightedMean(points, &Point::size);
  auto mean_value = WeightedMean(points, &Point::value);
  auto covariance = 0.0;
  auto variance = 0.0;
  for (const auto& point : points) {
    auto distance = point.size - mean_size;
    covariance += WeightOf(point) * distance * (point.value - mean_value);
    variance += WeightOf(point) * distance * distance;
  }
  auto line = Line{};
  line.slope = covariance / variance;
  line.intercept = mean_value - line.slope * mean_size;
  line.residual = LargestResidual(points, line);
  return line;
}

}  // namespace anvildrum::capacity
