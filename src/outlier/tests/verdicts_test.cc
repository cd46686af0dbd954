#include "outlier/verdicts.h"

#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <functional>
#include <random>
#include <set>
#include <string>
#include <utility>

#include "outlier/outcomes.h"

namespace anvildrum::outlier {
namespace {

using base::milliseconds;
using base::seconds;

constexpr auto kStart = base::TimePoint{seconds{1000}};
constexpr auto kTick = milliseconds{250};  // period of the reports and the assessments
constexpr auto kTicksPerHour = std::size_t{4} * 3600;
constexpr auto kRoute = std::uint64_t{7};

/// How a target answers at a time.
using Behavior = std::function<FinishedRequest(base::TimePoint)>;

auto Healthy(base::TimePoint) -> FinishedRequest {
  return {.route = kRoute, .bytes = 2000, .taken = milliseconds{30}};
}

auto FailsFast(base::TimePoint) -> FinishedRequest {
  return {.route = kRoute, .bytes = 120, .taken = milliseconds{1}};
}

auto Ends(Ending ending) -> Behavior {
  return [ending](base::TimePoint) { return FinishedRequest{.route = kRoute, .ending = ending}; };
}

/// A service whose targets each receive `rate` requests a second. All have answered well for 10 s
/// when the test begins.
struct World {
  World(std::size_t targets, double rate, std::uint64_t seed = 1) : random(seed), rate(rate) {
    this->outcomes.resize(targets);
    this->behaviors.resize(targets, Healthy);
    this->starts.resize(targets, 1);
    this->reporting.resize(targets, true);
    this->weights.resize(targets, 1);
    this->Run(seconds{10});
  }

  auto Run(base::Duration time) -> void {
    for (auto passed = base::Duration{}; passed < time; passed += kTick) this->Step();
  }

  auto Step() -> void {
    this->now += kTick;
    auto evidence = std::vector<TargetEvidence>{};
    for (auto i = std::size_t{0}; i < this->outcomes.size(); ++i) {
      auto arrivals = std::poisson_distribution<int>{this->rate * this->weights[i] / 4};
      for (auto left = arrivals(this->random); left > 0; --left) {
        Record(this->outcomes[i], this->behaviors[i](this->now), this->now);
      }
      auto counts = CountsOf(this->outcomes[i], this->now);
      if (this->old_build) counts = {};
      evidence.push_back({i, this->starts[i], counts, this->reporting[i]});
    }
    Assess(this->state, evidence, this->now);
    // A target that is bad gets a twentieth of its share.
    for (auto i = std::size_t{0}; i < this->outcomes.size(); ++i) {
      this->weights[i] = this->Of(i) == Verdict::kBad ? 0.05 : 1;
    }
  }

  /// Returns how long it takes until the target has the verdict, or `most`.
  auto TimeUntil(std::size_t target, Verdict verdict, base::Duration most) -> base::Duration {
    const auto begin = this->now;
    while (this->Of(target) != verdict && this->now - begin < most) this->Step();
    return this->now - begin;
  }

  auto Of(std::size_t target) const -> Verdict { return VerdictOf(this->state, target); }

