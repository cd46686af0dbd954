#include "admission/controller.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <random>
#include <vector>

namespace anvildrum::admission {
namespace {

using base::milliseconds;

constexpr auto kStart = base::TimePoint{base::seconds{1000}};
constexpr auto kSlots = std::uint32_t{3};
constexpr auto kTwoPerSlot = 2 * kSlots;

constexpr auto kUrgent = RequestClass{
    .known = true, .priority = 1, .objective = milliseconds{300}, .timeout = milliseconds{1500}};
constexpr auto kLessUrgent = RequestClass{.known = true,
                                          .priority = 2,
                                          .objective = milliseconds{250},
                                          .timeout = milliseconds{1200},
                                          .repeatable = true};

auto ControllerWith(Policy policy) -> Controller {
  auto controller = Controller{};
  controller.policy = policy;
  controller.most_urgent = kUrgent.priority;
  controller.least_urgent = kLessUrgent.priority;
  return controller;
}

// A controller in a shortage that began at kStart.
auto ShortWith(Policy policy) -> Controller {
  auto controller = ControllerWith(policy);
  Decide(controller, {.request = {}}, {.in_flight = kTwoPerSlot, .slots = kSlots}, kStart);
  BOOST_TEST_REQUIRE(IsShort(controller, kStart));
  return controller;
}

auto DecideAt(Controller& controller, Candidate candidate, std::uint32_t in_flight,
              base::TimePoint now = kStart + milliseconds{1}) -> Limit {
  return Decide(controller, candidate, {.in_flight = in_flight, .slots = kSlots}, now);
}

// The lowest number of requests in flight at which the opening is turned away.
auto LimitOf(const Controller& controller, const Candidate& candidate,
             base::TimePoint now = kStart + milliseconds{1}) -> std::uint32_t {
  auto in_flight = std::uint32_t{0};
  for (;; ++in_flight) {
    auto copy = controller;
    if (DecideAt(copy, candidate, in_flight, now) != Limit::kNone) return in_flight;
  }
}

auto Learn(Controller& controller, const RequestClass& request, base::Duration service_time)
    -> void {
  for (auto i = 0; i < 100; ++i) RecordAnswer(controller, request, service_time, 0, kSlots, kStart);
}

BOOST_AUTO_TEST_SUITE(controller)

// Guards against a shortage that begins below the ordinary limit, ends between two openings of a
// busy target, or outlasts the spike.
BOOST_AUTO_TEST_CASE(a_shortage_lasts_half_a_second_from_the_last_opening_at_the_limit) {
  auto controller = ControllerWith({});
  DecideAt(controller, {}, kTwoPerSlot - 1, kStart);
  BOOST_TEST(!IsShort(controller, kStart));
  DecideAt(controller, {.request = kLessUrgent, .copies = 2}, kTwoPerSlot, kStart);
  DecideAt(controller, {}, kTwoPerSlot, kStart + milliseconds{400});
  BOOST_TEST(IsShort(controller, kStart + milliseconds{899}));
  BOOST_TEST(!IsShort(controller, kStart + milliseconds{900}));
  BOOST_TEST((controller.short_since == kStart));
}

// Guards against a less urgent opening that takes the place of an urgent one, and against slots
// that are idle during the round trip between an opening and its request.
BOOST_AUTO_TEST_CASE(urgent_openings_have_the_higher_limit) {
  const auto controller = ShortWith({.order_by_priority = true});
  BOOST_TEST(LimitOf(controller, {.request = kUrgent}) == kTwoPerSlot);
  BOOST_TEST(LimitOf(controller, {.request = kLessUrgent}) == kSlots + 1);
  auto copy = controller;
  BOOST_TEST((DecideAt(copy, {.request = kLessUrgent}, kSlots + 1) == Limit::kPriority));
}

// Guards against more requests than a target queues: it rejects these.
BOOST_AUTO_TEST_CASE(four_requests_per_slot_are_the_most) {
  auto controller = ShortWith({.order_by_priority = true, .admit_by_completion = true});
  Learn(controller, kUrgent, milliseconds{1});
  BOOST_TEST(LimitOf(controller, {.request = kUrgent}) == 4 * kSlots);
}

// Guards against openings whose answer would come too late to be of use.
BOOST_AUTO_TEST_CASE(openings_are_turned_away_that_would_miss_their_objective) {
  auto controller = ShortWith({.admit_by_completion = true});
  Learn(controller, kUrgent, milliseconds{120});
  // 6 ms for the handshake, 120 ms to run and 40 ms for each request that must end before: 286 ms
  // with four of them, 326 ms with five.
  BOOST_TEST(LimitOf(controller, {.request = kUrgent}) == kSlots + 4);
  BOOST_TEST((DecideAt(controller, {.request = kUrgent}, kSlots + 4) == Limit::kCompletion));
}

// Guards against a prediction that leaves out a part of the time to the answer.
BOOST_AUTO_TEST_CASE(a_prediction_is_the_sum_of_handshake_wait_and_run) {
  auto controller = ControllerWith({});
  const auto idle = TargetLoad{.in_flight = 0, .slots = kSlots};
  const auto full = TargetLoad{.in_flight = kSlots + 2, .slots = kSlots};
  // Without measurements: a round trip of 6 ms and a fifth of the objective.
  BOOST_TEST((PredictCompletion(controller, kUrgent, idle) == milliseconds{66}));
  Learn(controller, kUrgent, milliseconds{30});
  Observe(controller.handshake, milliseconds{10}, 0.1, kStart);
  BOOST_TEST((PredictCompletion(controller, kUrgent, idle) == milliseconds{40}));
  BOOST_TEST((PredictCompletion(controller, kUrgent, full) == milliseconds{70}));
}

// Guards against less urgent requests that get nothing while urgent ones fill all slots, and
// against a credit that grows without bound and displaces urgent requests later.
BOOST_AUTO_TEST_CASE(one_opening_is_reserved_for_each_twenty) {
  auto controller = ShortWith({.order_by_priority = true, .reserved_share = 0.05});
  for (auto i = 0; i < 18; ++i) DecideAt(controller, {.request = kUrgent}, i % 2 == 0 ? 0 : kSlots);
  BOOST_TEST((DecideAt(controller, {.request = kLessUrgent}, kTwoPerSlot - 1) == Limit::kPriority));
  DecideAt(controller, {.request = kUrgent}, kSlots);
  BOOST_TEST((DecideAt(controller, {.request = kLessUrgent}, kTwoPerSlot - 1) == Limit::kNone));
  BOOST_TEST((DecideAt(controller, {.request = kLessUrgent}, kTwoPerSlot - 1) == Limit::kPriority));
  for (auto i = 0; i < 200; ++i) DecideAt(controller, {.request = kUrgent}, kSlots);
  BOOST_TEST(controller.reserved == 4);
  BOOST_TEST((DecideAt(controller, {.request = kLessUrgent}, kTwoPerSlot) == Limit::kPriority));
}

// Guards against a reserved share of nothing: with an objective shorter than the queue that urgent
// requests cause, no opening of the share would be in time.
BOOST_AUTO_TEST_CASE(the_reserved_share_needs_an_answer_within_the_timeout) {
  auto controller = ShortWith({.order_by_priority = true, .admit_by_completion = true});
  Learn(controller, kUrgent, milliseconds{60});
  auto hasty = kLessUrgent;
  hasty.objective = milliseconds{20};
  BOOST_TEST((DecideAt(controller, {.request = hasty}, kSlots) == Limit::kCompletion));
  controller.reserved = 1;
  BOOST_TEST((DecideAt(controller, {.request = hasty}, 4 * kSlots - 1) == Limit::kNone));
  controller.reserved = 1;
  hasty.timeout = milliseconds{100};
  BOOST_TEST((DecideAt(controller, {.request = hasty}, 4 * kSlots - 1) == Limit::kCompletion));
}

// Guards against classes that are ordered before their priorities are known, or that are the only
// ones.
BOOST_AUTO_TEST_CASE(a_single_priority_is_not_ordered) {
  auto controller = ShortWith({.order_by_priority = true});
  controller.most_urgent = 0;
  controller.least_urgent = 0;
  BOOST_TEST(LimitOf(controller, {.request = kLessUrgent}) == kTwoPerSlot);
  const auto hops = MaxHops(controller, {.request = kLessUrgent}, 6, kStart);
  BOOST_TEST(hops == 6U);
}

// Guards against rules of a shortage for openings of which nothing is known.
BOOST_AUTO_TEST_CASE(an_unknown_class_is_decided_as_without_shortage) {
  const auto controller = ShortWith({true, true, true, true});
  BOOST_TEST(LimitOf(controller, {.request = {}, .over_share = true}) == kTwoPerSlot);
  BOOST_TEST(LimitOf(controller, {.request = {}, .copies = 1}) == kSlots);
  BOOST_TEST(LimitOf(controller, {.request = {}, .copies = 2}) == kSlots);
  BOOST_TEST(!AwaitsCopy(controller, {}, kStart));
  const auto hops = MaxHops(controller, {}, 6, kStart);
  BOOST_TEST(hops == 6U);
}

// Guards against a caller over its share whose urgent requests go behind the less urgent ones of
// others: shares are compared among equal priorities only.
BOOST_AUTO_TEST_CASE(urgent_requests_of_a_caller_over_its_share_go_before_less_urgent_ones) {
  auto controller = ShortWith({.order_by_priority = true, .fair_callers = true});
  const auto others = LimitOf(controller, {.request = kLessUrgent});
  BOOST_TEST(LimitOf(controller, {.request = kUrgent, .over_share = true}) == others + 1);
  BOOST_TEST(LimitOf(controller, {.request = kLessUrgent, .over_share = true}) == kSlots);
}

// Guards against callers that are turned away although nothing else asks for the slot, or although
// callers are not compared.
BOOST_AUTO_TEST_CASE(a_caller_over_its_share_gets_free_slots_only) {
  const auto candidate = Candidate{.request = kUrgent, .over_share = true};
  auto fair = ShortWith({.fair_callers = true});
  BOOST_TEST(LimitOf(fair, candidate) == kSlots);
  BOOST_TEST((DecideAt(fair, candidate, kSlots) == Limit::kCaller));
  BOOST_TEST(LimitOf(ShortWith({}), candidate) == kTwoPerSlot);
  BOOST_TEST(LimitOf(ControllerWith({.fair_callers = true}), candidate) == kTwoPerSlot);
}

// Guards against the loss of a request whose last copy meets a full target, and against copies that
// queue although they would be answered too late or another copy follows.
BOOST_AUTO_TEST_CASE(the_last_copy_of_a_burst_may_wait) {
  auto controller = ShortWith({.admit_by_completion = true, .await_copies = true});
  Learn(controller, kUrgent, milliseconds{30});
  BOOST_TEST(LimitOf(controller, {.request = kUrgent, .copies = 1}) == kSlots);
  BOOST_TEST(LimitOf(controller, {.request = kUrgent, .copies = 2}) == kTwoPerSlot);
  auto hasty = kUrgent;
  hasty.timeout = milliseconds{600};
  BOOST_TEST(LimitOf(controller, {.request = hasty, .copies = 2}) == kSlots);
  hasty.timeout = {};  // unknown
  BOOST_TEST(LimitOf(controller, {.request = hasty, .copies = 2}) == kTwoPerSlot);
  controller.short_until = kStart + base::seconds{3};
  const auto later = kStart + milliseconds{1600};
  BOOST_TEST(LimitOf(controller, {.request = kUrgent, .copies = 2}, later) == kSlots);
}

// Guards against copies that displace the first openings of the time after a burst, and against a
// queue of less urgent requests in which urgent ones miss their objective.
BOOST_AUTO_TEST_CASE(less_urgent_openings_queue_while_urgent_ones_stay_in_time) {
  auto controller = ShortWith({.order_by_priority = true, .admit_by_completion = true});
  Learn(controller, kLessUrgent, milliseconds{30});
  Learn(controller, kUrgent, milliseconds{30});
  BOOST_TEST(LimitOf(controller, {.request = kLessUrgent}) == 8U);  // 2.5 per slot is 7.5
  auto hasty = kUrgent;
  hasty.objective = milliseconds{65};  // 6 ms for the handshake, 30 ms to run, 20 ms to wait
  Learn(controller, hasty, milliseconds{30});
  BOOST_TEST(LimitOf(controller, {.request = kLessUrgent}) == kSlots + 1);
}

// Guards against an objective that no route has any more, and that keeps less urgent openings from
// queueing until the process restarts.
BOOST_AUTO_TEST_CASE(a_class_without_answers_loses_its_service_time) {
  auto controller = ShortWith({.order_by_priority = true, .admit_by_completion = true});
  auto removed = kUrgent;
  removed.objective = milliseconds{10};
  Learn(controller, removed, milliseconds{30});
  Learn(controller, kLessUrgent, milliseconds{30});
  BOOST_TEST(LimitOf(controller, {.request = kLessUrgent}) == kSlots + 1);
  const auto later = kStart + base::seconds{90};
  RecordAnswer(controller, kLessUrgent, milliseconds{30}, 0, kSlots, later);
  DecideAt(controller, {}, kTwoPerSlot, later);
  BOOST_TEST(LimitOf(controller, {.request = kLessUrgent}, later) == 8U);  // 2.5 per slot is 7.5
}

// Guards against openings that visit many full targets, and against less capacity for urgent ones.
BOOST_AUTO_TEST_CASE(less_urgent_openings_visit_one_more_agent) {
  const auto hops = [](const Controller& controller, const Candidate& candidate) {
    return +MaxHops(controller, candidate, 6, kStart);
  };
  const auto controller = ShortWith({.order_by_priority = true});
  BOOST_TEST(hops(controller, {.request = kLessUrgent}) == 1);
  BOOST_TEST(hops(controller, {.request = kLessUrgent, .copies = 2}) == 1);
  BOOST_TEST(hops(controller, {.request = kUrgent}) == 6);
  BOOST_TEST(hops(ShortWith({}), {.request = kLessUrgent}) == 6);
  BOOST_TEST(hops(ControllerWith({.order_by_priority = true}), {.request = kLessUrgent}) == 6);
  const auto awaiting = ShortWith({true, true, true, true});
  BOOST_TEST(hops(awaiting, {.request = kLessUrgent, .copies = 1}) == 1);
  BOOST_TEST(hops(awaiting, {.request = kLessUrgent, .copies = 2}) == 6);
}

// Guards against refusals that a client answers at once in vain, and against clients that wait for
// nothing in a longer shortage.
BOOST_AUTO_TEST_CASE(openings_are_left_to_copies_that_can_still_be_answered) {
  auto controller = ShortWith({.await_copies = true});
  controller.short_until = kStart + base::seconds{3};
  BOOST_TEST(AwaitsCopy(controller, {.request = kUrgent}, kStart + milliseconds{999}));
  BOOST_TEST(!AwaitsCopy(controller, {.request = kUrgent}, kStart + milliseconds{1000}));
  BOOST_TEST(AwaitsCopy(controller, {.request = kUrgent, .copies = 1}, kStart));
  BOOST_TEST(!AwaitsCopy(controller, {.request = kUrgent, .copies = 2}, kStart));
  auto hasty = kUrgent;
  hasty.timeout = milliseconds{266};  // the first copy, the handshake and a fifth of the objective
  BOOST_TEST(AwaitsCopy(controller, {.request = hasty}, kStart));
  hasty.timeout = milliseconds{265};
  BOOST_TEST(!AwaitsCopy(controller, {.request = hasty}, kStart));
  BOOST_TEST(!AwaitsCopy(ShortWith({}), {.request = kUrgent}, kStart));
}

// Guards against a state that grows with the number of classes, and against a fifth of the
// objective for classes that are never measured on their own.
BOOST_AUTO_TEST_CASE(further_classes_use_the_time_of_the_mix) {
  auto controller = ControllerWith({});
  auto request = kUrgent;
  for (auto i = std::size_t{0}; i < kMaxClasses + 4; ++i) {
    request.objective += milliseconds{1};
    RecordAnswer(controller, request, milliseconds{20}, 0, kSlots, kStart);
  }
  BOOST_TEST(controller.service_times.size() == kMaxClasses);
  const auto idle = TargetLoad{.in_flight = 0, .slots = kSlots};
  BOOST_TEST((PredictCompletion(controller, request, idle) == milliseconds{26}));
}

BOOST_AUTO_TEST_SUITE_END()

// Standard deviation of the logarithm of service times.
constexpr auto kSpread = 0.5;

struct Running {
  base::Duration ends{};
  base::Duration arrived{};
  auto operator<(const Running& other) const -> bool { return this->ends < other.ends; }
};

// A target whose queue is kept full: a new request arrives with each answer.
struct FullTarget {
  std::vector<Running> running;      ///< one for each slot
  std::deque<base::Duration> queue;  ///< arrivals
  std::mt19937_64 random;
};

auto Start(FullTarget& target, base::Duration now, base::Duration arrived, milliseconds mean)
    -> void {
  auto factor = std::lognormal_distribution<>(-kSpread * kSpread / 2, kSpread);
  const auto work = std::chrono::duration_cast<base::Duration>(mean * factor(target.random));
  target.running.push_back({now + work, arrived});
}

// Records the next answer. Requests that start from now on run for `mean` on average.
auto Answer(FullTarget& target, Controller& controller, milliseconds mean) -> void {
  const auto next = std::min_element(target.running.begin(), target.running.end());
  const auto [now, arrived] = *next;
  target.running.erase(next);
  const auto others = static_cast<std::uint32_t>(target.running.size() + target.queue.size());
  const auto ahead = AheadOf({.in_flight = others, .slots = kSlots});
  RecordAnswer(controller, kUrgent, now - arrived, ahead, kSlots, kStart + now);
  target.queue.push_back(now);
  Start(target, now, target.queue.front(), mean);
  target.queue.pop_front();
}

auto FilledTarget(std::uint32_t per_slot, milliseconds mean, std::uint64_t seed) -> FullTarget {
  auto target = FullTarget{};
  target.random.seed(seed);
  for (auto i = std::uint32_t{0}; i < kSlots; ++i) Start(target, {}, {}, mean);
  target.queue.resize(std::size_t{per_slot - 1} * kSlots);
  return target;
}

auto MeanOf(const Controller& controller) -> double {
  return std::chrono::duration<double, std::milli>(controller.service_times.at(0).estimate.mean)
      .count();
}

BOOST_AUTO_TEST_SUITE(estimates_under_load)

// Guards against estimates that grow or shrink with the target's queue: openings would be turned
// away, or admitted too late, just when the target is full.
BOOST_AUTO_TEST_CASE(are_unbiased_when_the_queue_is_full) {
  for (const auto mean : {milliseconds{4}, milliseconds{400}}) {
    for (const auto per_slot : {1U, 2U, 4U, 5U}) {
      auto target = FilledTarget(per_slot, mean, 1);
      auto controller = Controller{};
      auto sum = 0.0;
      const auto answers = 20000;
      for (auto i = 0; i < 500 + answers; ++i) {
        Answer(target, controller, mean);
        if (i >= 500) sum += MeanOf(controller);
      }
      BOOST_TEST_CONTEXT(mean.count() << " ms, " << per_slot << " requests per slot") {
        const auto expected = static_cast<double>(mean.count());
        BOOST_TEST(sum / answers == expected, boost::test_tools::tolerance(0.05));
      }
    }
  }
}

// Guards against predictions that lag behind a target that has become slower or faster.
BOOST_AUTO_TEST_CASE(follow_a_factor_of_five_within_fifty_answers) {
  for (const auto& [before, after] : {std::pair{4, 20}, {20, 4}, {400, 2000}, {2000, 400}}) {
    auto sum = 0.0;
    const auto seeds = 40;
    for (auto seed = 0; seed < seeds; ++seed) {
      auto target = FilledTarget(4, milliseconds{before}, seed);
      auto controller = Controller{};
      for (auto i = 0; i < 200; ++i) Answer(target, controller, milliseconds{before});
      for (auto i = 0; i < 50; ++i) Answer(target, controller, milliseconds{after});
      BOOST_TEST_CONTEXT(before << " to " << after << " ms, seed " << seed) {
        BOOST_TEST(MeanOf(controller) == after, boost::test_tools::tolerance(0.35));
      }
      sum += MeanOf(controller);
    }
    BOOST_TEST(sum / seeds == after, boost::test_tools::tolerance(0.1));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::admission
