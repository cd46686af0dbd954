#pragma once

#include <array>
#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/sum.hpp>

#include "telemetry/metrics.h"

namespace anvildrum::telemetry {

inline constexpr auto kQuantiles = std::array{0.5, 0.9, 0.99, 0.999};

class Summary {
 public:
  using Statistics =
      boost::accumulators::stats<boost::accumulators::tag::count, boost::accumulators::tag::sum,
                                 boost::accumulators::tag::max,
                                 boost::accumulators::tag::extended_p_square>;
  boost::accumulators::accumulator_set<double, Statistics> statistics{
      boost::accumulators::extended_p_square_probabilities = kQuantiles};
};

}  // namespace anvildrum::telemetry
