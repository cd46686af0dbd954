#include "packets/drain.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <set>
#include <utility>

#include "agent_test_utils.h"
#include "packets/hello.h"

namespace anvildrum::packets::agent_tests {
namespace {

constexpr auto kNorth = DomainTag{1};
constexpr auto kSouth = DomainTag{3};
constexpr auto kAgentsInDomain = Address{4};

/// A balancer in kNorth that knows agents of service kDesk in kNorth and kSouth, each with a ready
/// target.
struct DrainFixture {
  DrainFixture() {
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

  /// Returns the failure domains to which the openings of 100 flows are sent.
  auto DomainsUsed() -> std::set<DomainTag> {
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

/// Returns a hello that lists the agent itself in kNorth and one peer in kSouth.
auto HelloWithDrained(std::uint64_t revision, std::vector<DomainTag> domains) -> Hello {
  auto hello = MakeHello({kOwn, kOther});
  hello.peers[0].domain = kNorth;
  hello.peers[1].domain = kSouth;
  hello.digest = DigestOf(hello);
  hello.drained = DrainedOf(revision, std::move(domains));
  return hello;
}

auto AgentInNorth() -> Agent {
  auto agent = MakeAgent();
  agent.domain = kNorth;
  DeliverHello(agent, kBalancer, HelloWithDrained(0, {}), kStart);
  return agent;
}

// An operator drains the failure domain of the balancer itself, and new flows must open in another
// one. Without this, openings went to targets in the drained domain for another 9 s and their
// requests ran on instances that the operator was about to switch off.
BOOST_AUTO_TEST_CASE(openings_stop_going_to_a_drained_domain_and_come_back) {
  auto fixture = DrainFixture{};
  fixture.Drain(10, {kNorth});
  BOOST_TEST((fixture.DomainsUsed() == std::set{kSouth}));
  fixture.Drain(12, {});
  fixture.balancer.hints.clear();
  BOOST_TEST(fixture.DomainsUsed().contains(kNorth));
}

// Two failure domains that hold all targets of the service are drained at once. An opening is
// refused immediately, with a reason that tells the operator why.
BOOST_AUTO_TEST_CASE(with_all_domains_drained_openings_are_refused_at_once) {
  auto fixture = DrainFixture{};
  fixture.Drain(10, {kSouth, kNorth});
  const auto verdict = fixture.Open(1);
  BOOST_REQUIRE(std::holds_alternative<RefuseOpening>(verdict));
  BOOST_TEST((std::get<RefuseOpening>(verdict).reason == DiscardReason::kDrained));
}

// All balancers restarted during an outage of the platform, and this one has heard only of the
// agents in the drained domain so far. A refusal would use up its clients' retries.
BOOST_AUTO_TEST_CASE(a_balancer_that_may_not_know_all_agents_yet_refuses_nothing) {
  auto fixture = DrainFixture{};
  fixture.balancer.records_at = {};
  fixture.Drain(10, {kSouth, kNorth});
  BOOST_TEST(std::holds_alternative<Discard>(fixture.Open(1)));
  fixture.balancer.records_at = kStart;
  BOOST_TEST(std::holds_alternative<RefuseOpening>(fixture.Open(2)));
  fixture.balancer.records_at = {};
  fixture.balancer.stall.running_since =
      kStart - fixture.balancer.policy.discovery_time - milliseconds{1};
  BOOST_TEST(std::holds_alternative<RefuseOpening>(fixture.Open(3)));
}

// The first opening of a flow was sent to a target just before its domain was drained, and the
// retransmitted copy arrives afterwards. If the copy followed the first opening to the same agent,
// the flow would open in the drained domain.
BOOST_AUTO_TEST_CASE(a_copy_does_not_follow_its_opening_into_a_drained_domain) {
  auto fixture = DrainFixture{};
  fixture.Open(1);
  fixture.Drain(10, {kSouth, kNorth});
  BOOST_TEST(std::holds_alternative<Discard>(fixture.Open(1, 1)));
}

BOOST_AUTO_TEST_CASE(open_flows_stay_in_a_drained_domain) {
  auto fixture = DrainFixture{};
  const auto before = std::get<ForwardToAgent>(fixture.Open(1)).agent;
  fixture.Drain(10, {kNorth, kSouth});
  auto data = Data();
  data.source.port = 1;
  const auto verdict = RoutePacket(fixture.balancer, data, kStart);
  BOOST_TEST(std::get<ForwardToAgent>(verdict).agent == before);
}

// Balancers and agents exchange their sets of drained domains, and some hold a set from before an
// outage. If an older set replaced a newer one, it would drain a domain that the operator has
// returned to service.
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

// Guards against openings in a drained domain at an agent that has not been told of the drain: it
// takes none before a balancer that knows has sent it a hello.
BOOST_AUTO_TEST_CASE(an_agent_takes_no_opening_before_it_is_told_what_is_drained) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  agent.domain = kNorth;
  DeliverHeartbeat(agent, MakeHeartbeat(1, 5), kStart);
  const auto is_taken = [&](std::uint16_t port) {
    return std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(port, 0), kStart));
  };
  BOOST_TEST(!is_taken(1));
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kStarting));

  auto hello = MakeHello({kOwn});
  hello.drains_unknown = true;
  DeliverHello(agent, kBalancer, hello, kStart);
  BOOST_TEST(!is_taken(2));
  auto in_drained_domain = agent;
  hello.drains_unknown = false;
  DeliverHello(agent, kBalancer, hello, kStart);
  BOOST_TEST(is_taken(3));

  hello.drained = DrainedOf(10, {kNorth});
  DeliverHello(in_drained_domain, kBalancer, hello, kStart);
  BOOST_TEST(std::holds_alternative<Discard>(FromPeer(in_drained_domain, Opening(), kStart)));
}

