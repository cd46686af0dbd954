#include <boost/test/unit_test.hpp>
#include <ostream>

#include "platform/tests/told_reads_world.h"

namespace anvildrum::platform {
namespace {

using base::microseconds;
using base::milliseconds;
using base::seconds;

// Hellos that come late, or wait in the socket of a paused process, make an old configuration look
// as if it had just been read.
BOOST_AUTO_TEST_CASE(nothing_told_counts_as_newer_than_the_read_behind_it) {
  for (const auto instances : {18U, 91U, 300U}) {
    for (const auto way : {microseconds{1400}, microseconds{50'000}, microseconds{500'000}}) {
      for (const auto pause : {seconds{0}, seconds{3}}) {
        auto world =
            ToldReadsWorld{{.instances = instances, .way = way, .way_more = way, .pause = pause}};
        world.RunFor(seconds{20});
        BOOST_TEST_MESSAGE(instances << " instances, " << way.count() << " us, pauses of "
                                     << pause.count() << " s: " << world.MostTooNew()
                                     << " us too new, " << world.MostBehind() << " ms behind, "
                                     << world.Calls() << " reads");
        BOOST_TEST(world.MostTooNew() == 0, instances << " instances, " << way.count()
                                                      << " us, pauses of " << pause.count()
                                                      << " s: " << world.MostTooNew() << " us");
      }
    }
  }
}

}  // namespace
}  // namespace anvildrum::platform
