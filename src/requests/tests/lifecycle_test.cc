#include "requests/lifecycle.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::requests {
namespace {

BOOST_AUTO_TEST_CASE(life_of_a_challenged_post) {
  auto stage = Stage::kNew;
  for (auto transition : {Transition::kChallenge, Transition::kConfirm, Transition::kEnqueue,
                          Transition::kSend, Transition::kAnswer}) {
    stage = Advance(stage, transition).value();
  }
  BOOST_CHECK(stage == Stage::kAnswered);
}

// A client that got one outcome must not get another.
BOOST_AUTO_TEST_CASE(nothing_follows_a_final_outcome) {
  for (auto stage : {Stage::kAnswered, Stage::kRefused, Stage::kUnknown}) {
    for (auto i = std::size_t{0}; i < kTransitions; ++i) {
      BOOST_CHECK(!Advance(stage, static_cast<Transition>(i)).has_value());
    }
  }
}

// A request sent to the target may have run. It may end as unknown, but must not be refused as not
// run.
BOOST_AUTO_TEST_CASE(running_request_cannot_be_refused) {
  BOOST_CHECK(!Advance(Stage::kRunning, Transition::kRefuse).has_value());
  BOOST_CHECK(Advance(Stage::kRunning, Transition::kGiveUp) == Stage::kUnknown);
  BOOST_CHECK(!Advance(Stage::kChallenged, Transition::kSend).has_value());
}

}  // namespace
}  // namespace anvildrum::requests
