#include "membership/suspicion.h"

#include <boost/test/unit_test.hpp>

namespace anvildrum::membership {
namespace {

constexpr auto kTick = base::milliseconds(10);

struct Observation {
  std::size_t probes = 0;
  std::size_t changes = 0;
};

// Runs the observer. `answers` returns whether the peers answer at a given time.
template <typename Answers>
auto Run(Suspicion& state, base::TimePoint& now, base::Duration length, Answers answers)
    -> Observation {
  auto seen = Observation{};
  for (auto end = now + length; now < end; now += kTick) {
    auto effects = Step(state, SuspicionTimer{}, now);
    seen.probes += effects.probes.size();
    seen.changes += effects.changes.size();
    for (const auto& probe : effects.probes) {
      if (!answers(now)) continue;
      auto ref = PeerRef{probe.instance, 1};
      seen.changes += Step(state, ProbeAnswered{ref, probe.sequence}, now).changes.size();
    }
  }
  return seen;
}

auto MakeObserver(std::size_t count) -> Suspicion {
  auto state = Suspicion{};
  auto refs = std::vector<PeerRef>{};
  for (auto i = std::size_t{1}; i <= count; ++i) refs.push_back({{i}, 1});
  Step(state, PeersChanged{refs}, {});
  return state;
}

BOOST_AUTO_TEST_CASE(a_silent_peer_becomes_suspect_and_recovers_when_it_answers) {
  auto state = MakeObserver(1);
  auto now = base::TimePoint{};
  Run(state, now, base::seconds(5), [](auto) { return true; });
  BOOST_TEST(!state.peers[0].suspect);
  Run(state, now, base::seconds(3), [](auto) { return false; });
  BOOST_TEST(state.peers[0].suspect);
  Run(state, now, base::seconds(3), [](auto) { return true; });
  BOOST_TEST(!state.peers[0].suspect);
}

// A peer stops and continues every two seconds for ten minutes. If one answer ended each suspicion,
// the homes of its flows would move 300 times. The growing number of answers has to limit the
// moves.
BOOST_AUTO_TEST_CASE(changes_of_a_flapping_peer_are_bounded) {
  auto state = MakeObserver(1);
  auto now = base::TimePoint{};
  auto flapping = [](base::TimePoint at) {
    return at.time_since_epoch() / base::seconds(2) % 2 == 0;
  };
  auto seen = Run(state, now, base::minutes(10), flapping);
  BOOST_TEST(seen.changes <= 20u);
}

BOOST_AUTO_TEST_CASE(probes_are_bounded_however_many_peers_there_are) {
  auto state = MakeObserver(1000);
  auto now = base::TimePoint{};
  auto seen = Run(state, now, base::seconds(10), [](auto) { return true; });
  auto rounds = base::seconds(10) / state.policy.probe_period;
  BOOST_TEST(seen.probes <= (rounds + 1) * state.policy.probes_per_round);
  BOOST_TEST(seen.probes >= (rounds - 1) * state.policy.probes_per_round);
}

// A late answer of a replaced process must not count for its successor.
BOOST_AUTO_TEST_CASE(an_answer_of_another_incarnation_is_no_proof_of_life) {
  auto state = MakeObserver(1);
  auto now = base::TimePoint{};
  Run(state, now, base::seconds(5), [](auto) { return false; });
  auto effects = Step(state, Heard{{{1}, 9}}, now);
  BOOST_TEST(effects.changes.empty());
  BOOST_TEST(state.peers[0].suspect);
}

// A peer reports its load unsolicited, without a sequence number, half a period after it answered a
// probe. If that counted as the answer, the round trip would be measured as half a period, and the
// peer's failure would be detected that much later.
BOOST_AUTO_TEST_CASE(an_unsolicited_load_report_answers_no_probe) {
  auto state = MakeObserver(1);
  auto now = base::TimePoint{};
  Run(state, now, base::seconds(5), [](auto) { return true; });
  auto round_trip = state.peers[0].round_trip;
  Step(state, ProbeAnswered{{{1}, 1}, 0}, now + state.policy.probe_period / 2);
  BOOST_TEST((state.peers[0].round_trip == round_trip));
}

}  // namespace
}  // namespace anvildrum::membership
