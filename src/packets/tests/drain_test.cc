#include "packets/drain.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <utility>

#include "agent_rig.h"
#include "packets/hello.h"

namespace anvildrum::packets::agent_tests {
namespace {

constexpr auto kNorth = DomainTag{1};
constexpr auto kSouth = DomainTag{3};
constexpr auto kAgentsInDomain = Address{4};

/// A balancer in kNorth with agents of desk there and in kSouth, each with a ready target.
struct Rig {
  Rig() {
    this->balancer.view.policy = this->balancer.policy.view;
    this->balancer.domain = kNorth;
    auto routes = Routes{};
    routes.version = 1;
    routes.shares[KeyOf(kRoute)] = {{kDesk, 1}};
    ApplyRoutes(this->balancer, routes, kStart);
    this->balancer.records_at = kStart;
    for (auto i = Address{0}; i < 2 * kAgentsInDomain; ++i) this->Report(i);
  }

  auto Report(Address index) -> void {
    TakeReport(this->balancer.view,
               {.agent = kOwn + index,
                .service = kDesk,
                .start = 1,
                .sequence = ++this->sequence,
                .state = TargetState::kReady,
                .slots = 4,
                .domain = index < kAgentsInDomain ? kNorth : kSouth},
               kStart);
  }

  auto Drain(std::uint64_t revision, std::vector<DomainTag> domains) -> bool {
    return TakeDrained(this->balancer.view, DrainedOf(revision, std::move(domains)));
  }

  auto Open(std::uint16_t port, std::uint32_t copy = 0) -> BalancerVerdict {
    auto packet = OpeningOf(port, copy);
    packet.stamp = {};
    return RoutePacket(this->balancer, packet, kStart);
  }

  /// Domains that openings of 100 flows are sent to.
  auto Used() -> std::set<DomainTag> {
    auto used = std::set<DomainTag>{};
    for (auto port = std::uint16_t{1}; port <= 100; ++port) {
      const auto verdict = this->Open(port);
      const auto* forward = std::get_if<ForwardToAgent>(&verdict);
      if (forward == nullptr) continue;
      used.insert(this->balancer.view.members.at(forward->agent).report.domain);
    }
    return used;
  }

  Balancer balancer;
  std::uint64_t sequence = 0;
};

/// The agent itself is in kNorth, its one peer in kSouth.
auto HelloWith(std::uint64_t revision, std::vector<DomainTag> domains) -> Hello {
  auto hello = HelloOf({kOwn, kOther});
  hello.peers[0].domain = kNorth;
  hello.peers[1].domain = kSouth;
  hello.digest = DigestOf(hello);
  hello.drained = DrainedOf(revision, std::move(domains));
  return hello;
}

auto AgentInNorth() -> Agent {
  auto agent = MakeAgent();
  agent.domain = kNorth;
  Greet(agent, kBalancer, HelloWith(0, {}), kStart);
  return agent;
}

// An operator drains the domain that the balancer itself is in. Its clients' flows open in another
// one; the openings that went on to targets there for 9 s would have run on machines that the
// operator is about to switch off.
BOOST_AUTO_TEST_CASE(openings_stop_going_to_a_drained_domain_and_come_back) {
  auto rig = Rig{};
  rig.Drain(10, {kNorth});
  BOOST_TEST((rig.Used() == std::set{kSouth}));
  rig.Drain(12, {});
  rig.balancer.hints.clear();
  BOOST_TEST(rig.Used().contains(kNorth));
}

// Two domains are drained at once, and all of the service's targets are there: an opening is
// refused at once, and the reason tells the operator why.
BOOST_AUTO_TEST_CASE(with_all_domains_drained_openings_are_refused_at_once) {
  auto rig = Rig{};
  rig.Drain(10, {kSouth, kNorth});
  const auto verdict = rig.Open(1);
  BOOST_REQUIRE(std::holds_alternative<RefuseOpening>(verdict));
  BOOST_TEST((std::get<RefuseOpening>(verdict).reason == DiscardReason::kDrained));
}

// All balancers were started again in an outage of the platform, and this one has heard of the
// drained domain's agents alone so far. A refusal would use up its clients' tries.
BOOST_AUTO_TEST_CASE(a_balancer_that_may_not_know_all_agents_yet_refuses_nothing) {
  auto rig = Rig{};
  rig.balancer.records_at = {};
  rig.Drain(10, {kSouth, kNorth});
  BOOST_TEST(std::holds_alternative<Discard>(rig.Open(1)));
  rig.balancer.records_at = kStart;
  BOOST_TEST(std::holds_alternative<RefuseOpening>(rig.Open(2)));
  rig.balancer.records_at = {};
  rig.balancer.stall.running_since = kStart - rig.balancer.policy.discovery_time - milliseconds{1};
  BOOST_TEST(std::holds_alternative<RefuseOpening>(rig.Open(3)));
}

// The first opening of a flow was sent to a target just before its domain was drained, and its copy
// comes after. Sent to the same agent, since it had been offered there, it would open the flow in
// the drained domain.
BOOST_AUTO_TEST_CASE(a_copy_does_not_follow_its_opening_into_a_drained_domain) {
  auto rig = Rig{};
  rig.Open(1);
  rig.Drain(10, {kSouth, kNorth});
  BOOST_TEST(std::holds_alternative<Discard>(rig.Open(1, 1)));
}

BOOST_AUTO_TEST_CASE(open_flows_stay_in_a_drained_domain) {
  auto rig = Rig{};
  const auto before = std::get<ForwardToAgent>(rig.Open(1)).agent;
  rig.Drain(10, {kNorth, kSouth});
  auto data = Data();
  data.source.port = 1;
  const auto verdict = RoutePacket(rig.balancer, data, kStart);
  BOOST_TEST(std::get<ForwardToAgent>(verdict).agent == before);
}

// Balancers and agents tell each other what they know, and some know it from before an outage. An
// older set that comes after a newer one would drain a domain that the operator has taken back.
BOOST_AUTO_TEST_CASE(an_older_set_never_comes_back_over_a_newer_one) {
  auto known = DrainedDomains{};
  BOOST_TEST(TakeDrained(known, DrainedOf(10, {kNorth})));
  BOOST_TEST(TakeDrained(known, DrainedOf(20, {})));
  BOOST_TEST(!TakeDrained(known, DrainedOf(10, {kNorth})));
  BOOST_TEST(!TakeDrained(known, DrainedOf(20, {kNorth})));
  BOOST_TEST(!TakeDrained(known, DrainedOf(30, {})));
  BOOST_TEST(known.revision == 30U);
  BOOST_TEST(!TakeDrained(known, DrainedOf(25, {kNorth})));
  BOOST_TEST(!TakeDrained(known, {}));
}

// Agents are told at once, as of any change: one that knows it passes openings on whatever balancer
// sends them.
BOOST_AUTO_TEST_CASE(a_drain_makes_hellos_due_and_stands_in_them) {
  auto rig = Rig{};
  const auto before = rig.balancer.view.changes;
  rig.Drain(10, {kNorth});
  BOOST_TEST(rig.balancer.view.changes == before + 1);
  rig.Drain(11, {kNorth});
  BOOST_TEST(rig.balancer.view.changes == before + 1);
  const auto hellos = MakeHellos(rig.balancer, kStart);
  BOOST_TEST((hellos.at(kDesk).brief.drained == DrainedOf(11, {kNorth})));
}

// A balancer that was started again does not know of the drain yet and offers an opening to an
// agent there. The agent knows, and passes it on to a domain that is not drained.
BOOST_AUTO_TEST_CASE(an_agent_of_a_drained_domain_passes_openings_on) {
  auto agent = AgentInNorth();
  TakeHello(agent, kBalancer, HelloWith(10, {kNorth}), kStart);
  const auto verdict = FromPeer(agent, Opening(), kStart);
  BOOST_REQUIRE(std::holds_alternative<ForwardToAgent>(verdict));
  BOOST_TEST(std::get<ForwardToAgent>(verdict).agent == kOther);
  TakeHello(agent, kBalancer, HelloWith(11, {}), kStart);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Opening(), kStart)));
}

