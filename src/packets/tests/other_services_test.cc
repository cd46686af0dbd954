#include <boost/test/unit_test.hpp>
#include <variant>
#include <vector>

#include "packets/route_history.h"
#include "packets/route_set.h"
#include "packets/search.h"
#include "packets/tests/search_rig.h"

// Tests flows of a route that are open at another service than the one that its new flows go to.
namespace anvildrum::packets::search_tests {
namespace {

constexpr auto kDesks = std::size_t{5};
constexpr auto kMappers = std::size_t{3};
constexpr auto kPort = std::uint16_t{9};

auto HolderOf(const std::vector<SearchOutcome>& outcomes) -> Address {
  BOOST_REQUIRE(outcomes.size() == 1U);
  BOOST_REQUIRE(std::holds_alternative<FlowFound>(outcomes.front()));
  return std::get<FlowFound>(outcomes.front()).holder.agent;
}

// Fails if a restarted balancer takes the route's present service for the only one with its flows.
BOOST_AUTO_TEST_CASE(a_restarted_balancer_finds_flows_of_a_routes_earlier_service) {
  auto rig = Rig{kDesks, kMappers};
  rig.Open(1, kPort);
  rig.Configure(2, kMapper);
  rig.RestartBalancer();
  rig.Route(DataOf(kPort));
  BOOST_TEST(HolderOf(rig.Search()) == rig.agents[1].own);
  const auto next = rig.Route(DataOf(kPort));
  BOOST_TEST(std::get<ForwardToAgent>(next).agent == rig.agents[1].own);
  BOOST_TEST(std::get<ForwardToAgent>(next).stamp.service_tag == TagOf(kDesk));
}

// Fails if knowledge of a former service depends on the versions that the balancer itself applied.
BOOST_AUTO_TEST_CASE(a_balancer_finds_flows_of_a_service_whose_version_it_never_applied) {
  auto rig = Rig{kDesks, kMappers};
  rig.Open(kDesks, kPort);  // under a version that was soon replaced
  rig.TakeReports();
  rig.Configure(3, kDesk);
  rig.Route(DataOf(kPort));
  BOOST_TEST(HolderOf(rig.Search()) == rig.agents[kDesks].own);
}

// Fails if what all balancers and agents forget at once is not recorded.
BOOST_AUTO_TEST_CASE(flows_of_an_earlier_service_survive_a_restart_of_all_processes) {
  auto rig = Rig{kDesks, kMappers};
  rig.Open(1, kPort);
  rig.Configure(2, kMapper);
  const auto history = rig.History();
  for (auto i = std::size_t{0}; i < rig.agents.size(); ++i) rig.RestartAgent(i);
  rig.RestartBalancer();
  TakeHistory(rig.balancer, history, rig.now, rig.now);
  rig.Route(DataOf(kPort));
  BOOST_TEST(Count<FlowLost>(rig.Search()) == 0U);
  const auto next = rig.Route(DataOf(kPort));
  BOOST_REQUIRE(std::holds_alternative<ForwardToAgent>(next));
  BOOST_TEST(std::get<ForwardToAgent>(next).agent == rig.agents[1].own);
}

// Fails if the record misses a change that no process outlived.
BOOST_AUTO_TEST_CASE(a_history_from_before_a_change_names_the_earlier_service) {
  auto rig = Rig{kDesks, kMappers};
  const auto history = rig.History();
  rig.Open(1, kPort);
  rig.Configure(2, kMapper);
  for (auto i = std::size_t{0}; i < rig.agents.size(); ++i) rig.RestartAgent(i);
  rig.RestartBalancer();
  TakeHistory(rig.balancer, history, rig.now, rig.now);
  rig.Route(DataOf(kPort));
  rig.Search();
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(rig.Route(DataOf(kPort))));
}

// Fails if a balancer that knows neither the history nor all flows resets one.
BOOST_AUTO_TEST_CASE(without_the_history_young_agents_leave_a_flow_undecided) {
  auto rig = Rig{kDesks, kMappers};
  rig.Open(1, kPort);
  rig.Configure(2, kMapper);
  for (auto i = std::size_t{0}; i < kDesks; ++i) rig.RestartAgent(i);
  rig.RestartBalancer();
  rig.Route(DataOf(kPort));
  BOOST_TEST((ReasonOf(rig.Search()) == SearchFailure::kOtherService));
  BOOST_TEST(rig.probes == 0U);
}

// Fails if a route's former services are forgotten when it changes again or gets one of them back.
BOOST_AUTO_TEST_CASE(all_services_of_a_route_that_changed_several_times_are_recorded) {
  constexpr auto reports = base::ServiceId{13};
  auto rig = Rig{kDesks, kMappers};
  rig.Configure(2, kMapper);
  rig.Configure(3, reports);
  rig.Configure(4, kMapper);
  const auto all = std::vector{kDesk, kMapper, reports};
  BOOST_TEST((rig.History().at(KeyOf(kRoute)) == all));
  const auto history = rig.History();
  rig.RestartBalancer();
  TakeHistory(rig.balancer, history, rig.now, rig.now);
  BOOST_TEST((rig.History().at(KeyOf(kRoute)) == all));
  rig.now += rig.balancer.policy.former_service_ttl;
  BOOST_TEST((rig.History().at(KeyOf(kRoute)) == std::vector{kMapper}));
}

// Fails if a history that arrives before the configuration is lost.
BOOST_AUTO_TEST_CASE(a_history_waits_for_the_configuration) {
  auto balancer = Balancer{};
  TakeHistory(balancer, {{KeyOf(kRoute), {kDesk, kMapper}}}, kStart, kStart);
  auto routes = Routes{};
  routes.shares[KeyOf(kRoute)] = {{kMapper, 1}};
  ApplyRoutes(balancer, routes, kStart);
  BOOST_TEST(KnowsFormerServices(balancer, KeyOf(kRoute), kStart));
  BOOST_REQUIRE(balancer.former.contains(KeyOf(kRoute)));
  BOOST_TEST((balancer.former.at(KeyOf(kRoute)).front().service == kDesk));
}

// Fails if a record that does not name a route counts as proof that it had no other service.
BOOST_AUTO_TEST_CASE(a_history_without_the_route_leaves_its_flows_undecided) {
  auto rig = Rig{kDesks, kMappers};
  rig.Open(1, kPort);
  rig.Configure(2, kMapper);
  for (auto i = std::size_t{0}; i < kDesks; ++i) rig.RestartAgent(i);
  rig.RestartBalancer();
  TakeHistory(rig.balancer, {}, rig.now, rig.now);
  rig.Route(DataOf(kPort));
  BOOST_TEST((ReasonOf(rig.Search()) == SearchFailure::kOtherService));
  BOOST_TEST(rig.balancer.history_wanted);
}

// Fails if a balancer that cannot read the history never resets a flow again.
BOOST_AUTO_TEST_CASE(a_balancer_with_a_configuration_for_long_knows_all_services) {
  auto balancer = Balancer{};
  ApplyRoutes(balancer, Routes{}, kStart);
  const auto route = KeyOf(kRoute);
  BOOST_TEST(!KnowsFormerServices(balancer, route, kStart));
  BOOST_TEST(KnowsFormerServices(balancer, route, kStart + balancer.policy.former_service_ttl));
}

// Fails if an agent of another service that the balancer has never heard does not delay a reset.
BOOST_AUTO_TEST_CASE(an_agent_of_another_service_that_is_away_leaves_a_flow_undecided) {
  auto rig = Rig{kDesks, kMappers};
  rig.Open(1, kPort);
  rig.Configure(2, kMapper);
  rig.cut.insert(rig.agents[1].own);
  rig.RestartBalancer();
  rig.Route(DataOf(kPort));
  BOOST_TEST((ReasonOf(rig.Search()) == SearchFailure::kOtherService));
}

// Fails if a lost flow is searched for at agents of services that never held its route's flows.
BOOST_AUTO_TEST_CASE(a_lost_flow_costs_no_query_to_services_without_flows_of_its_route) {
  for (const auto others : {std::size_t{0}, std::size_t{1000}}) {
    auto rig = Rig{kDesks, others};
    rig.Route(DataOf(kPort));
    BOOST_TEST(Count<FlowLost>(rig.Search()) == 1U);
    BOOST_TEST(rig.queries == kDesks);
    BOOST_TEST(rig.probes == 0U);
  }
}

// Fails if a lost flow is never reset while another service holds flows of its route.
BOOST_AUTO_TEST_CASE(a_lost_flow_is_reset_once_the_other_service_has_answered) {
  auto rig = Rig{kDesks, kMappers};
  rig.Open(1, kPort + 1);
  rig.Configure(2, kMapper);
  rig.RestartBalancer();
  rig.Route(DataOf(kPort));
  BOOST_TEST(Count<FlowLost>(rig.Search()) == 1U);
}

// Fails if a route's first flow at a target is reported only with the next hello.
BOOST_AUTO_TEST_CASE(an_agent_reports_a_routes_first_flow_at_once) {
  auto rig = Rig{kDesks};
  auto& agent = rig.agents[0];
  BOOST_TEST(!Overlap(MakeReport(agent, kBalancer, rig.now).routes, SetOf(kRoute)));
  rig.Open(0, kPort);
  BOOST_TEST(TakeAddedRoutes(agent, rig.now));
  BOOST_TEST(Overlap(MakeReport(agent, kBalancer, rig.now).routes, SetOf(kRoute)));
  rig.Open(0, kPort + 1);
  BOOST_TEST(!TakeAddedRoutes(agent, rig.now));
  const auto later = rig.now + agent.policy.flow_age + base::milliseconds{1};
  BOOST_TEST(!Overlap(MakeReport(agent, kBalancer, later).routes, SetOf(kRoute)));
}

// Fails if an agent that does not know all flows of its target excludes a route.
BOOST_AUTO_TEST_CASE(an_agent_that_was_started_again_may_hold_flows_of_any_route) {
  auto rig = Rig{kDesks};
  rig.RestartAgent(0);
  BOOST_TEST((MakeReport(rig.agents[0], kBalancer, rig.now).routes == kAllRoutes));
}

}  // namespace
}  // namespace anvildrum::packets::search_tests
