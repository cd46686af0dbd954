#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <utility>
#include <vector>

#include "route_classes_utils.h"

namespace anvildrum::packets::agent_tests {
namespace {

// Guards against a route without a class being treated as the most urgent one.
BOOST_AUTO_TEST_CASE(an_unknown_route_has_no_class) {
  auto agent = MakeAgent();
  BOOST_TEST((ClassOf(agent, kRoute) == RequestClass{}));
  agent.route_classes.classes = {{RouteAt(1), kUrgent}};
  BOOST_TEST((ClassOf(agent, kRoute) == RequestClass{}));
}

// Guards against a class that is altered on its way to the agent, and against repeated transfers.
BOOST_AUTO_TEST_CASE(classes_reach_the_agent_once) {
  auto agent = MakeAgent();
  const auto longest = RequestClass{true, 255, base::hours{1}, base::hours{1}, true};
  const auto classes =
      Classes{{RouteAt(0), kUrgent}, {RouteAt(1), kRelaxed}, {~0ULL >> 16U, longest}};
  const auto balancer = MakeBalancer(7, classes);
  BOOST_TEST(Exchange(agent, kFirst, balancer, kStart) == 1U);
  BOOST_TEST((agent.route_classes.classes == classes));
  BOOST_TEST(agent.route_classes.version == 7U);
  BOOST_TEST(Exchange(agent, kFirst, balancer, kStart + kHelloPeriod) == 0U);
  BOOST_TEST(Exchange(agent, kSecond, balancer, kStart + kHelloPeriod) == 0U);
}

// Guards against a packet of another route, or of another port of the address, getting the class.
BOOST_AUTO_TEST_CASE(the_class_is_that_of_the_packets_route) {
  auto agent = MakeAgent();
  agent.route_classes.classes = {{KeyOf(kRoute), kUrgent}};
  auto packet = Opening();
  BOOST_TEST((ClassOf(agent, packet.destination) == kUrgent));
  packet.destination.port = 444;
  BOOST_TEST(!ClassOf(agent, packet.destination).known);
}

// Guards against a restarted balancer, which has no configuration yet, removing the classes.
BOOST_AUTO_TEST_CASE(a_balancer_that_has_restarted_changes_nothing) {
  auto agent = MakeAgent();
  Exchange(agent, kFirst, MakeBalancer(7, ClassesOf(1, kUrgent)), kStart);
  auto restarted = Balancer{};
  AddRecord(restarted.view, kOwn, kDesk, kStart);
  BOOST_TEST(HelloOf(restarted, kStart).classes_digest == 0U);
  BOOST_TEST(Exchange(agent, kFirst, restarted, kStart + kHelloPeriod) == 0U);
  BOOST_TEST(Knows(agent, kUrgent));
  BOOST_TEST(agent.route_classes.version == 7U);
  auto without_digest = MakeHello({kOwn, kOther});
  without_digest.classes_version = 9;
  TakeHello(agent, kSecond, without_digest, kStart + kHelloPeriod);
  BOOST_TEST(MakeReport(agent, kSecond, kStart + kHelloPeriod).wanted_classes == 0U);
  BOOST_TEST(agent.route_classes.version == 7U);
  Exchange(agent, kFirst, MakeBalancer(8, ClassesOf(1, kRelaxed)), kStart + kHelloPeriod);
  BOOST_TEST(Knows(agent, kRelaxed));
}

// Guards against a restarted agent staying without classes, which all balancers believe it to have.
BOOST_AUTO_TEST_CASE(an_agent_that_has_restarted_knows_the_classes_after_one_hello) {
  const auto balancer = MakeBalancer(7, ClassesOf(1, kUrgent));
  auto agent = MakeAgent();
  Exchange(agent, kFirst, balancer, kStart);
  agent = MakeAgent();
  BOOST_TEST(Knows(agent, {}));
  Exchange(agent, kFirst, balancer, kStart + kHelloPeriod);
  BOOST_TEST(Knows(agent, kUrgent));
}

// Guards against classes that alternate while a new configuration reaches one balancer after the
// other.
BOOST_AUTO_TEST_CASE(of_two_versions_told_at_once_the_higher_one_applies) {
  const auto older = MakeBalancer(7, ClassesOf(1, kUrgent));
  const auto newer = MakeBalancer(8, ClassesOf(1, kRelaxed));
  for (const auto older_first : {true, false}) {
    auto agent = MakeAgent();
    auto now = kStart;
    for (auto round = 0; round < 4; ++round) {
      Exchange(agent, kFirst, older_first ? older : newer, now);
      if (round > 0) BOOST_TEST(Knows(agent, kRelaxed));
      Exchange(agent, kSecond, older_first ? newer : older, now + milliseconds{1});
      BOOST_TEST(Knows(agent, kRelaxed));
      now += kHelloPeriod;
    }
    BOOST_TEST(agent.route_classes.version == 8U);
  }
}

// Guards against a lower version, announced or in delayed parts, replacing a higher one.
BOOST_AUTO_TEST_CASE(a_lower_version_does_not_replace_a_higher_one) {
  const auto older = MakeBalancer(7, ClassesOf(1, kUrgent));
  const auto newer = MakeBalancer(8, ClassesOf(1, kRelaxed));
  auto agent = MakeAgent();
  const auto report = Announce(agent, kFirst, older, kStart);
  BOOST_TEST(report.wanted_classes == older.classes.at(kDesk).digest);
  Exchange(agent, kSecond, newer, kStart + milliseconds{1});
  BOOST_TEST(Knows(agent, kRelaxed));
  for (const auto& part : RequestedClasses(older.classes, report)) {
    BOOST_TEST(!TakeRouteClasses(agent, part, kStart + milliseconds{2}));
  }
  // Neither after the balancer of the higher version has been silent for a long time.
  for (auto now = kStart; now < kStart + seconds{20}; now += kHelloPeriod) {
    BOOST_TEST(Exchange(agent, kFirst, older, now) == 0U);
  }
  BOOST_TEST(Knows(agent, kRelaxed));
}

// Guards against classes that did not change being sent again with each configuration, and against
// their version staying behind, so that older classes would replace them.
BOOST_AUTO_TEST_CASE(the_same_classes_of_a_higher_version_are_not_requested) {
  auto agent = MakeAgent();
  Exchange(agent, kFirst, MakeBalancer(7, ClassesOf(1, kUrgent)), kStart);
  const auto same = MakeBalancer(9, ClassesOf(1, kUrgent));
  BOOST_TEST(Exchange(agent, kFirst, same, kStart + kHelloPeriod) == 0U);
  BOOST_TEST(agent.route_classes.version == 9U);
  const auto between = MakeBalancer(8, ClassesOf(1, kRelaxed));
  BOOST_TEST(Exchange(agent, kSecond, between, kStart + kHelloPeriod) == 0U);
  BOOST_TEST(Knows(agent, kUrgent));
}

// Guards against classes that the operator has removed staying in force.
BOOST_AUTO_TEST_CASE(a_configuration_without_classes_removes_them) {
  auto agent = MakeAgent();
  Exchange(agent, kFirst, MakeBalancer(7, ClassesOf(1, kUrgent)), kStart);
  const auto without = MakeBalancer(8, {});
  BOOST_TEST(Exchange(agent, kFirst, without, kStart + kHelloPeriod) == 0U);
  BOOST_TEST(Knows(agent, {}));
  BOOST_TEST(agent.route_classes.version == 8U);
}

// Guards against two balancers that disagree about the same version making the agent request both
// sets in turn forever. A republished configuration still applies once all balancers have it.
BOOST_AUTO_TEST_CASE(a_set_of_an_equal_version_replaces_one_that_is_no_longer_announced) {
  const auto one = MakeBalancer(7, ClassesOf(1, kUrgent));
  const auto other = MakeBalancer(7, ClassesOf(1, kRelaxed));
  auto agent = MakeAgent();
  auto now = kStart;
  auto sent = std::size_t{0};
  for (; now < kStart + seconds{10}; now += kHelloPeriod) {
    sent += Exchange(agent, kFirst, one, now);
    sent += Exchange(agent, kSecond, other, now);
  }
  BOOST_TEST(sent == 1U);
  BOOST_TEST(Knows(agent, kUrgent));
  Exchange(agent, kFirst, other, now);
  BOOST_TEST(Knows(agent, kRelaxed));
}

// Guards against an old balancer, whose hellos have no such fields, affecting the agent.
BOOST_AUTO_TEST_CASE(an_agent_requests_nothing_from_an_old_balancer) {
  auto agent = MakeAgent();
  const auto old = MakeHello({kOwn, kOther});
  TakeHello(agent, kFirst, std::get<Hello>(*RoundTrip(old)), kStart);
  BOOST_TEST(MakeReport(agent, kFirst, kStart).wanted_classes == 0U);
  Exchange(agent, kSecond, MakeBalancer(7, ClassesOf(1, kUrgent)), kStart);
  TakeHello(agent, kFirst, std::get<Hello>(*RoundTrip(old)), kStart + kHelloPeriod);
  BOOST_TEST(MakeReport(agent, kFirst, kStart + kHelloPeriod).wanted_classes == 0U);
  BOOST_TEST(Knows(agent, kUrgent));
}

// Guards against messages to an old agent that it would count as malformed.
BOOST_AUTO_TEST_CASE(a_balancer_sends_no_classes_to_an_old_agent) {
  const auto balancer = MakeBalancer(7, ClassesOf(1, kUrgent));
  const auto old = TargetReport{.agent = kOwn, .service = kDesk};
  BOOST_TEST(RequestedClasses(balancer.classes, old).empty());
  const auto other = TargetReport{.agent = kOwn, .service = kDesk, .wanted_classes = 12};
  BOOST_TEST(RequestedClasses(balancer.classes, other).empty());
  const auto unknown = TargetReport{.agent = kOwn, .service = kMapper, .wanted_classes = 12};
  BOOST_TEST(RequestedClasses(balancer.classes, unknown).empty());
}

// Guards against an incomplete set being used, and against the classes known before being dropped
// while a set is incomplete.
BOOST_AUTO_TEST_CASE(a_set_with_a_lost_part_is_not_used_and_is_completed_by_the_next_balancer) {
  auto agent = MakeAgent();
  Exchange(agent, kFirst, MakeBalancer(7, ClassesOf(1, kUrgent)), kStart);
  const auto newer = MakeBalancer(8, ClassesOf(kRoutesInPart * 2 + 1, kRelaxed));
  const auto asked_at = kStart + seconds{1};
  const auto sent =
      Exchange(agent, kFirst, newer, asked_at, [](std::uint32_t part) { return part != 1; });
  BOOST_TEST(sent == 3U);
  BOOST_TEST(Knows(agent, kUrgent));
  BOOST_TEST(agent.route_classes.classes.size() == 1U);
  // The request is repeated 100 ms after the last one, not earlier.
  BOOST_TEST(Exchange(agent, kSecond, newer, asked_at + milliseconds{99}) == 0U);
  Exchange(agent, kSecond, newer, asked_at + milliseconds{100},
           [](std::uint32_t part) { return part == 1; });
  BOOST_TEST(Knows(agent, kRelaxed));
  BOOST_TEST(agent.route_classes.classes.size() == kRoutesInPart * 2 + 1);
}

// Guards against a lost request or answer leaving the agent without classes, and against one
// request being answered more than once because the agent reports for other reasons.
BOOST_AUTO_TEST_CASE(a_request_is_sent_once_and_repeated_after_its_time) {
  auto agent = MakeAgent();
  const auto balancer = MakeBalancer(7, ClassesOf(1, kUrgent));
  TakeHello(agent, kFirst, HelloOf(balancer, kStart), kStart);
  BOOST_TEST(MakeReport(agent, kSecond, kStart).wanted_classes == 0U);
  BOOST_TEST(MakeReport(agent, kFirst, kStart).wanted_classes != 0U);
  BOOST_TEST(MakeReport(agent, kFirst, kStart).wanted_classes == 0U);
  BOOST_TEST(MakeReport(agent, kSecond, kStart).wanted_classes == 0U);
  const auto later = kStart + agent.policy.class_request_timeout;
  BOOST_TEST(Announce(agent, kSecond, balancer, later - milliseconds{1}).wanted_classes == 0U);
  BOOST_TEST(Announce(agent, kSecond, balancer, later).wanted_classes != 0U);
  BOOST_TEST(MakeReport(agent, kFirst, later).wanted_classes == 0U);
}

// Guards against the parts of a higher version being discarded by each hello with a lower one, so
// that a set of many parts would never be complete where packets are lost.
BOOST_AUTO_TEST_CASE(a_lower_version_does_not_interrupt_the_receipt_of_a_higher_one) {
  auto agent = MakeAgent();
  const auto older = MakeBalancer(7, ClassesOf(1, kUrgent));
  const auto newer = MakeBalancer(8, ClassesOf(kRoutesInPart * 2, kRelaxed));
  Exchange(agent, kFirst, newer, kStart, [](std::uint32_t part) { return part == 0; });
  BOOST_TEST(Exchange(agent, kSecond, older, kStart + kHelloPeriod) == 0U);
  Exchange(agent, kFirst, newer, kStart + kHelloPeriod,
           [](std::uint32_t part) { return part == 1; });
  BOOST_TEST(Knows(agent, kRelaxed));
}

// Guards against two sets of one version discarding each other's parts before the first is
// complete.
BOOST_AUTO_TEST_CASE(an_equal_version_does_not_interrupt_a_request) {
  auto agent = MakeAgent();
  const auto one = MakeBalancer(7, ClassesOf(1, kUrgent));
  const auto other = MakeBalancer(7, ClassesOf(1, kRelaxed));
  const auto report = Announce(agent, kFirst, one, kStart);
  BOOST_TEST(Exchange(agent, kSecond, other, kStart + milliseconds{1}) == 0U);
  for (const auto& part : RequestedClasses(one.classes, report)) {
    BOOST_TEST(TakeRouteClasses(agent, part, kStart + milliseconds{2}));
  }
  BOOST_TEST(Knows(agent, kUrgent));
}

// Guards against a higher version waiting for the end of a request for a lower one.
BOOST_AUTO_TEST_CASE(a_higher_version_replaces_a_request_at_once) {
  auto agent = MakeAgent();
  const auto older = MakeBalancer(7, ClassesOf(1, kUrgent));
  const auto newer = MakeBalancer(8, ClassesOf(1, kRelaxed));
  Announce(agent, kFirst, older, kStart);
  const auto report = Announce(agent, kSecond, newer, kStart + milliseconds{1});
  BOOST_TEST(report.wanted_classes == newer.classes.at(kDesk).digest);
}

// Guards against the classes of another service whose routes have the same classes.
BOOST_AUTO_TEST_CASE(parts_of_another_service_are_ignored) {
  auto agent = MakeAgent();
  const auto balancer = MakeBalancer(7, ClassesOf(1, kUrgent));
  const auto report = Announce(agent, kFirst, balancer, kStart);
  auto part = RequestedClasses(balancer.classes, report).front();
  part.service = kMapper;
  BOOST_TEST(!TakeRouteClasses(agent, part, kStart));
  BOOST_TEST(Knows(agent, {}));
}

// Guards against an agent that waits forever for a version whose only balancer is gone.
BOOST_AUTO_TEST_CASE(a_version_that_is_no_longer_announced_gives_way_to_a_lower_one) {
  auto agent = MakeAgent();
  const auto older = MakeBalancer(7, ClassesOf(1, kUrgent));
  Announce(agent, kFirst, MakeBalancer(8, ClassesOf(1, kRelaxed)), kStart);
  Exchange(agent, kSecond, older, kStart + agent.policy.hello_lifetime);
  BOOST_TEST(Knows(agent, {}));
  Exchange(agent, kSecond, older, kStart + agent.policy.hello_lifetime + milliseconds{1});
  BOOST_TEST(Knows(agent, kUrgent));
}

// Guards against a mixture of two sets being used, and against a set that never matches its digest
// being requested with each hello.
BOOST_AUTO_TEST_CASE(a_set_that_does_not_match_its_digest_is_not_used) {
  auto agent = MakeAgent();
  auto wrong = MakeBalancer(7, ClassesOf(1, kUrgent));
  wrong.classes.at(kDesk).parts.front().groups.front().request_class = kRelaxed;
  auto sent = std::size_t{0};
  for (auto now = kStart; now < kStart + seconds{10}; now += kHelloPeriod) {
    sent += Exchange(agent, kFirst, wrong, now);
  }
  BOOST_TEST(sent == 1U);
  BOOST_TEST(Knows(agent, {}));
  BOOST_TEST(agent.route_classes.wanted->parts.empty());
  Exchange(agent, kFirst, MakeBalancer(7, ClassesOf(1, kUrgent)), kStart + seconds{10});
  BOOST_TEST(Knows(agent, kUrgent));
}

// Guards against openings that are turned away by the service times, callers and priorities of an
// earlier service.
BOOST_AUTO_TEST_CASE(an_agent_that_changes_its_service_forgets_what_admission_has_learned) {
  auto agent = MakeAgent();
  agent.admission.policy = {.admit_by_completion = true, .fair_callers = true};
  agent.callers.seed = 7;
  admission::RecordAnswer(agent.admission, kUrgent, seconds{2}, 0, 4, kStart);
  admission::RecordHandshake(agent.admission, seconds{1}, kStart);
  admission::Decide(agent.admission, {}, {.in_flight = 8, .slots = 4}, kStart);
  admission::CountUse(agent.callers, kClient.address, kStart);
  admission::NoteOpening(agent.priorities, kUrgent.priority, kStart);
  ChangeService(agent, kMapper, kStart);
  const auto& controller = agent.admission;
  BOOST_TEST(controller.policy.admit_by_completion);
  BOOST_TEST(controller.service_times.empty());
  BOOST_TEST((controller.mix.observed == base::TimePoint{}));
  BOOST_TEST((controller.handshake.observed == base::TimePoint{}));
  BOOST_TEST(!admission::IsShort(controller, kStart));
  BOOST_TEST(agent.callers.seed == 7U);
  BOOST_TEST(admission::UseOf(agent.callers, kClient.address, kStart) == 0U);
  BOOST_TEST(agent.priorities.entries.empty());
}

// Guards against routes of an earlier service keeping their classes, and against parts that were
// sent before the change.
BOOST_AUTO_TEST_CASE(an_agent_that_changes_its_service_forgets_the_classes) {
  auto agent = MakeAgent();
  const auto balancer = MakeBalancer(7, ClassesOf(1, kUrgent));
  Exchange(agent, kFirst, balancer, kStart);
  ChangeService(agent, kMapper, kStart);
  BOOST_TEST(Knows(agent, {}));
  BOOST_TEST(Exchange(agent, kFirst, balancer, kStart) == 0U);
  BOOST_TEST(!TakeRouteClasses(agent, balancer.classes.at(kDesk).parts.front(), kStart));
  BOOST_TEST(Knows(agent, {}));
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
