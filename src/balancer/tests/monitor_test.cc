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

// A balancer stopped while the platform was down and could not remove its record. Unless another
// balancer reports it, its record stays forever, and the relay and agents continue to contact it.
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

// Runs the monitor until a silent peer is suspect.
auto RunSilent(Monitor& monitor, base::TimePoint from) -> base::TimePoint {
  auto end = from + base::seconds(10);
  for (auto now = from; now < end; now += kTick) Step(monitor, MonitorTimer{}, now);
  return end;
}

// A suspect agent writes its record again and dies in the same second. A delete names the revision
// that was suspected, so without a second report the record would stay forever.
BOOST_AUTO_TEST_CASE(a_suspect_whose_record_changes_is_reported_again) {
  auto monitor = MonitorOf("b1");
  auto view = ViewOf(2);
  Step(monitor, MonitorView{&view}, kStart);
  auto now = RunSilent(monitor, kStart);
  BOOST_TEST(Step(monitor, MonitorView{&view}, now).balancer_changes.empty());
  auto anew = BalancerNamed("b2", 2);
  anew.revision = 77;
  membership::ApplyBalancer(view, anew);
  auto effects = Step(monitor, MonitorView{&view}, now);
  BOOST_REQUIRE(effects.balancer_changes.size() == 1);
  BOOST_TEST(effects.balancer_changes[0].suspect);
  BOOST_TEST(effects.balancer_changes[0].record.revision == 77u);
  BOOST_TEST(Step(monitor, MonitorView{&view}, now).balancer_changes.empty());
}

// The instance restarts after that and dies again. It is a new peer, and has to be reported again.
BOOST_AUTO_TEST_CASE(an_instance_that_dies_twice_is_reported_twice) {
  auto monitor = MonitorOf("b1");
  auto view = ViewOf(2);
  Step(monitor, MonitorView{&view}, kStart);
  auto now = RunSilent(monitor, kStart);
  auto anew = BalancerNamed("b2", 2);
  anew.incarnation = 2;
  anew.revision = 77;
  membership::ApplyBalancer(view, anew);
  BOOST_TEST(Step(monitor, MonitorView{&view}, now).balancer_changes.empty());
  auto reported = std::vector<std::uint64_t>{};
  for (auto end = now + base::seconds(10); now < end; now += kTick) {
    for (const auto& change : Step(monitor, MonitorTimer{}, now).balancer_changes) {
      reported.push_back(change.record.revision);
    }
  }
  BOOST_TEST(reported == std::vector<std::uint64_t>{77}, boost::test_tools::per_element());
}

// A target dies and restarts while the platform is down: its record stays, but the process is a new
// one. If the suspicion stayed, the record of a live target would be deleted as soon as the
// platform is available.
BOOST_AUTO_TEST_CASE(a_new_process_under_the_same_record_is_not_suspect) {
  auto monitor = MonitorOf("b1");
  auto view = ViewOf(2);
  Step(monitor, MonitorView{&view}, kStart);
  auto now = RunSilent(monitor, kStart);
  auto anew = BalancerNamed("b2", 2);
  anew.incarnation = 2;
  membership::ApplyBalancer(view, anew);
  auto effects = Step(monitor, MonitorView{&view}, now);
  BOOST_REQUIRE(effects.balancer_changes.size() == 1);
  BOOST_TEST(!effects.balancer_changes[0].suspect);
}

// A balancer joins and becomes the monitor of a suspect. The former monitor no longer hears from
// the suspect, and would suspect it forever: it would send no new flow there, and its report would
// still count.
BOOST_AUTO_TEST_CASE(a_suspect_with_other_monitors_is_no_longer_suspect) {
  auto monitor = MonitorOf("b1");
  monitor.policy.probe_all_limit = 2;
  monitor.policy.monitors = 1;
  auto view = ViewOf(2);
  Step(monitor, MonitorView{&view}, kStart);
  auto now = RunSilent(monitor, kStart);
  BOOST_REQUIRE(monitor.suspicion.peers.size() == 1);
  auto released = std::vector<BalancerSuspicion>{};
  for (auto i = 3; i <= 100 && released.empty(); ++i) {
    auto number = static_cast<std::uint16_t>(i);
    membership::ApplyBalancer(view, BalancerNamed("b" + std::to_string(i), number));
    released = Step(monitor, MonitorView{&view}, now).balancer_changes;
  }
  BOOST_REQUIRE(released.size() == 1);
  BOOST_TEST(!released[0].suspect);
  BOOST_TEST(released[0].record.name == "b2");
}

// With a hundred balancers, each one must be probed by three of its failure domain, not by all.
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

// Number of balancers or monitors by failure domain.
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

// A failure domain is lost with all its balancers. Unless a quorum of three monitors is outside,
// nobody suspects its targets, their records stay, and each client waits for its timeout.
BOOST_AUTO_TEST_CASE(a_lost_domain_leaves_a_quorum_of_monitors) {
  auto view = ViewOf(Sizes{{"boston-1", 20}, {"boston-2", 20}, {"boston-3", 20}});
  AddTargets(view, "boston-2", 20);
  for (auto i = 0; i < 20; ++i) {
    auto monitors = MonitorsByDomain(view, "boston-2-t" + std::to_string(i));
    BOOST_TEST(monitors["boston-2"] == 2);
    BOOST_TEST(monitors["boston-3"] == 3);
  }
}

// A region is disconnected from the others. If the targets of its last domain were monitored from
// another region, a quorum there would have the records of live targets deleted.
BOOST_AUTO_TEST_CASE(monitors_outside_the_domain_are_near) {
  auto view = ViewOf(Sizes{{"boston-1", 25}, {"boston-2", 25}, {"chicago-1", 25}});
  AddTargets(view, "boston-2", 5);
  for (auto i = 0; i < 5; ++i) {
    auto monitors = MonitorsByDomain(view, "boston-2-t" + std::to_string(i));
    BOOST_TEST(monitors["boston-1"] == 3);
    BOOST_TEST(monitors["chicago-1"] == 0);
  }
}

// A domain has a single balancer. The other domains have to provide the missing monitors, also
// several of them.
BOOST_AUTO_TEST_CASE(small_domains_provide_monitors_for_each_other) {
  auto view = ViewOf(Sizes{{"a", 1}, {"b", 2}, {"c", 70}});
  AddTargets(view, "a", 1);
  auto monitors = MonitorsByDomain(view, "a-t0");
  BOOST_TEST(monitors["a"] == 1);
  BOOST_TEST(monitors["b"] + monitors["c"] == 4);
}

// Datagrams from an agent to a balancer are lost, but not in the other direction. The agent would
// consider the balancer's probes a proof that it can carry replies, and the replies would be lost.
// A probe therefore says whether the last one was answered.
BOOST_AUTO_TEST_CASE(a_probe_says_whether_the_last_one_was_answered) {
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