// Guards against a balancer that passes "not read yet" on as "nothing is drained", and against
// agents that take no openings for as long as the platform is away.
BOOST_AUTO_TEST_CASE(a_balancer_says_that_it_does_not_know_what_is_drained) {
  const auto says_unknown = [](const Balancer& balancer) {
    return MakeHellos(balancer, kStart).at(kDesk).brief.drains_unknown;
  };
  auto fixture = DrainFixture{};
  auto& balancer = fixture.balancer;
  NoteEvent(balancer.stall, kStart);
  balancer.drains_unknown = true;
  BOOST_TEST((ReviewDrains(balancer, true, kStart) == DrainsStatus::kUnchanged));
  BOOST_TEST(says_unknown(balancer));

  auto without_platform = balancer;
  BOOST_TEST((ReviewDrains(without_platform, false, kStart) == DrainsStatus::kGivenUp));
  BOOST_TEST(!says_unknown(without_platform));
  auto without_answer = balancer;
  const auto later = kStart + balancer.policy.drains_timeout + milliseconds{1};
  BOOST_TEST((ReviewDrains(without_answer, true, later) == DrainsStatus::kGivenUp));

  const auto changes = balancer.view.changes;
  fixture.Drain(10, {});
  BOOST_TEST((ReviewDrains(balancer, true, kStart) == DrainsStatus::kLearned));
  BOOST_TEST(!says_unknown(balancer));
  BOOST_TEST(balancer.view.changes > changes);  // agents are sent hellos at once
}

// Agents are told of a drain at once, as of any other change. An agent that knows of it passes
// openings on, whichever balancer sends them.
BOOST_AUTO_TEST_CASE(a_drain_makes_hellos_due_and_is_included_in_them) {
  auto fixture = DrainFixture{};
  const auto before = fixture.balancer.view.changes;
  fixture.Drain(10, {kNorth});
  BOOST_TEST(fixture.balancer.view.changes == before + 1);
  fixture.Drain(11, {kNorth});
  BOOST_TEST(fixture.balancer.view.changes == before + 1);
  const auto hellos = MakeHellos(fixture.balancer, kStart);
  BOOST_TEST((hellos.at(kDesk).brief.drained == DrainedOf(11, {kNorth})));
}

// A restarted balancer does not know of the drain yet and sends an opening to an agent in the
// drained domain. The agent knows of the drain and passes the opening on to a domain that is not
// drained.
BOOST_AUTO_TEST_CASE(an_agent_of_a_drained_domain_passes_openings_on) {
  auto agent = AgentInNorth();
  TakeHello(agent, kBalancer, HelloWithDrained(10, {kNorth}), kStart);
  const auto verdict = FromPeer(agent, Opening(), kStart);
  BOOST_REQUIRE(std::holds_alternative<ForwardToAgent>(verdict));
  BOOST_TEST(std::get<ForwardToAgent>(verdict).agent == kOther);
  TakeHello(agent, kBalancer, HelloWithDrained(11, {}), kStart);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Opening(), kStart)));
}

// When the remaining agents are in drained domains too, passing the opening from one to the next
// would only delay the refusal.
BOOST_AUTO_TEST_CASE(an_agent_passes_nothing_on_to_drained_domains) {
  auto agent = AgentInNorth();
  TakeHello(agent, kBalancer, HelloWithDrained(10, {kNorth, kSouth}), kStart);
  RefreshPeers(agent, kStart);
  BOOST_TEST(std::holds_alternative<Discard>(
      FromPeer(agent, Opening(), kStart)));  // peers not settled yet
  const auto settled = kStart + agent.policy.settling_time;
  for (auto now = kStart; now < settled; now += kStallCheck) NoteEvent(agent.stall, now);
  BOOST_TEST(std::holds_alternative<RefuseOpening>(FromPeer(agent, Opening(), settled)));
}

BOOST_AUTO_TEST_CASE(an_agent_of_a_drained_domain_delivers_packets_of_open_flows) {
  auto agent = AgentInNorth();
  FromPeer(agent, Opening(), kStart);
  FromTarget(agent, OpeningAnswer(5000), kStart);
  TakeHello(agent, kBalancer, HelloWithDrained(10, {kNorth}), kStart);
  auto data = Data();
  data.acknowledged = 5001;
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, data, kStart)));
}

// All balancers restart while the platform does not respond. Each learns the drained domains from
// the agents' reports and does not need the platform for this.
BOOST_AUTO_TEST_CASE(a_balancer_that_knows_nothing_is_told_by_agents) {
  auto agent = AgentInNorth();
  TakeHello(agent, kBalancer, HelloWithDrained(10, {kNorth}), kStart);
  constexpr auto other = kBalancer + 1;
  TakeHello(agent, other, HelloWithDrained(0, {}), kStart);
  BOOST_TEST((MakeReport(agent, other, kStart).drained == DrainedOf(10, {kNorth})));
  // The set is left out of reports to a balancer that holds the same or a newer one.
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).drained.revision == 0U);
  TakeHello(agent, other, HelloWithDrained(9, {kNorth}), kStart);
  BOOST_TEST(MakeReport(agent, other, kStart).drained.revision == 0U);
}

// A hello for agents of another service is rejected, but the set of drained domains in it applies
// to agents of every service.
BOOST_AUTO_TEST_CASE(an_agent_learns_of_a_drain_by_a_hello_for_another_service) {
  auto agent = AgentInNorth();
  auto hello = HelloWithDrained(10, {kNorth});
  hello.service = kMapper;
  TakeHello(agent, kBalancer, hello, kStart);
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), kStart)));
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
