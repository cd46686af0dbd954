#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <random>
#include <string>

#include "admission/tests/model.h"

namespace anvildrum::admission {
namespace {

using base::milliseconds;

constexpr auto kStart = base::TimePoint{base::seconds{1000}};
constexpr auto kOpenings = 2000;

// ANVILDRUM_SEEDS asks for more seeds than CI runs.
auto SeedsOf(std::uint64_t usual) -> std::uint64_t {
  const auto* asked = std::getenv("ANVILDRUM_SEEDS");
  return asked == nullptr ? usual : std::stoull(asked);
}

auto Draw(std::mt19937_64& random, std::uint32_t least, std::uint32_t most) -> std::uint32_t {
  return std::uniform_int_distribution<std::uint32_t>(least, most)(random);
}

auto DrawPolicy(std::mt19937_64& random) -> Policy {
  const auto flip = [&] { return Draw(random, 0, 1) == 1; };
  const auto share = Draw(random, 0, 50) / 100.0;
  return {flip(), flip(), flip(), flip(), share};
}

auto DrawCandidate(std::mt19937_64& random, Priority most_urgent, Priority least_urgent)
    -> Candidate {
  auto candidate = Candidate{};
  auto& request = candidate.request;
  request.known = Draw(random, 0, 9) != 0;
  request.priority = Draw(random, most_urgent, least_urgent);
  request.objective = milliseconds{Draw(random, 0, 4) * 100};
  request.timeout = milliseconds{Draw(random, 0, 4) * 500};
  candidate.copies = Draw(random, 0, 3) == 0 ? Draw(random, 1, 3) : 0;
  candidate.over_share = Draw(random, 0, 3) == 0;
  return candidate;
}

struct Step {
  Candidate candidate;
  TargetLoad load;
  base::TimePoint at;
};

// Calls `check` for random openings at random loads, and records random answers.
template <typename Check>
auto Walk(std::mt19937_64& random, Controller& controller, const Check& check) -> void {
  auto now = kStart;
  const auto slots = Draw(random, 1, 6);
  for (auto i = 0; i < kOpenings; ++i) {
    now += milliseconds{Draw(random, 0, 20)};
    if (Draw(random, 0, 99) == 0) now += milliseconds{700};
    const auto load = TargetLoad{.in_flight = Draw(random, 0, 5 * slots), .slots = slots};
    const auto candidate = DrawCandidate(random, controller.most_urgent, controller.least_urgent);
    check(Step{candidate, load, now});
    const auto taken = milliseconds{Draw(random, 1, 400)};
    RecordAnswer(controller, candidate.request, taken, AheadOf(load), slots, now);
  }
}

// The rule without shortage: two requests per slot for a first opening, a free slot for a copy.
auto OrdinaryVerdict(const Step& step) -> Limit {
  const auto limit = (step.candidate.copies == 0 ? 2 : 1) * step.load.slots;
  return step.load.in_flight < limit ? Limit::kNone : Limit::kSlots;
}

auto DrawController(std::mt19937_64& random) -> Controller {
  auto controller = Controller{};
  controller.policy = DrawPolicy(random);
  controller.most_urgent = Draw(random, 0, 3);
  controller.least_urgent = controller.most_urgent + Draw(random, 0, 3);
  return controller;
}

BOOST_AUTO_TEST_SUITE(property)

// Guards against a slot that stays free while an opening asks for it.
BOOST_AUTO_TEST_CASE(an_opening_that_finds_a_free_slot_is_admitted) {
  for (auto seed = std::uint64_t{1}; seed <= SeedsOf(100); ++seed) {
    auto random = std::mt19937_64(seed);
    auto controller = DrawController(random);
    auto turned_away = 0;
    Walk(random, controller, [&](const Step& step) {
      const auto limit = Decide(controller, step.candidate, step.load, step.at);
      if (step.load.in_flight < step.load.slots && limit != Limit::kNone) ++turned_away;
    });
    BOOST_TEST_CONTEXT("seed " << seed) { BOOST_TEST(turned_away == 0); }
  }
}

// Guards against rules of a shortage that change what is admitted while there is none, or while all
// parts are switched off.
BOOST_AUTO_TEST_CASE(verdicts_are_the_ordinary_ones_without_shortage) {
  for (auto seed = std::uint64_t{1}; seed <= SeedsOf(100); ++seed) {
    auto random = std::mt19937_64(seed);
    auto controller = DrawController(random);
    const auto off = seed % 4 == 0;
    if (off) controller.policy = {};
    auto compared = 0;
    auto different = 0;
    Walk(random, controller, [&](const Step& step) {
      const auto limit = Decide(controller, step.candidate, step.load, step.at);
      if (!off && IsShort(controller, step.at)) return;
      ++compared;
      if ((limit == Limit::kNone) != (OrdinaryVerdict(step) == Limit::kNone)) ++different;
      if (MaxHops(controller, step.candidate, 6, step.at) != 6) ++different;
      if (AwaitsCopy(controller, step.candidate, step.at)) ++different;
    });
    BOOST_TEST_CONTEXT("seed " << seed) {
      BOOST_TEST(compared > 0);
      BOOST_TEST(different == 0);
    }
  }
}

// Guards against an order where there is nothing to order: verdicts of a service with one priority
// would depend on a setting that says nothing about it.
BOOST_AUTO_TEST_CASE(order_changes_nothing_with_a_single_priority) {
  for (auto seed = std::uint64_t{1}; seed <= SeedsOf(100); ++seed) {
    auto random = std::mt19937_64(seed);
    auto ordered = DrawController(random);
    ordered.policy.order_by_priority = true;
    ordered.least_urgent = ordered.most_urgent;
    auto plain = ordered;
    plain.policy.order_by_priority = false;
    auto different = 0;
    Walk(random, ordered, [&](const Step& step) {
      plain.service_times = ordered.service_times;
      plain.mix = ordered.mix;
      auto [candidate, load, at] = step;
      // Priorities that the configuration known here does not have.
      candidate.request.priority += Draw(random, 0, 2);
      if (Decide(ordered, candidate, load, at) != Decide(plain, candidate, load, at)) ++different;
      if (MaxHops(ordered, candidate, 6, at) != MaxHops(plain, candidate, 6, at)) ++different;
      if (AwaitsCopy(ordered, candidate, at) != AwaitsCopy(plain, candidate, at)) ++different;
    });
    BOOST_TEST_CONTEXT("seed " << seed) { BOOST_TEST(different == 0); }
  }
}

// A service in which the highest priority alone needs 1.6 times the slots, and two lower ones ask
// too. Work, objectives, slots, queues and reserved share are drawn.
auto DrawScenario(std::mt19937_64& random) -> model::Scenario {
  auto scenario = model::Scenario{};
  scenario.policy = {true, Draw(random, 0, 1) == 1, false, Draw(random, 0, 1) == 1, 0.05};
  scenario.policy.reserved_share = Draw(random, 2, 20) / 100.0;
  scenario.targets = 4;
  scenario.slots = Draw(random, 1, 4);
  scenario.queue = 4 * scenario.slots;
  const auto work = milliseconds{Draw(random, 4, 100)};
  const auto rate = scenario.targets * scenario.slots * 1000.0 / static_cast<double>(work.count());
  for (const auto& [priority, demand] : {std::pair{1, 1.6}, {2, 0.4}, {3, 0.4}}) {
    const auto request = RequestClass{.known = true,
                                      .priority = static_cast<Priority>(priority),
                                      .objective = work * Draw(random, 3, 12),
                                      .timeout = base::seconds{2},
                                      .repeatable = true};
    scenario.routes.push_back({request, work, demand * rate});
  }
  scenario.end = work * 200;
  return scenario;
}

// Guards against lower priorities that get nothing for as long as the highest one fills all slots,
// and against one of them that gets all of their share.
BOOST_AUTO_TEST_CASE(lower_priorities_get_their_reserved_share) {
  for (auto seed = std::uint64_t{1}; seed <= SeedsOf(40); ++seed) {
    auto random = std::mt19937_64(seed);
    auto scenario = DrawScenario(random);
    scenario.seed = seed;
    auto admitted = std::map<Priority, double>{};
    scenario.on_verdict = [&](const model::Verdict& verdict) {
      const auto in_shortage = IsShort(verdict.before, verdict.at);
      if (in_shortage && verdict.limit == Limit::kNone) {
        admitted[verdict.candidate.request.priority] += 1;
      }
    };
    model::Play(scenario);
    const auto lower = admitted[2] + admitted[3];
    const auto share = lower / (admitted[1] + lower);
    BOOST_TEST_CONTEXT("seed " << seed << ", reserved " << scenario.policy.reserved_share << ", "
                               << scenario.slots << " slots") {
      BOOST_TEST(share >= 0.9 * scenario.policy.reserved_share);
      BOOST_TEST(admitted[2] >= 0.3 * lower);
      BOOST_TEST(admitted[3] >= 0.3 * lower);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::admission
