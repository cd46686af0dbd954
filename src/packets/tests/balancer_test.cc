#include "packets/balancer.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <map>
#include <set>

#include "packets/search.h"

namespace anvildrum::packets {
namespace {

using base::milliseconds;
using base::seconds;

constexpr auto kStart = base::TimePoint{seconds{1000}};
constexpr auto kRoute = End{0xc6120001, 443};
constexpr auto kFirstAgent = Address{0x0a010001};
constexpr auto kDesk = base::ServiceId{11};
constexpr auto kMapper = base::ServiceId{22};

/// A balancer with a route to the service desk and `agents` live agents with four slots each.
struct Rig {
  explicit Rig(Address agents) {
    auto routes = Routes{};
    routes.version = 3;
    routes.shares[KeyOf(kRoute)] = {{kDesk, 1}};
    ApplyRoutes(this->balancer, routes, this->now);
    this->balancer.view.policy = this->balancer.policy.view;
    for (auto i = Address{0}; i < agents; ++i) this->Report(kFirstAgent + i, 0);
  }

  /// Applies a configuration version with these shares of the route.
  auto Configure(std::uint64_t version, std::vector<Share> shares) -> void {
    auto routes = Routes{};
    routes.version = version;
    routes.shares[KeyOf(kRoute)] = std::move(shares);
    ApplyRoutes(this->balancer, routes, this->now);
  }

  auto Report(Address agent, std::uint32_t in_flight, TargetState state = TargetState::kReady,
              base::ServiceId service = kDesk) -> void {
    TakeReport(this->balancer.view,
               {.agent = agent,
                .service = service,
                .start = 1,
                .sequence = ++this->sequence,
                .state = state,
                .in_flight = in_flight,
                .slots = 4,
                .domain = this->domains[agent]},
               this->now);
  }

  auto Opening(std::uint16_t port, std::uint32_t copy = 0) -> BalancerVerdict {
    auto packet = Packet{.source = {0x64400007, port}, .destination = kRoute};
    packet.synchronize = true;
    packet.acknowledged = copy;
    return RoutePacket(this->balancer, packet, this->now);
  }

  auto Data(std::uint16_t port) -> BalancerVerdict {
    auto packet = Packet{.source = {0x64400007, port}, .destination = kRoute};
    packet.acknowledge = true;
    packet.payload = 10;
    return RoutePacket(this->balancer, packet, this->now);
  }

  /// Returns the agents that are queried first by the search for which the packet waits.
  auto Asked(const BalancerVerdict& verdict) -> std::set<Address> {
    auto asked = std::set<Address>{};
    if (!std::holds_alternative<AwaitSearch>(verdict)) return asked;
    for (const auto& addressed : StepSearches(this->balancer, this->now).queries) {
      asked.insert(addressed.agent);
    }
    return asked;
  }

