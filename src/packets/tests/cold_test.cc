#include "packets/cold.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>

#include "agent_test_utils.h"
#include "packets/hello.h"

namespace anvildrum::packets::agent_tests {
namespace {

constexpr auto kOpeningInterval = milliseconds{3};  // about 300 openings a second
constexpr auto kColdMs = std::uint32_t{2000};

/// The highest number of openings that a cold target may get in any second: one and a half times
/// the rate, plus five.
auto MaxOpeningsInSecond(std::uint32_t per_second) -> std::size_t { return per_second * 3 / 2 + 5; }

auto ColdHeartbeat(std::uint64_t sequence) -> Heartbeat {
  auto heartbeat = MakeHeartbeat(1, sequence);
  heartbeat.cold_ms = kColdMs;
  heartbeat.slots = 200;
  return heartbeat;
}

auto HelloWithRate(std::uint32_t per_second) -> Hello {
  auto hello = MakeHello({kOwn, kOther});
  hello.revision = 1;
  hello.cold_per_second = per_second;
  return hello;
}

auto ColdAgent(std::optional<std::uint32_t> per_second) -> Agent {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  DeliverHeartbeat(agent, ColdHeartbeat(1), kStart);
  DeliverHello(agent, kBalancer,
               per_second ? HelloWithRate(*per_second) : MakeHello({kOwn, kOther}), kStart);
  return agent;
}

/// Counts the openings that reach the target and records the highest count in any one second.
struct OpeningCounter {
  auto Add(base::TimePoint now) -> void {
    this->times.push_back(now);
    while (now - this->times.front() >= seconds{1}) this->times.pop_front();
    this->max_in_second = std::max(this->max_in_second, this->times.size());
  }
  std::deque<base::TimePoint> times;
  std::size_t max_in_second = 0;
};

auto Offer(Agent& agent, std::uint16_t port, base::TimePoint now) -> bool {
  return std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(port, 0), now));
}

// A failure domain returns to service with all targets cold. All balancers together send 300
// openings per second to one of them, and its agent restarts meanwhile and loses its count of
// delivered openings. The target must not get more than its limit in any second.
BOOST_AUTO_TEST_CASE(a_cold_target_gets_no_more_than_its_limit_from_all_balancers) {
  for (const auto rate : {5U, 20U, 80U}) {
    auto agent = ColdAgent(rate);
    auto counter = OpeningCounter{};
    auto port = std::uint16_t{0};
    const auto restart_at = kStart + milliseconds{700};
    auto restarted = false;
    for (auto now = kStart; now < kStart + milliseconds{kColdMs}; now += kOpeningInterval) {
      if (!restarted && now >= restart_at) {
        restarted = true;
        agent = ColdAgent(rate);
        agent.target.heard = now;
      }
      if (Offer(agent, ++port, now)) counter.Add(now);
    }
    BOOST_TEST(counter.max_in_second <= MaxOpeningsInSecond(rate),
               rate << ": " << counter.max_in_second);
    BOOST_TEST(counter.max_in_second >= rate, rate << ": " << counter.max_in_second);
    BOOST_TEST(agent.counters.over_cold > 0U);
  }
}

// An agent that has just started does not know yet how many openings per second its cold target
// can handle.
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
  auto heartbeat = ColdHeartbeat(2);
  heartbeat.cold_ms = 0;
  DeliverHeartbeat(warm, heartbeat, later);
  for (auto port = std::uint16_t{1}; port <= 100; ++port) {
    BOOST_TEST(Offer(warm, port, later));
    BOOST_TEST(Offer(unlimited, port, kStart));
  }
}

// A target's heartbeat reports that it is warm. Then its failure domain is drained, the target
// becomes cold, and the domain returns to service before the next heartbeat reports that.
BOOST_AUTO_TEST_CASE(a_target_of_a_domain_returned_to_service_counts_as_cold_until_its_heartbeat) {
  auto agent = ColdAgent(5);
  agent.domain = 1;
  auto heartbeat = ColdHeartbeat(2);
  heartbeat.cold_ms = 0;
  DeliverHeartbeat(agent, heartbeat, kStart);
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
  ++heartbeat.sequence;
  DeliverHeartbeat(agent, heartbeat, kStart);
  BOOST_TEST(!MakeReport(agent, kBalancer, kStart).cold);
  BOOST_TEST(Offer(agent, 21, kStart));
}

// A balancer without a configuration sends no rates, so the rate received earlier stays in force.
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
