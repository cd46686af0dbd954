#pragma once

#include <span>
#include <string>
#include <vector>

namespace anvildrum::capacity {

/// One measurement: `value` at a size.
struct Point {
  double size = 0;
  double value = 0;
};

/// A straight line through points by least squares of the relative distances:
/// value = intercept + slope * size.
struct Line {
  double slope = 0;
  double intercept = 0;
  double residual = 0;  ///< largest distance of a point from the line, as a share of the point
};

/// Needs two points of different size.
auto FitLine(std::span<const Point> points) -> Line;

/// What one measured quantity costs for each further unit of its size.
struct Slope {
  std::string name;
  std::string unit;  ///< of the values: "ns" of processor time or "bytes"
  std::string per;   ///< what the size counts
  std::vector<Point> points;
};

}  // namespace anvildrum::capacity