  std::mt19937_64 random;
  double rate;
  base::TimePoint now = kStart;
  std::vector<Outcomes> outcomes;
  std::vector<Behavior> behaviors;
  std::vector<std::uint64_t> starts;
  std::vector<bool> reporting;
  std::vector<double> weights;
  bool old_build = false;
  ServiceState state;
};

BOOST_AUTO_TEST_SUITE(verdicts)

BOOST_AUTO_TEST_CASE(the_ratio_is_that_of_the_two_hypotheses) {
  BOOST_TEST(LogLikelihoodRatio({10, 1}, 0) == std::log(20.0) + 9 * std::log(0.8 / 0.99),
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(LogLikelihoodRatio({10, 1}, 0.1) == std::log(5.0) + 9 * std::log(0.5 / 0.9),
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(LogLikelihoodRatio({0, 0}, 0) == 0.0);
}

// Guards against an infinite or undefined ratio when the peers fail often.
BOOST_AUTO_TEST_CASE(the_ratio_is_finite_whatever_the_peers_do) {
  for (const auto share : {0.0, 0.2, 0.5, 0.94, 0.95, 1.0}) {
    BOOST_TEST(std::isfinite(LogLikelihoodRatio({100, 0}, share)));
    BOOST_TEST(std::isfinite(LogLikelihoodRatio({100, 100}, share)));
  }
}

// Guards against a target that fails fast, looks idle and therefore attracts requests; the same for
// one that resets its flows, answers nothing, or returns what it gets.
BOOST_AUTO_TEST_CASE(a_target_that_fails_is_bad_within_two_seconds) {
  const auto behaviors = std::array<Behavior, 4>{
      FailsFast, Ends(Ending::kReset), Ends(Ending::kUnanswered), Ends(Ending::kReturned)};
  for (const auto& behavior : behaviors) {
    for (const auto rate : {20.0, 40.0, 80.0}) {
      auto world = World{10, rate};
      world.behaviors[3] = behavior;
      BOOST_TEST((world.TimeUntil(3, Verdict::kBad, seconds{10}) <= seconds{2}));
      for (auto i = std::size_t{0}; i < 10; ++i) {
        BOOST_TEST((i == 3 || world.Of(i) == Verdict::kGood));
      }
    }
  }
}

// Guards against a verdict that lapses while the target still fails, since it gets few requests.
BOOST_AUTO_TEST_CASE(a_target_that_keeps_failing_stays_without_its_share) {
  auto world = World{10, 40};
  world.behaviors[3] = FailsFast;
  world.TimeUntil(3, Verdict::kBad, seconds{10});
  auto bad = 0;
  for (auto i = 0; i < 240; ++i) {
    world.Step();
    bad += world.Of(3) == Verdict::kBad ? 1 : 0;
  }
  BOOST_TEST(bad > 216);  // nine tenths of a minute
}

// Guards against a target that hangs for some seconds and stays without its share when it is back.
BOOST_AUTO_TEST_CASE(a_target_that_hung_regains_its_share_within_six_seconds) {
  auto world = World{10, 40};
  world.behaviors[3] = Ends(Ending::kUnanswered);
  world.Run(seconds{5});
  BOOST_TEST((world.Of(3) == Verdict::kBad));
  world.behaviors[3] = Healthy;
  // Up to two seconds until the last failure leaves the counts, and three of decay.
  BOOST_TEST((world.TimeUntil(3, Verdict::kGood, seconds{10}) <= milliseconds{5250}));
}

// Guards against calling a slow target failing: it answers, and placement by completion handles it.
BOOST_AUTO_TEST_CASE(a_slow_target_is_good) {
  auto world = World{10, 40};
  world.behaviors[3] = [](base::TimePoint now) {
    auto request = Healthy(now);
    request.taken = milliseconds{150};
    return request;
  };
  for (auto i = 0; i < 100; ++i) {
    world.Step();
    BOOST_TEST((world.Of(3) == Verdict::kGood));
  }
}

// Guards against a target that fails every other second and is judged by its better half.
BOOST_AUTO_TEST_CASE(a_target_that_flaps_loses_weight_for_most_of_the_time) {
  auto world = World{10, 40};
  world.behaviors[3] = [](base::TimePoint now) {
    const auto second = std::chrono::duration_cast<seconds>(now.time_since_epoch()).count();
    return second % 2 == 0 ? FailsFast(now) : Healthy(now);
  };
  auto suspect = 0;
  for (auto i = 0; i < 240; ++i) {
    world.Step();
    suspect += world.Of(3) != Verdict::kGood ? 1 : 0;
  }
  BOOST_TEST(suspect > 160);
}

// Guards against a service that loses half of its capacity to verdicts.
BOOST_AUTO_TEST_CASE(at_most_a_fifth_of_the_targets_loses_weight) {
  auto world = World{10, 40};
  for (auto i = std::size_t{0}; i < 5; ++i) world.behaviors[i] = FailsFast;
  for (auto tick = 0; tick < 80; ++tick) {
    world.Step();
    BOOST_TEST(world.state.suspects.size() <= 2U);
  }
  BOOST_TEST(world.state.suspects.size() == 2U);
  BOOST_TEST(MaxSuspects(2) == 0U);
  BOOST_TEST(MaxSuspects(3) == 1U);
  BOOST_TEST(MaxSuspects(9) == 1U);
  BOOST_TEST(MaxSuspects(43) == 8U);
}

// Guards against verdicts when the cause is the load or the route: all targets fail alike, or more
// than half of them.
BOOST_AUTO_TEST_CASE(no_target_loses_weight_when_more_than_half_look_alike) {
  for (const auto failing : {std::size_t{6}, std::size_t{10}}) {
    auto world = World{10, 40};
    world.Run(seconds{5});
    for (auto i = std::size_t{0}; i < failing; ++i) world.behaviors[i] = FailsFast;
    world.Run(seconds{5});
    for (auto tick = 0; tick < 80; ++tick) {
      world.Step();
      BOOST_TEST(world.state.suspects.empty());
    }
  }
}

// Guards against a verdict that outlives the process that gave the evidence.
BOOST_AUTO_TEST_CASE(a_restarted_agent_is_good) {
  auto world = World{10, 40};
  world.behaviors[3] = FailsFast;
  world.Run(seconds{5});
  BOOST_TEST((world.Of(3) == Verdict::kBad));
  world.starts[3] = 2;
  world.outcomes[3] = {};
  world.behaviors[3] = Healthy;
  world.Step();
  BOOST_TEST((world.Of(3) == Verdict::kGood));
}

// Guards against a verdict that stays in force without reports.
BOOST_AUTO_TEST_CASE(a_verdict_decays_within_three_seconds_when_reports_are_lost) {
  auto world = World{10, 40};
  world.behaviors[3] = FailsFast;
  world.Run(seconds{5});
  BOOST_TEST((world.Of(3) == Verdict::kBad));
  world.reporting[3] = false;
  BOOST_TEST((world.TimeUntil(3, Verdict::kGood, seconds{10}) <= seconds{3}));
}

// Guards against verdicts on agents of an old build, which report no counts.
BOOST_AUTO_TEST_CASE(without_counts_all_targets_are_good) {
  auto world = World{10, 40};
  world.old_build = true;
  world.behaviors[3] = FailsFast;
  for (auto i = 0; i < 40; ++i) {
    world.Step();
    BOOST_TEST((world.Of(3) == Verdict::kGood));
  }
}

// Guards against verdicts by a comparison with a single peer.
BOOST_AUTO_TEST_CASE(two_targets_are_not_compared) {
  auto world = World{2, 40};
  world.behaviors[1] = FailsFast;
  world.Run(seconds{10});
  BOOST_TEST(world.state.suspects.empty());
}

// Guards against a log without the inputs of a verdict.
BOOST_AUTO_TEST_CASE(a_change_names_its_inputs) {
  auto state = ServiceState{};
  const auto targets = std::array<TargetEvidence, 3>{
      TargetEvidence{1, 1, {40, 2}}, TargetEvidence{2, 1, {40, 0}}, TargetEvidence{3, 1, {40, 39}}};
  const auto changes = Assess(state, targets, kStart);
  BOOST_REQUIRE(changes.size() == 1U);
  BOOST_TEST(changes[0].target == 3U);
  BOOST_TEST((changes[0].before == Verdict::kGood && changes[0].after == Verdict::kBad));
  BOOST_TEST((changes[0].counts == Counts{40, 39}));
  BOOST_TEST(changes[0].peer_share == (2.5 + 0.5) / 2 / 41, boost::test_tools::tolerance(1e-9));
  BOOST_TEST(changes[0].ratio > kBadRatio + kRepeatedLooks);
  BOOST_TEST(Assess(state, targets, kStart + kTick).empty());
}

/// Counts of two generations, drawn at random.
struct DrawnCounts {
  std::array<Counts, 2> generations{};
};

/// Returns how many of `targets` healthy targets lose weight at any time in an hour in which each
/// request fails with the probability `share`.
auto CountFalseAlarms(std::size_t targets, double rate, double share, std::uint64_t seed)
    -> std::size_t {
  auto random = std::mt19937_64{seed};
  auto failures = std::poisson_distribution<std::uint32_t>{rate * share / 4};
  auto successes = std::poisson_distribution<std::uint32_t>{rate * (1 - share) / 4};
  auto drawn = std::vector<DrawnCounts>(targets);
  auto evidence = std::vector<TargetEvidence>(targets);
  auto state = ServiceState{};
  auto alarmed = std::set<std::uint64_t>{};
  for (auto tick = std::size_t{0}; tick < kTicksPerHour; ++tick) {
    for (auto i = std::size_t{0}; i < targets; ++i) {
      auto& [current, previous] = drawn[i].generations;
      // The generations of the agents begin at different times.
      if ((tick + i) % 4 == 0) previous = std::exchange(current, {});
      const auto failed = failures(random);
      current.failed += failed;
      current.answered += failed + successes(random);
      evidence[i] = {
          i, 1, {current.answered + previous.answered, current.failed + previous.failed}};
    }
    for (const auto& change : Assess(state, evidence, kStart + tick * kTick)) {
      alarmed.insert(change.target);
    }
  }
  return alarmed.size();
}

// Guards against verdicts by chance: at most one healthy target in 100 may be doubtful for a second
// in an hour of calm. A single alarm lasts longer than a second, so each one counts.
BOOST_AUTO_TEST_CASE(at_most_one_healthy_target_in_100_is_doubtful_in_an_hour_of_calm) {
  constexpr auto targets = std::size_t{40};
  for (const auto share : {0.001, 0.01, 0.03}) {
    for (const auto rate : {20.0, 40.0, 80.0}) {
      auto alarms = std::size_t{0};
      auto hours = std::size_t{0};
      for (auto seed = std::uint64_t{1}; seed <= 5; ++seed) {
        alarms += CountFalseAlarms(targets, rate, share, seed);
        hours += targets;
      }
      BOOST_TEST_MESSAGE("share " << share << ", rate " << rate << ": " << alarms << " of "
                                  << hours);
      BOOST_TEST(alarms * 100 <= hours);
    }
  }
}

// The same for a route whose documents differ in length, so that ordinary answers are far shorter
// than the mean.
BOOST_AUTO_TEST_CASE(targets_with_documents_of_mixed_length_are_good) {
  for (auto seed = std::uint64_t{1}; seed <= 3; ++seed) {
    auto world = World{20, 40, seed};
    auto lengths = std::lognormal_distribution<double>{8.0, 1.2};
    auto alarms = 0;
    for (auto& behavior : world.behaviors) {
      behavior = [&](base::TimePoint now) {
        auto request = Healthy(now);
        request.bytes = static_cast<std::uint32_t>(lengths(world.random));
        return request;
      };
    }
    for (auto& outcomes : world.outcomes) outcomes = {};
    for (auto tick = 0; tick < 4 * 600; ++tick) {
      world.Step();
      alarms += world.state.suspects.empty() ? 0 : 1;
    }
    BOOST_TEST(alarms == 0);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::outlier
