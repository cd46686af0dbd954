#include "balancer/monitor.h"

#include <boost/test/unit_test.hpp>

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
  monitor.failure_domain = "boston-1";
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