// Where the agents left are drained too, passing the opening round them would only make its client
// wait for the refusal.
BOOST_AUTO_TEST_CASE(an_agent_passes_nothing_on_to_drained_domains) {
  auto agent = AgentInNorth();
  TakeHello(agent, kBalancer, HelloWith(10, {kNorth, kSouth}), kStart);
  RefreshPeers(agent, kStart);
  BOOST_TEST(std::holds_alternative<Discard>(FromPeer(agent, Opening(), kStart)));  // too early
  const auto settled = kStart + agent.policy.settle_for;
  for (auto now = kStart; now < settled; now += kStallCheck) NoteEvent(agent.stall, now);
  BOOST_TEST(std::holds_alternative<RefuseOpening>(FromPeer(agent, Opening(), settled)));
}

BOOST_AUTO_TEST_CASE(an_agent_of_a_drained_domain_delivers_packets_of_open_flows) {
  auto agent = AgentInNorth();
  FromPeer(agent, Opening(), kStart);
  FromTarget(agent, OpeningAnswer(5000), kStart);
  TakeHello(agent, kBalancer, HelloWith(10, {kNorth}), kStart);
  auto data = Data();
  data.acknowledged = 5001;
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, data, kStart)));
}

// All balancers are started again while the platform is silent. Each learns from the reports of
// agents what is drained, and needs no platform for it.
BOOST_AUTO_TEST_CASE(a_balancer_that_knows_nothing_is_told_by_agents) {
  auto agent = AgentInNorth();
  TakeHello(agent, kBalancer, HelloWith(10, {kNorth}), kStart);
  constexpr auto other = kBalancer + 1;
  TakeHello(agent, other, HelloWith(0, {}), kStart);
  BOOST_TEST((MakeReport(agent, other, kStart).drained == DrainedOf(10, {kNorth})));
  // One that knows the same, or newer, costs no bytes.
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).drained.revision == 0U);
  TakeHello(agent, other, HelloWith(9, {kNorth}), kStart);
  BOOST_TEST(MakeReport(agent, other, kStart).drained.revision == 0U);
}

// A hello for agents of another service is not taken, but what the operator wants holds for all.
BOOST_AUTO_TEST_CASE(an_agent_learns_of_a_drain_by_a_hello_for_another_service) {
  auto agent = AgentInNorth();
  auto hello = HelloWith(10, {kNorth});
  hello.service = kMapper;
  TakeHello(agent, kBalancer, hello, kStart);
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), kStart)));
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
