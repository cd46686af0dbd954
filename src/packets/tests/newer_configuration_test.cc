#include "packets/newer_configuration.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace anvildrum::packets {
namespace {

using base::milliseconds;
using Source = ConfigurationSource;

constexpr auto kStart = base::TimePoint{base::seconds{1000}};
constexpr auto kEvery = milliseconds{500};
constexpr auto kHolder = Address{7};
constexpr auto kBasis = ConfigurationRequestContext{.revision = 3, .every = kEvery};

// Returns the sources that a balancer asks in `count` periods after it has heard of revision 4.
auto SourcesOf(const ConfigurationRequestContext& basis, int count) -> std::vector<Source> {
  auto newer = std::optional<NewerConfiguration>{};
  BOOST_TEST(NoteNewer(newer, kHolder, 4, basis.revision));
  auto asks = std::vector<Source>{};
  for (auto period = 0; period < count; ++period) {
    if (const auto source = NextConfigurationSource(newer, basis, kStart + period * kEvery)) {
      asks.push_back(*source);
    }
  }
  return asks;
}

BOOST_AUTO_TEST_CASE(copies_are_asked_first_then_the_platform_and_a_holder_in_turn) {
  const auto expected = std::vector{Source::kCopy, Source::kCopy, Source::kPlatform,
                                    Source::kBalancer, Source::kPlatform};
  BOOST_TEST((SourcesOf(kBasis, 5) == expected));
}

// All other balancers learn of a configuration from seeds, so that a seed must not lag by the age
// of a copy.
BOOST_AUTO_TEST_CASE(a_seed_asks_the_platform_at_once) {
  auto basis = kBasis;
  basis.is_seed = true;
  BOOST_TEST((SourcesOf(basis, 2) == std::vector{Source::kPlatform, Source::kBalancer}));
}

// A call that the platform refuses costs as much as an answered one.
BOOST_AUTO_TEST_CASE(a_balancer_that_is_turned_away_asks_holders) {
  auto basis = kBasis;
  basis.turned_away = true;
  const auto expected =
      std::vector{Source::kBalancer, Source::kBalancer, Source::kBalancer, Source::kCopy};
  BOOST_TEST((SourcesOf(basis, 4) == expected));
}

// Without a limit, a holder that has gone would be asked forever.
BOOST_AUTO_TEST_CASE(questions_for_one_revision_end) {
  BOOST_TEST(SourcesOf(kBasis, 20).size() == 8U);
}

// A second answer would share the link with the one that is arriving, and both would be delayed.
BOOST_AUTO_TEST_CASE(nobody_is_asked_while_an_answer_is_coming) {
  auto basis = kBasis;
  basis.answer_coming = true;
  BOOST_TEST(SourcesOf(basis, 20).empty());
}

// An outdated copy occupies the link with useless bytes. If these take long, a second copy would
// use up the time in which the configuration has to be in force.
BOOST_AUTO_TEST_CASE(copies_are_not_asked_again_where_an_answer_takes_long) {
  auto newer = std::optional<NewerConfiguration>{};
  NoteNewer(newer, kHolder, 4, kBasis.revision);
  BOOST_TEST((NextConfigurationSource(newer, kBasis, kStart) == Source::kCopy));
  auto coming = kBasis;
  coming.answer_coming = true;
  BOOST_TEST(!NextConfigurationSource(newer, coming, kStart + kEvery).has_value());
  BOOST_TEST((NextConfigurationSource(newer, kBasis, kStart + 2 * kEvery) == Source::kPlatform));
}

BOOST_AUTO_TEST_CASE(nobody_is_asked_for_what_is_in_force) {
  auto newer = std::optional<NewerConfiguration>{};
  BOOST_TEST(!NoteNewer(newer, kHolder, 3, 3));
  BOOST_TEST(NoteNewer(newer, kHolder, 4, 3));
  auto basis = kBasis;
  basis.revision = 4;
  BOOST_TEST(!NextConfigurationSource(newer, basis, kStart).has_value());
  BOOST_TEST(!newer.has_value());
}

// The first holder may have gone by the time of the next request.
BOOST_AUTO_TEST_CASE(the_holder_that_told_last_is_asked) {
  auto newer = std::optional<NewerConfiguration>{};
  NoteNewer(newer, kHolder, 4, 3);
  BOOST_TEST(!NoteNewer(newer, kHolder + 1, 4, 3));
  BOOST_TEST(newer->holder == kHolder + 1);
}

// The platform and other balancers, which have the newest configuration, get time to answer first.
BOOST_AUTO_TEST_CASE(an_agent_is_not_asked_at_once) {
  auto kept = KeptConfigurations{};
  BOOST_TEST(!NoteKeptConfiguration(kept, 3, milliseconds{499}));
  BOOST_TEST(NoteKeptConfiguration(kept, 3, milliseconds{500}));
  BOOST_TEST(!NoteKeptConfiguration(kept, 0, milliseconds{500}));
}

// Guards against an outdated copy: an agent that stored the configuration an hour ago must not
// bring it into force again.
BOOST_AUTO_TEST_CASE(the_newest_of_what_agents_keep_is_asked_for) {
  auto kept = KeptConfigurations{};
  NoteKeptConfiguration(kept, 3, milliseconds{100});
  NoteKeptConfiguration(kept, 7, milliseconds{200});
  BOOST_TEST(!NoteKeptConfiguration(kept, 3, milliseconds{600}));
  BOOST_TEST(NoteKeptConfiguration(kept, 7, milliseconds{700}));
}

// The only agent that kept the newest configuration has gone. Without an older one the balancer
// would serve nothing.
BOOST_AUTO_TEST_CASE(an_older_configuration_is_taken_where_the_newest_does_not_come) {
  auto kept = KeptConfigurations{};
  NoteKeptConfiguration(kept, 7, milliseconds{200});
  BOOST_TEST(!NoteKeptConfiguration(kept, 3, milliseconds{1400}));
  BOOST_TEST(NoteKeptConfiguration(kept, 3, milliseconds{1500}));
}

}  // namespace
}  // namespace anvildrum::packets
