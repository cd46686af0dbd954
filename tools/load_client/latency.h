#pragma once

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/accumulators/statistics/tail_quantile.hpp>
#include <cstddef>

namespace anvildrum::load {

/// Samples kept for quantiles: the p50 is exact for up to twice as many answers.
inline constexpr std::size_t kLatencySamples = 200'000;

/// Latencies in milliseconds; quantiles are those of the samples themselves.
using Latencies = boost::accumulators::accumulator_set<
    double, boost::accumulators::stats<
                boost::accumulators::tag::tail_quantile<boost::accumulators::right>>>;

}  // namespace anvildrum::load
