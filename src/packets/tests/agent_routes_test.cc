#include <boost/test/unit_test.hpp>
#include <optional>
#include <variant>

#include "agent_test_utils.h"
#include "packets/route_history.h"
#include "route_classes_utils.h"

// Tests that an agent delivers only packets of its service's routes, whatever the stamp says.
namespace anvildrum::packets::agent_tests {
namespace {

// A service whose tag in a stamp is that of kDesk.
constexpr auto kEqualTag = base::ServiceId{kDesk.value + (1U << kServiceTagBits)};

// A balancer whose configuration gives kRoute to the service.
auto BalancerOf(base::ServiceId service) -> Balancer {
  auto balancer = Balancer{};
  auto routes = Routes{};
  routes.version = 1;
  routes.shares[KeyOf(kRoute)] = {{service, 1}};
  ApplyRoutes(balancer, routes, kStart);
  return balancer;
}

auto AnsweringHello() -> Hello {
  auto hello = MakeHello({kOwn, kOther});
  hello.answers_route_queries = true;
  return hello;
}

// An agent of service kDesk that knows a balancer and no routes.
auto MakeUntoldAgent() -> Agent {
  auto agent = MakeAgent();
  DeliverHello(agent, kBalancer, AnsweringHello(), kStart);
  return agent;
}

auto IsDelivered(const AgentVerdict& verdict) -> bool {
  return std::holds_alternative<DeliverToTarget>(verdict);
}

auto Awaits(const AgentVerdict& verdict) -> bool {
  return std::holds_alternative<AwaitRoute>(verdict);
}

// Returns the balancer's answer to the question that the agent has noted.
auto AnswerFrom(const Balancer& balancer, Agent& agent, base::TimePoint now) -> RouteAnswer {
  const auto query = TakeRouteQuery(agent);
  BOOST_REQUIRE(query.has_value());
  return *AnswerRouteQuery(balancer, *query, now);
}

// Guards against openings of the service that had the address before, where two tags are equal.
BOOST_AUTO_TEST_CASE(an_opening_of_a_service_with_an_equal_tag_is_not_delivered) {
  static_assert(kEqualTag != kDesk);
  BOOST_REQUIRE(TagOf(kEqualTag) == TagOf(kDesk));
  auto agent = MakeUntoldAgent();
  const auto balancer = BalancerOf(kEqualTag);
  auto opening = Opening();
  opening.stamp = StampFor(balancer, kEqualTag, true);
  BOOST_TEST(Awaits(FromPeer(agent, opening, kStart)));
  TakeRouteAnswer(agent, AnswerFrom(balancer, agent, kStart), kStart);
  BOOST_TEST(Awaits(FromPeer(agent, opening, kStart)));
  BOOST_TEST(agent.counters.delivered == 0U);
}

// Guards against the same for the other packets of a flow.
BOOST_AUTO_TEST_CASE(data_of_a_service_with_an_equal_tag_is_not_delivered) {
  auto agent = MakeUntoldAgent();
  BOOST_TEST(Awaits(FromPeer(agent, Data(), kStart)));
  TakeRouteAnswer(agent, AnswerFrom(BalancerOf(kEqualTag), agent, kStart), kStart);
  BOOST_TEST(Awaits(FromPeer(agent, Data(), kStart)));
}

// Guards against an agent that has just started and takes a tag for proof until its first hello.
BOOST_AUTO_TEST_CASE(an_agent_without_a_hello_does_not_go_by_the_tag) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  BOOST_TEST(Awaits(FromPeer(agent, Data(), kStart)));
  TakeRouteAnswer(agent, AnswerFrom(BalancerOf(kDesk), agent, kStart), kStart);
  BOOST_TEST(IsDelivered(FromPeer(agent, Data(), kStart)));
}

// Guards against a route that is not served because the agent has not been told of it yet.
BOOST_AUTO_TEST_CASE(an_opening_is_delivered_once_a_balancer_has_confirmed_its_route) {
  auto agent = MakeUntoldAgent();
  BOOST_TEST(Awaits(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST(TakeRouteAnswer(agent, AnswerFrom(BalancerOf(kDesk), agent, kStart), kStart));
  BOOST_TEST(IsDelivered(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST(!TakeRouteQuery(agent));
}

// Guards against a round trip for each new flow of a route whose class the agent knows.
BOOST_AUTO_TEST_CASE(packets_of_classed_routes_await_nothing) {
  auto agent = MakeAgent();
  Exchange(agent, kFirst, MakeBalancer(1, ClassesOf(1, kUrgent)), kStart);
  BOOST_REQUIRE(Knows(agent, kUrgent));
  BOOST_TEST(IsDelivered(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST(!TakeRouteQuery(agent));
}

// Guards against routes that a balancer leaves out of the classes because theirs is unknown.
BOOST_AUTO_TEST_CASE(a_route_without_a_class_is_served) {
  auto agent = MakeAgent();
  auto routes = RoutesWith(1, ClassesOf(1, kUrgent));
  const auto unclassed = End{kRoute.address + 1, kRoute.port};
  routes.shares[KeyOf(unclassed)] = {{kDesk, 1}};
  auto balancer = MakeBalancer(1, {});
  ApplyRoutes(balancer, routes, kStart);
  Exchange(agent, kFirst, balancer, kStart);
  auto opening = Opening();
  opening.destination = unclassed;
  BOOST_TEST(Awaits(FromPeer(agent, opening, kStart)));
  TakeRouteAnswer(agent, AnswerFrom(balancer, agent, kStart), kStart);
  BOOST_TEST(IsDelivered(FromPeer(agent, opening, kStart)));
}

// Guards against an answer that outlasts the configuration that it was given by.
BOOST_AUTO_TEST_CASE(a_confirmation_expires_and_is_renewed_while_the_route_is_used) {
  auto agent = MakeUntoldAgent();
  TakeRouteAnswer(agent, {kDesk, kRoute, true, true}, kStart);
  const auto used = kStart + agent.policy.route_confirmed_for / 2;
  BOOST_TEST(IsDelivered(FromPeer(agent, Data(), used)));
  const auto renewal = TakeRouteQuery(agent);
  BOOST_REQUIRE(renewal.has_value());
  BOOST_TEST((*renewal == RouteQuery{kDesk, kRoute}));
  const auto expired = kStart + agent.policy.route_confirmed_for;
  auto other = Data();
  other.source.port = kClient.port + 1;
  BOOST_TEST(Awaits(FromPeer(agent, other, expired)));
  TakeRouteAnswer(agent, {kDesk, kRoute, true, true}, expired);
  BOOST_TEST(IsDelivered(FromPeer(agent, other, expired)));
}

// Guards against a service that its route has left: it keeps its flows and receives no new ones.
BOOST_AUTO_TEST_CASE(a_former_service_receives_data_and_no_openings) {
  auto balancer = BalancerOf(kDesk);
  auto moved = Routes{};
  moved.version = 2;
  moved.shares[KeyOf(kRoute)] = {{kMapper, 1}};
  ApplyRoutes(balancer, moved, kStart);
  auto agent = MakeUntoldAgent();
  BOOST_TEST(Awaits(FromPeer(agent, Opening(), kStart)));
  TakeRouteAnswer(agent, AnswerFrom(balancer, agent, kStart), kStart);
  BOOST_TEST(Awaits(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST(IsDelivered(FromPeer(agent, Data(), kStart)));
}

// Guards against open flows that stop because no balancer answers at the moment.
BOOST_AUTO_TEST_CASE(packets_of_a_known_flow_await_nothing) {
  auto agent = MakeUntoldAgent();
  TakeRouteAnswer(agent, {kDesk, kRoute, true, true}, kStart);
  FromPeer(agent, Opening(), kStart);
  FromTarget(agent, OpeningAnswer(4710), kStart);
  const auto later = kStart + agent.policy.route_confirmed_for;
  auto data = Data();
  data.acknowledged = 4711;
  BOOST_TEST(IsDelivered(FromPeer(agent, data, later)));
}

// Guards against questions for each packet of a burst, and against a lost question.
BOOST_AUTO_TEST_CASE(a_question_is_repeated_only_after_its_timeout) {
  auto agent = MakeUntoldAgent();
  FromPeer(agent, OpeningOf(1, 0), kStart);
  BOOST_TEST(TakeRouteQuery(agent).has_value());
  FromPeer(agent, OpeningOf(2, 0), kStart);
  BOOST_TEST(!TakeRouteQuery(agent));
  BOOST_TEST(!RepeatRouteQuery(agent, kRoute, kStart));
  const auto later = kStart + agent.policy.route_query_timeout;
  BOOST_TEST(RepeatRouteQuery(agent, kRoute, later).has_value());
}

// Guards against a fleet that stops while it is upgraded, since earlier builds answer no questions.
BOOST_AUTO_TEST_CASE(the_tag_decides_while_a_balancer_of_an_earlier_build_is_known) {
  auto agent = MakeUntoldAgent();
  DeliverHello(agent, kSecond, MakeHello({kOwn, kOther}), kStart);
  BOOST_TEST(IsDelivered(FromPeer(agent, Opening(), kStart)));
}

// Guards against confirmations of the service that the agent's target had before.
BOOST_AUTO_TEST_CASE(a_change_of_service_ends_all_confirmations) {
  auto agent = MakeUntoldAgent();
  TakeRouteAnswer(agent, {kDesk, kRoute, true, true}, kStart);
  ChangeService(agent, kEqualTag, kStart);
  BOOST_TEST(!TakeRouteAnswer(agent, {kDesk, kRoute, true, true}, kStart));
  BOOST_TEST(Awaits(FromPeer(agent, Data(), kStart)));
}

// A balancer without a configuration does not know.
BOOST_AUTO_TEST_CASE(a_balancer_without_routes_does_not_answer) {
  BOOST_TEST(!AnswerRouteQuery({}, {kDesk, kRoute}, kStart));
}

BOOST_AUTO_TEST_CASE(route_queries_and_answers_survive_the_wire) {
  const auto query = RouteQuery{kDesk, kRoute};
  BOOST_TEST((std::get<RouteQuery>(*RoundTrip(query)) == query));
  const auto answer = RouteAnswer{kDesk, kRoute, true, false};
  BOOST_TEST((std::get<RouteAnswer>(*RoundTrip(answer)) == answer));
  BOOST_TEST(std::get<Hello>(*RoundTrip(AnsweringHello())).answers_route_queries);
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
