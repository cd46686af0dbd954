#include "balancer/monitor.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <string>

namespace anvildrum::balancer {
namespace {

constexpr auto kStart = base::TimePoint{} + base::hours(1);
constexpr auto kTick = base::milliseconds(50);

auto BalancerNamed(const std::string& name, std::uint16_t port) -> membership::BalancerRecord {
  auto record = membership::BalancerRecord{};
  record.name = name;
  record.instance = base::InstanceIdOf(name);
  record.incarnation = 1;
  record.tunnel = base::EndpointFromV4(1, port);
  record.failure_domain = "boston-1";
  record.revision = port;
  return record;
}

auto MonitorOf(const std::string& name) -> Monitor {
  auto monitor = Monitor{};
  monitor.self = base::InstanceIdOf(name);
  monitor.incarnation = 1;
  return monitor;
}

auto ViewOf(int balancers) -> membership::View {
  auto view = membership::View{};
  for (auto i = 1; i <= balancers; ++i) {
    auto number = static_cast<std::uint16_t>(i);
    membership::ApplyBalancer(view, BalancerNamed("b" + std::to_string(i), number));
  }
  return view;
}

// A balancer stopped while the platform was away and could not take its announcement back. Unless
// another one says so, its record stays for ever, and relay and agents keep trying it.
BOOST_AUTO_TEST_CASE(a_balancer_that_stays_silent_is_reported) {
  auto monitor = MonitorOf("b1");
  auto view = ViewOf(2);
  Step(monitor, MonitorView{&view}, kStart);
  auto reported = std::vector<BalancerSuspicion>{};
  for (auto now = kStart; now < kStart + base::seconds(10); now += kTick) {
    for (auto& change : Step(monitor, MonitorTimer{}, now).balancer_changes) {
      reported.push_back(std::move(change));
    }
  }
  BOOST_REQUIRE(reported.size() == 1);
  BOOST_TEST(reported[0].suspect);
  BOOST_TEST(reported[0].record.name == "b2");
  BOOST_TEST(reported[0].record.revision == 2u);
}

// With a hundred balancers, each is probed by three of its failure domain, not by all.
BOOST_AUTO_TEST_CASE(each_balancer_has_as_many_monitors_as_the_policy_says) {
  constexpr auto balancers = 100;
  auto view = ViewOf(balancers);
  auto observed = std::size_t{0};
  for (auto i = 1; i <= balancers; ++i) {
    auto monitor = MonitorOf("b" + std::to_string(i));
    Step(monitor, MonitorView{&view}, kStart);
    observed += monitor.suspicion.peers.size();
  }
  BOOST_TEST(observed == balancers * MonitorPolicy{}.monitors);
}

// Monitors of a target by failure domain. The view has so many balancers in each domain.
using Sizes = std::map<std::string, int>;

auto ViewOf(const Sizes& sizes) -> membership::View {
  auto view = membership::View{};
  auto port = std::uint16_t{1};
  for (const auto& [domain, size] : sizes) {
    for (auto i = 0; i < size; ++i) {
      auto record = BalancerNamed(domain + "-b" + std::to_string(i), port++);
      record.failure_domain = domain;
      membership::ApplyBalancer(view, record);
    }
  }
  return view;
}

auto AddTargets(membership::View& view, const std::string& domain, int count) -> void {
  for (auto i = 0; i < count; ++i) {
    auto record = membership::TargetRecord{};
    record.name = domain + "-t" + std::to_string(i);
    record.id = base::TargetIdOf(record.name);
    record.service_name = "desk";
    record.service = base::ServiceIdOf("desk");
    record.instance = base::InstanceIdOf("agent-" + record.name);
    record.incarnation = 1;
    record.failure_domain = domain;
    record.revision = 1;
    membership::ApplyRecord(view, record, kStart);
  }
}

auto MonitorsByDomain(const membership::View& view, const std::string& target) -> Sizes {
  auto monitors = Sizes{};
  auto observed = base::InstanceIdOf("agent-" + target);
  for (const auto& balancer : view.balancers) {
    auto monitor = MonitorOf(balancer.name);
    Step(monitor, MonitorView{&view}, kStart);
    auto peer = membership::FindPeer(monitor.suspicion, observed);
    if (peer != nullptr) ++monitors[balancer.failure_domain];
  }
  return monitors;
}

// A failure domain is lost with all its balancers. Unless a quorum of three watches from outside,
// nobody suspects its targets, their records stay, and each client runs into its timeout.
BOOST_AUTO_TEST_CASE(a_lost_domain_leaves_a_quorum_of_monitors) {
  auto view = ViewOf(Sizes{{"boston-1", 20}, {"boston-2", 20}, {"boston-3", 20}});
  AddTargets(view, "boston-2", 20);
  for (auto i = 0; i < 20; ++i) {
    auto monitors = MonitorsByDomain(view, "boston-2-t" + std::to_string(i));
    BOOST_TEST(monitors["boston-2"] == 2);
    BOOST_TEST(monitors["boston-3"] == 3);
  }
}

// A region is cut off from the others. Were the targets of its last domain watched from another
// region, a quorum there would have the records of live targets deleted.
BOOST_AUTO_TEST_CASE(monitors_outside_the_domain_are_near) {
  auto view = ViewOf(Sizes{{"boston-1", 25}, {"boston-2", 25}, {"chicago-1", 25}});
  AddTargets(view, "boston-2", 5);
  for (auto i = 0; i < 5; ++i) {
    auto monitors = MonitorsByDomain(view, "boston-2-t" + std::to_string(i));
    BOOST_TEST(monitors["boston-1"] == 3);
    BOOST_TEST(monitors["chicago-1"] == 0);
  }
}

// A domain has a single balancer: the others make up for it, also from several domains.
BOOST_AUTO_TEST_CASE(small_domains_make_up_for_each_other) {
  auto view = ViewOf(Sizes{{"a", 1}, {"b", 2}, {"c", 70}});
  AddTargets(view, "a", 1);
  auto monitors = MonitorsByDomain(view, "a-t0");
  BOOST_TEST(monitors["a"] == 1);
  BOOST_TEST(monitors["b"] + monitors["c"] == 4);
}

// The way from an agent to a balancer is cut, the other direction is not. The agent takes probes as
// the sign that its replies may leave by the balancer, and they would vanish; so a probe says that
// the last one got no answer.
BOOST_AUTO_TEST_CASE(a_probe_tells_that_the_last_one_went_unanswered) {
  auto monitor = MonitorOf("b1");
  auto view = ViewOf(2);
  Step(monitor, MonitorView{&view}, kStart);
  auto probes = std::vector<bool>{};
  for (auto now = kStart; now < kStart + base::seconds(3); now += kTick) {
    for (const auto& send : Step(monitor, MonitorTimer{}, now).sends) {
      probes.push_back(send.header.probe().unheard());
    }
  }
  BOOST_REQUIRE(probes.size() >= 2);
  BOOST_TEST(!probes[0]);
  BOOST_TEST(probes[1]);
}

}  // namespace
}  // namespace anvildrum::balancer
