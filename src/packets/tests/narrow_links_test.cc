#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <ostream>
#include <string>
#include <vector>

#include "packets/tests/narrow_links_world.h"

namespace anvildrum::packets {
namespace {

using base::milliseconds;
using base::seconds;

constexpr auto kBound = seconds{5};  // time within which a configuration has to be in force

// Links of 10 Mbit/s and the largest value that a platform holds.
constexpr auto kNarrow = 1.25e6;
constexpr auto kLargest = 1'048'576.0;

struct Played {
  std::string name;
  milliseconds behind{};
  std::uint64_t cut_short = 0;
};

auto Play(const NarrowLinksOptions& options) -> Played {
  auto world = NarrowLinksWorld{options};
  world.RunFor(seconds{40});
  auto played =
      Played{.name = std::to_string(options.balancers) + " balancers, " +
                     std::to_string(static_cast<int>(options.configuration_bytes)) +
                     " bytes, copies " + std::to_string(options.copies_behind / milliseconds{1}) +
                     " ms behind, seed " + std::to_string(options.seed),
             .behind = world.MostBehind(),
             .cut_short = world.CutShort()};
  BOOST_TEST_MESSAGE(played.name << ": " << played.behind.count() << " ms behind, "
                                 << played.cut_short << " cut short");
  return played;
}

// Simulations of two sizes with configurations up to the largest, run once for all tests.
auto PlayedWorlds() -> const std::vector<Played>& {
  static const auto worlds = [] {
    auto played = std::vector<Played>{};
    for (const auto balancers : {18U, 91U}) {
      for (const auto bytes : {kLargest / 4, kLargest / 4 * 3, kLargest}) {
        for (const auto behind : {milliseconds{0}, milliseconds{1000}, milliseconds{5500}}) {
          for (const auto seed : {1U, 2U, 3U}) {
            played.push_back(Play({.balancers = balancers,
                                   .wide = balancers / 3,
                                   .narrow_bytes_a_second = kNarrow,
                                   .configuration_bytes = bytes,
                                   .version_every = milliseconds{3050},
                                   .copies_behind = behind,
                                   .seed = seed}));
          }
        }
      }
    }
    return played;
  }();
  return worlds;
}

// Reads that are cancelled while their answers arrive and are then sent again beside others fill a
// link and never complete, so that the balancer keeps using a configuration replaced long ago.
BOOST_AUTO_TEST_CASE(a_configuration_that_fills_a_link_is_in_force_in_time) {
  for (const auto& world : PlayedWorlds()) {
    BOOST_TEST(world.behind.count() < milliseconds{kBound}.count(), world.name);
  }
}

// An answer that is cancelled while it arrives has used the link in vain.
BOOST_AUTO_TEST_CASE(no_answer_is_given_up_while_it_comes) {
  for (const auto& world : PlayedWorlds()) BOOST_TEST(world.cut_short == 0U, world.name);
}

}  // namespace
}  // namespace anvildrum::packets
