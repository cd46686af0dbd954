#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>
#include <string>

#include "packets/tests/narrow_links_world.h"

namespace anvildrum::packets {
namespace {

using base::milliseconds;
using base::seconds;

constexpr auto kBound = seconds{5};  // in which a configuration has to be in force

// Links of 10 Mbit/s and the largest value that a platform holds.
constexpr auto kNarrow = 1.25e6;
constexpr auto kLargest = 1'048'576.0;

// Calls `check` with worlds of two sizes and of configurations up to the largest after 40 s.
auto PlayAll(const std::function<void(const NarrowLinksWorld&, const std::string&)>& check)
    -> void {
  for (const auto balancers : {18U, 91U}) {
    for (const auto bytes : {kLargest / 4, kLargest / 4 * 3, kLargest}) {
      for (const auto behind : {milliseconds{0}, milliseconds{1000}, milliseconds{5500}}) {
        for (const auto seed : {1U, 2U, 3U}) {
          auto world = NarrowLinksWorld{{.balancers = balancers,
                                         .wide = balancers / 3,
                                         .narrow_bytes_a_second = kNarrow,
                                         .configuration_bytes = bytes,
                                         .version_every = milliseconds{3050},
                                         .copies_behind = behind,
                                         .seed = seed}};
          world.RunFor(seconds{40});
          const auto name = std::to_string(balancers) + " balancers, " +
                            std::to_string(static_cast<int>(bytes)) + " bytes, copies " +
                            std::to_string(behind.count()) + " ms behind, seed " +
                            std::to_string(seed);
          BOOST_TEST_MESSAGE(name << ": " << world.MostBehind().count() << " ms behind, "
                                  << world.CutShort() << " cut short");
          check(world, name);
        }
      }
    }
  }
}

// Reads that are given up while their answers come, and sent again beside others, fill a link and
// never end: the balancer goes by a configuration that was replaced long ago.
BOOST_AUTO_TEST_CASE(a_configuration_that_fills_a_link_is_in_force_in_time) {
  PlayAll([](const NarrowLinksWorld& world, const std::string& name) {
    BOOST_TEST(world.MostBehind().count() < milliseconds{kBound}.count(), name);
  });
}

// An answer that is given up while it comes has cost its time on the link for nothing.
BOOST_AUTO_TEST_CASE(no_answer_is_given_up_while_it_comes) {
  PlayAll([](const NarrowLinksWorld& world, const std::string& name) {
    BOOST_TEST(world.CutShort() == 0U, name);
  });
}

}  // namespace
}  // namespace anvildrum::packets
