#include "packets/cold.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

#include "agent_rig.h"
#include "packets/hello.h"

namespace anvildrum::packets::agent_tests {
namespace {

constexpr auto kRush = milliseconds{3};  // about 300 openings a second
constexpr auto kColdMs = std::uint32_t{2000};

/// What the users bear in any second: one and a half times the rate, and five.
auto MostIn(std::uint32_t per_second) -> std::size_t { return per_second * 3 / 2 + 5; }

auto ColdBeat(std::uint64_t sequence) -> Heartbeat {
  auto beat = Beat(1, sequence);
  beat.cold_ms = kColdMs;
  beat.slots = 200;
  return beat;
}

auto HelloWithRate(std::uint32_t per_second) -> Hello {
  auto hello = HelloOf({kOwn, kOther});
  hello.revision = 1;
  hello.cold_per_second = per_second;
  return hello;
}

auto ColdAgent(std::optional<std::uint32_t> per_second) -> Agent {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  TakeHeartbeat(agent, ColdBeat(1), kStart);
  Greet(agent, kBalancer, per_second ? HelloWithRate(*per_second) : HelloOf({kOwn, kOther}),
        kStart);
  return agent;
}

/// Counts openings that reach the target, and the most in any second so far.
struct Counted {
  auto Add(base::TimePoint now) -> void {
    this->times.push_back(now);
    while (now - this->times.front() >= seconds{1}) this->times.pop_front();
    this->most = std::max(this->most, this->times.size());
  }
  std::deque<base::TimePoint> times;
  std::size_t most = 0;
};

auto Offer(Agent& agent, std::uint16_t port, base::TimePoint now) -> bool {
  return std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(port, 0), now));
}

// A domain is taken back with all targets cold. 300 openings a second come to one of them from all
// balancers, and its agent is started again in the middle: it has forgotten what it gave. In no
// second the target gets more than it bears.
BOOST_AUTO_TEST_CASE(a_cold_target_is_given_what_it_bears_whoever_sends_it) {
  for (const auto rate : {5U, 20U, 80U}) {
    auto agent = ColdAgent(rate);
    auto counted = Counted{};
    auto port = std::uint16_t{0};
    const auto restart_at = kStart + milliseconds{700};
    auto restarted = false;
    for (auto now = kStart; now < kStart + milliseconds{kColdMs}; now += kRush) {
      if (!restarted && now >= restart_at) {
        restarted = true;
        agent = ColdAgent(rate);
        agent.target.heard = now;
      }
      if (Offer(agent, ++port, now)) counted.Add(now);
    }
    BOOST_TEST(counted.most <= MostIn(rate), rate << ": " << counted.most);
    BOOST_TEST(counted.most >= rate, rate << ": " << counted.most);
    BOOST_TEST(agent.counters.over_cold > 0U);
  }
}

// An agent that has just started has not been told how much its target bears while it is cold.
BOOST_AUTO_TEST_CASE(a_cold_target_is_given_little_before_a_balancer_tells_its_rate) {
  auto agent = ColdAgent(std::nullopt);
  auto taken = 0U;
  for (auto port = std::uint16_t{1}; port <= 20; ++port) {
    if (Offer(agent, port, kStart)) ++taken;
  }
  BOOST_TEST(taken <= 5U);
  BOOST_TEST(taken >= 1U);
}

BOOST_AUTO_TEST_CASE(a_warm_target_and_one_without_a_rate_are_limited_by_their_slots_alone) {
  auto warm = ColdAgent(5);
  auto unlimited = ColdAgent(0);
  const auto later = kStart + milliseconds{kColdMs};
  auto beat = ColdBeat(2);
  beat.cold_ms = 0;
  TakeHeartbeat(warm, beat, later);
  for (auto port = std::uint16_t{1}; port <= 100; ++port) {
    BOOST_TEST(Offer(warm, port, later));
    BOOST_TEST(Offer(unlimited, port, kStart));
  }
}

// A target's heartbeat said that it is warm, then its domain was drained, became cold, and is taken
// back before the next heartbeat tells so.
BOOST_AUTO_TEST_CASE(a_target_of_a_domain_that_is_taken_back_counts_as_cold_until_it_speaks) {
  auto agent = ColdAgent(5);
  agent.domain = 1;
  auto beat = ColdBeat(2);
  beat.cold_ms = 0;
  TakeHeartbeat(agent, beat, kStart);
  auto hello = HelloWithRate(5);
  hello.drained = DrainedOf(10, {1});
  TakeHello(agent, kBalancer, hello, kStart);
  hello.drained = DrainedOf(11, {});
  TakeHello(agent, kBalancer, hello, kStart);
  auto taken = 0U;
  for (auto port = std::uint16_t{1}; port <= 20; ++port) {
    if (Offer(agent, port, kStart)) ++taken;
  }
  BOOST_TEST(taken <= 5U);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).cold);
  ++beat.sequence;
  TakeHeartbeat(agent, beat, kStart);
  BOOST_TEST(!MakeReport(agent, kBalancer, kStart).cold);
  BOOST_TEST(Offer(agent, 21, kStart));
}

// A balancer without a configuration says nothing of rates; the one that was told before holds.
BOOST_AUTO_TEST_CASE(a_balancer_that_knows_no_configuration_lifts_no_limit) {
  auto agent = ColdAgent(5);
  auto hello = HelloWithRate(0);
  hello.revision = 0;
  TakeHello(agent, kBalancer, hello, kStart);
  BOOST_TEST(agent.cold_per_second.value_or(0) == 5U);
}

BOOST_AUTO_TEST_CASE(hellos_tell_the_rate_of_their_service) {
  auto balancer = Balancer{};
  auto routes = Routes{};
  routes.version = 1;
  routes.cold_per_second[kDesk] = 20;
  ApplyRoutes(balancer, routes, kStart);
  AddRecord(balancer.view, kOwn, kDesk, kStart);
  AddRecord(balancer.view, kOther, kMapper, kStart);
  const auto hellos = MakeHellos(balancer, kStart);
  BOOST_TEST(hellos.at(kDesk).brief.cold_per_second == 20U);
  BOOST_TEST(hellos.at(kMapper).brief.cold_per_second == 0U);
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
