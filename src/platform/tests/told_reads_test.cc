#include <boost/test/unit_test.hpp>
#include <functional>
#include <ostream>
#include <string>

#include "platform/tests/told_reads_world.h"

namespace anvildrum::platform {
namespace {

using base::microseconds;
using base::milliseconds;
using base::seconds;

constexpr auto kBoundMs = 3000;  // in which a version has to be in force

auto NameOf(const ToldReadsOptions& options) -> std::string {
  return std::to_string(options.instances) + " instances, " +
         std::to_string(options.way / microseconds{1}) + " us, pauses of " +
         std::to_string(options.pause / seconds{1}) + " s";
}

// Calls `check` with a world of each size, link and pause after 20 s.
auto PlayAll(const std::function<void(const ToldReadsWorld&, const std::string&)>& check) -> void {
  for (const auto instances : {18U, 91U, 300U}) {
    for (const auto way : {microseconds{1400}, microseconds{50'000}, microseconds{500'000}}) {
      for (const auto pause : {seconds{0}, seconds{3}}) {
        const auto options = ToldReadsOptions{
            .instances = instances, .way = way, .way_more = way, .pause = pause, .seed = 1};
        auto world = ToldReadsWorld{options};
        world.RunFor(seconds{20});
        check(world, NameOf(options));
      }
    }
  }
}

// Hellos that come late, or wait in the socket of a paused process, make an old configuration look
// as if it had just been read.
BOOST_AUTO_TEST_CASE(nothing_told_counts_as_newer_than_the_read_behind_it) {
  PlayAll([](const ToldReadsWorld& world, const std::string& name) {
    BOOST_TEST(world.MostTooNew() == 0, name << ": " << world.MostTooNew() << " us too new");
  });
}

// Instances that believe such hellos put their own reads off, and hold a version that was replaced
// for longer than it may be in force.
BOOST_AUTO_TEST_CASE(no_running_instance_holds_a_replaced_version_beyond_the_bound) {
  PlayAll([](const ToldReadsWorld& world, const std::string& name) {
    BOOST_TEST_MESSAGE(name << ": " << world.MostBehind() << " ms behind, " << world.Calls()
                            << " reads");
    BOOST_TEST(world.MostBehind() < kBoundMs, name << ": " << world.MostBehind() << " ms");
  });
}

}  // namespace
}  // namespace anvildrum::platform