  Balancer balancer;
  std::map<Address, DomainTag> domains;  ///< domains of agents for their next reports
  base::TimePoint now = kStart;
  std::uint64_t sequence = 0;
};

auto AgentOf(const BalancerVerdict& verdict) -> Address {
  const auto* forward = std::get_if<ForwardToAgent>(&verdict);
  return forward == nullptr ? Address{0} : forward->agent;
}

BOOST_AUTO_TEST_CASE(packets_follow_their_opening) {
  auto rig = Rig{7};
  for (auto port = std::uint16_t{1}; port < 200; ++port) {
    const auto agent = AgentOf(rig.Opening(port));
    BOOST_TEST(agent != 0U);
    BOOST_TEST(AgentOf(rig.Data(port)) == agent);
  }
}

// Returns a rig whose agents alternate between three failure domains; the balancer is in the second
// one.
auto MakeRigOfDomains(Address agents) -> Rig {
  auto rig = Rig{0};
  rig.balancer.domain = 2;
  for (auto i = Address{0}; i < agents; ++i) {
    rig.domains[kFirstAgent + i] = static_cast<DomainTag>(1 + i % 3);
    rig.Report(kFirstAgent + i, 0);
  }
  return rig;
}

// Client packets arrive at balancers in the client's failure domain, and answers go from the agent
// to the client. With agents chosen from all three domains, two thirds of all bytes would cross
// domains, which costs operators money.
BOOST_AUTO_TEST_CASE(openings_stay_in_the_balancers_domain_while_it_has_places) {
  auto rig = MakeRigOfDomains(9);
  for (auto port = std::uint16_t{1}; port <= 12; ++port) {
    BOOST_TEST(rig.domains.at(AgentOf(rig.Opening(port))) == 2);
  }
}

// All agents of the balancer's domain are busy and those of the others are idle. A request that
// waited for an agent of its own domain would be delayed needlessly.
BOOST_AUTO_TEST_CASE(openings_leave_a_domain_whose_agents_are_busy) {
  auto rig = MakeRigOfDomains(9);
  for (const auto& [agent, domain] : rig.domains) rig.Report(agent, domain == 2 ? 4 : 0);
  for (auto port = std::uint16_t{1}; port <= 12; ++port) {
    BOOST_TEST(rig.domains.at(AgentOf(rig.Opening(port))) != 2);
  }
}

// An operator sends a route's new flows to another service. An open flow must stay at its target;
// otherwise its packets would go to targets that do not know it until its client gives up.
BOOST_AUTO_TEST_CASE(open_flows_stay_with_a_service_that_their_route_has_left) {
  constexpr auto mapper_agent = kFirstAgent + 100;
  auto rig = Rig{3};
  rig.Report(mapper_agent, 0, TargetState::kReady, kMapper);
  const auto agent = AgentOf(rig.Opening(1));
  rig.Configure(4, {{kMapper, 1}});
  const auto verdict = rig.Data(1);
  BOOST_TEST(AgentOf(verdict) == agent);
  BOOST_TEST(std::get<ForwardToAgent>(verdict).stamp.service_tag == TagOf(kDesk));
  BOOST_TEST(AgentOf(rig.Opening(2)) == mapper_agent);
  rig.now += rig.balancer.policy.former_service_ttl;
  rig.Report(mapper_agent, 0, TargetState::kReady, kMapper);
  BOOST_TEST((rig.Asked(rig.Data(1)) == std::set<Address>{mapper_agent}));
}

// The same for a balancer without a hint, or when changed weights assign the flow elsewhere. Every
// service that may hold the flow is searched, and one that does not hold it proves nothing.
BOOST_AUTO_TEST_CASE(all_services_that_may_hold_a_forgotten_flow_are_searched) {
  constexpr auto mapper_agent = kFirstAgent + 100;
  auto rig = Rig{1};
  rig.Report(mapper_agent, 0, TargetState::kReady, kMapper);
  BOOST_TEST((rig.Asked(rig.Data(9)) == std::set<Address>{kFirstAgent}));
  BOOST_TEST(rig.balancer.searches.rounds.begin()->second.conclusive);
  rig.balancer.searches = {};
  rig.Configure(4, {{kDesk, 0}, {kMapper, 1}});
  BOOST_TEST((rig.Asked(rig.Data(8)) == std::set<Address>{kFirstAgent, mapper_agent}));
  BOOST_TEST(!rig.balancer.searches.rounds.begin()->second.conclusive);
}

BOOST_AUTO_TEST_CASE(flows_of_a_route_that_is_gone_go_nowhere) {
  auto rig = Rig{3};
  rig.Opening(1);
  auto routes = Routes{};
  routes.version = 4;
  ApplyRoutes(rig.balancer, routes, rig.now);
  BOOST_TEST(std::holds_alternative<Discard>(rig.Data(1)));
}

// The flow's target left, and the agent beside it ends. If the hint were still followed, every
// packet of a flow that is held elsewhere would be lost.
BOOST_AUTO_TEST_CASE(a_hint_to_an_agent_without_a_target_is_dropped) {
  auto rig = Rig{3};
  const auto agent = AgentOf(rig.Opening(9));
  BOOST_TEST(AgentOf(rig.Data(9)) == agent);
  rig.Report(agent, 0, TargetState::kAbsent);
  const auto asked = rig.Asked(rig.Data(9));
  BOOST_TEST(asked.size() == 2U);
  BOOST_TEST(!asked.contains(agent));
}

// Another service has taken over the address in a flow's hint; the flow is held elsewhere.
BOOST_AUTO_TEST_CASE(a_hint_to_an_agent_of_another_service_is_dropped) {
  auto rig = Rig{3};
  const auto agent = AgentOf(rig.Opening(9));
  rig.Report(agent, 0);
  rig.balancer.view.members.at(agent).service = base::ServiceId{22};
  const auto asked = rig.Asked(rig.Data(9));
  BOOST_TEST(asked.size() == 2U);
  BOOST_TEST(!asked.contains(agent));
}

// The agent has reported that its target left, or that the agent itself is about to stop.
BOOST_AUTO_TEST_CASE(agents_without_a_target_or_about_to_stop_are_not_searched) {
  auto rig = Rig{3};
  rig.Report(kFirstAgent, 0, TargetState::kAbsent);
  rig.Report(kFirstAgent + 1, 0, TargetState::kStopping);
  BOOST_TEST((rig.Asked(rig.Data(9)) == std::set<Address>{kFirstAgent + 2}));
}

BOOST_AUTO_TEST_CASE(the_least_loaded_of_the_first_three_is_given_the_opening) {
  auto rig = Rig{3};
  rig.Report(kFirstAgent, 4);
  rig.Report(kFirstAgent + 1, 4);
  rig.Report(kFirstAgent + 2, 0);
  BOOST_TEST(AgentOf(rig.Opening(5)) == kFirstAgent + 2);
}

BOOST_AUTO_TEST_CASE(where_the_first_three_are_busy_all_are_looked_at) {
  auto rig = Rig{7};
  for (auto i = Address{0}; i < 6; ++i) rig.Report(kFirstAgent + i, 6);
  for (auto port = std::uint16_t{1}; port <= 3; ++port) {
    BOOST_TEST(AgentOf(rig.Opening(port)) == kFirstAgent + 6);
  }
}

// Without counting openings sent since the last report, all of them would go to the agent with the
// lowest reported load: with reports 250 ms apart and a hundred openings per second, a target with
// four slots would receive 25 at once.
BOOST_AUTO_TEST_CASE(openings_between_two_reports_are_spread) {
  auto rig = Rig{3};
  rig.Report(kFirstAgent, 1);
  rig.Report(kFirstAgent + 1, 1);
  auto given = std::map<Address, int>{};
  for (auto port = std::uint16_t{1}; port <= 25; ++port) ++given[AgentOf(rig.Opening(port))];
  for (const auto& [agent, count] : given) BOOST_TEST(count <= 10);
}

BOOST_AUTO_TEST_CASE(a_draining_target_is_given_no_opening_and_keeps_its_flows) {
  auto rig = Rig{2};
  auto held = std::uint16_t{1};
  while (AgentOf(rig.Opening(held)) != kFirstAgent) ++held;
  rig.Report(kFirstAgent, 1, TargetState::kDraining);
  for (auto port = std::uint16_t{1000}; port < 1050; ++port) {
    BOOST_TEST(AgentOf(rig.Opening(port)) == kFirstAgent + 1);
  }
  BOOST_TEST(AgentOf(rig.Data(held)) == kFirstAgent);
}

// An agent loses power, and its clients retransmit their openings after 200 ms. Until its reports
// are missed a second later, each further opening there would cost its client the same wait.
BOOST_AUTO_TEST_CASE(a_repeated_opening_goes_elsewhere_and_its_agent_is_suspected) {
  auto rig = Rig{3};
  const auto silent = AgentOf(rig.Opening(1));
  rig.now += milliseconds{200};
  for (auto i = Address{0}; i < 3; ++i) {
    if (kFirstAgent + i != silent) rig.Report(kFirstAgent + i, 3);
  }
  BOOST_TEST(AgentOf(rig.Opening(1, 1)) != silent);
  for (auto port = std::uint16_t{100}; port < 150; ++port) {
    BOOST_TEST(AgentOf(rig.Opening(port)) != silent);
  }
}

BOOST_AUTO_TEST_CASE(an_agent_that_reported_since_is_not_suspected_for_a_lost_packet) {
  auto rig = Rig{2};
  const auto agent = AgentOf(rig.Opening(1));
  rig.now += milliseconds{200};
  rig.Report(agent, 0);
  rig.Opening(1, 1);
  BOOST_TEST(IsUsable(rig.balancer.view, rig.balancer.view.members.at(agent), rig.now));
}

// Guards against healthy agents that receive no openings in a burst: they leave openings to their
// clients' copies, and the copies would count as signs that they are gone.
BOOST_AUTO_TEST_CASE(a_busy_agent_that_may_leave_openings_to_copies_is_not_suspected) {
  for (const auto awaited : {true, false}) {
    auto rig = Rig{2};
    rig.balancer.policy.copies_awaited = awaited;
    for (auto i = Address{0}; i < 2; ++i) rig.Report(kFirstAgent + i, 8);
    rig.now += milliseconds{1};
    const auto agent = AgentOf(rig.Opening(1));
    rig.now += milliseconds{200};
    rig.Opening(1, 1);
    const auto& member = rig.balancer.view.members.at(agent);
    BOOST_TEST(IsUsable(rig.balancer.view, member, rig.now) == awaited);
  }
}

// No agent can accept the opening. The client receives a reset at once instead of failing after
// 1.4 s, and no request has run. A copy gets no reset, since an earlier one may have opened the
// flow by another path.
BOOST_AUTO_TEST_CASE(an_opening_without_any_target_is_refused_at_once_but_not_a_copy) {
  auto rig = Rig{0};
  BOOST_TEST(std::holds_alternative<RefuseOpening>(rig.Opening(1)));
  BOOST_TEST(std::holds_alternative<Discard>(rig.Opening(2, 1)));
}

// As with an agent, a balancer may resume from a pause with queued openings whose clients have
// since sent copies to another balancer.
BOOST_AUTO_TEST_CASE(an_opening_that_waited_while_the_balancer_stood_still_is_not_called_sole) {
  auto rig = Rig{3};
  rig.Opening(1);
  rig.now += kStallAfter + milliseconds{1};
  const auto late = rig.Opening(2);
  BOOST_TEST(!std::get<ForwardToAgent>(late).stamp.refusable);
  for (auto waited = base::Duration{}; waited < kStallDoubt; waited += kStallCheck) {
    rig.now += kStallCheck;
    NoteEvent(rig.balancer.stall, rig.now);
  }
  const auto fresh = rig.Opening(3);
  BOOST_TEST(std::get<ForwardToAgent>(fresh).stamp.refusable);
}

// The only agent that was offered an opening no longer has a target and its hint is dropped; then
// the client's copy arrives. It must not be forwarded: it used to be sent to the address 0.0.0.0.
BOOST_AUTO_TEST_CASE(a_copy_whose_only_agent_is_gone_goes_nowhere) {
  auto rig = Rig{1};
  rig.Opening(1);
  rig.Report(kFirstAgent, 0, TargetState::kAbsent);
  rig.Data(1);
  BOOST_TEST(std::holds_alternative<Discard>(rig.Opening(1, 1)));
}

// A balancer that has just started has no configuration. It must not answer with a reset, since the
// route may exist.
BOOST_AUTO_TEST_CASE(nothing_is_refused_without_a_configuration_or_without_a_route) {
  auto rig = Rig{1};
  auto packet = Packet{.source = {1, 1}, .destination = {0xc6120009, 1}};
  packet.synchronize = true;
  BOOST_TEST(std::holds_alternative<Discard>(RoutePacket(rig.balancer, packet, kStart)));
  rig.balancer.routes.reset();
  BOOST_TEST(std::holds_alternative<Discard>(rig.Opening(1)));
}

BOOST_AUTO_TEST_CASE(an_older_configuration_is_not_put_in_force) {
  auto rig = Rig{1};
  auto older = Routes{};
  older.version = 2;
  BOOST_TEST(!ApplyRoutes(rig.balancer, older, rig.now));
  BOOST_TEST(rig.balancer.routes->version == 3U);
}

// Without a limit, a flood of forged flows would fill the memory of an 80 MB machine, and the
// process would be killed. Flows without a hint are still forwarded.
BOOST_AUTO_TEST_CASE(a_flood_of_flows_fills_no_more_than_the_table) {
  auto rig = Rig{2};
  rig.balancer.policy.max_hints = 3;
  for (auto port = std::uint16_t{1}; port <= 50; ++port) {
    BOOST_TEST(AgentOf(rig.Opening(port)) != 0U);
    const auto verdict = rig.Data(port);
    BOOST_TEST((AgentOf(verdict) != 0U || std::holds_alternative<AwaitSearch>(verdict)));
  }
  BOOST_TEST(rig.balancer.hints.size() == 3U);
}

BOOST_AUTO_TEST_CASE(hints_of_quiet_flows_are_dropped) {
  auto rig = Rig{1};
  rig.Opening(1);
  ForgetHints(rig.balancer, kStart + rig.balancer.policy.hint_idle + seconds{1});
  BOOST_TEST(rig.balancer.hints.empty());
}

}  // namespace
}  // namespace anvildrum::packets
