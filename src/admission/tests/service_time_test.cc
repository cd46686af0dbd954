#include "admission/service_time.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::admission {
namespace {

constexpr auto kStart = base::TimePoint{base::seconds{1000}};

BOOST_AUTO_TEST_SUITE(service_time)

// Guards against an estimate that starts at zero and needs many answers to become useful.
BOOST_AUTO_TEST_CASE(the_first_observation_sets_the_mean) {
  auto estimate = ServiceTime{};
  Observe(estimate, base::milliseconds{40}, 0.1, kStart);
  BOOST_TEST((estimate.mean == base::milliseconds{40}));
  BOOST_TEST((UpperBound(estimate) == base::milliseconds{40}));
}

// Guards against an assumed mean that is dropped at the first answer: one fast answer would then
// decide what a target is taken to need.
BOOST_AUTO_TEST_CASE(an_assumed_mean_is_moved_by_observations) {
  auto estimate = StartingAt(base::milliseconds{20});
  Observe(estimate, base::milliseconds{10}, 0.1, kStart);
  BOOST_TEST((estimate.mean == base::milliseconds{19}));
  BOOST_TEST((estimate.deviation == base::milliseconds{1}));
}

// Guards against counting the wait in the target's queue as service time: under load, targets would
// seem slower than they are and openings would be turned away.
BOOST_AUTO_TEST_CASE(the_wait_for_earlier_requests_is_taken_out) {
  const auto taken = WithoutWait(base::milliseconds{90}, 6, 3);
  BOOST_TEST((taken == base::milliseconds{30}));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::admission
