#include <boost/test/unit_test.hpp>
#include <cstdint>

#include "agent_test_utils.h"
#include "packets/agent.h"

namespace anvildrum::packets::agent_tests {
namespace {

using admission::Limit;
using admission::RequestClass;

constexpr auto kThird = Address{0x0a010003};
constexpr auto kOtherRoute = End{0xc6120002, 443};
constexpr auto kUrgent = RequestClass{true, 1, milliseconds{300}, milliseconds{1500}, false};
constexpr auto kRelaxed = RequestClass{true, 2, milliseconds{250}, milliseconds{1200}, true};

/// Openings in flight at which a shortage begins: two for each of the four slots.
constexpr auto kShortAt = std::uint16_t{8};

auto RelaxedOpening(std::uint16_t port, std::uint32_t copy = 0) -> Packet {
  auto packet = OpeningOf(port, copy);
  packet.destination = kOtherRoute;
  return packet;
}

auto MakeOrderedAgent() -> Agent {
  auto agent = MakeAgent();
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther, kThird}), kStart);
  agent.route_classes.classes = {{KeyOf(kRoute), kUrgent}, {KeyOf(kOtherRoute), kRelaxed}};
  agent.admission.policy = {.order_by_priority = true,
                            .admit_by_completion = true,
                            .fair_callers = true,
                            .await_copies = true};
  return agent;
}

// Fills the target beyond the limit of less urgent openings, two and a half per slot.
auto MakeShortAgent() -> Agent {
  auto agent = MakeOrderedAgent();
  for (auto port = std::uint16_t{1}; port <= kShortAt; ++port) {
    FromPeer(agent, RelaxedOpening(port), kStart);
  }
  for (auto port = std::uint16_t{91}; port <= 93; ++port) {
    FromPeer(agent, OpeningOf(port, 0), kStart);
  }
  return agent;
}

auto IsDelivered(const AgentVerdict& verdict) -> bool {
  return std::holds_alternative<DeliverToTarget>(verdict);
}

auto TurnedAway(const Agent& agent, Limit limit) -> std::uint64_t {
  return agent.counters.shortage.turned_away.at(static_cast<std::size_t>(limit));
}

BOOST_AUTO_TEST_SUITE(shortage)

// Guards against urgent requests that are refused because less urgent ones came first.
BOOST_AUTO_TEST_CASE(urgent_openings_are_admitted_where_less_urgent_ones_are_turned_away) {
  auto agent = MakeShortAgent();
  BOOST_TEST(agent.counters.shortage.shortages == 1U);
  BOOST_TEST(IsDelivered(FromPeer(agent, OpeningOf(101, 0), kStart)));
  BOOST_TEST(!IsDelivered(FromPeer(agent, RelaxedOpening(50), kStart)));
  BOOST_TEST(IsDelivered(FromPeer(agent, OpeningOf(102, 0), kStart)));
  BOOST_TEST(TurnedAway(agent, Limit::kPriority) == 1U);
  BOOST_TEST(agent.counters.shortage.admitted_urgent_first != 0U);
}

// Guards against urgent openings beyond the target's queue, which the target would reject.
BOOST_AUTO_TEST_CASE(urgent_openings_have_a_limit_of_four_requests_per_slot) {
  auto agent = MakeShortAgent();
  for (auto port = std::uint16_t{101}; port <= 140; ++port) {
    FromPeer(agent, OpeningOf(port, 0), kStart);
  }
  BOOST_TEST(agent.at_work == 16U);
}

// Guards against openings that visit six full targets before they are refused.
BOOST_AUTO_TEST_CASE(a_less_urgent_opening_visits_one_more_agent) {
  auto agent = MakeShortAgent();
  agent.admission.policy.await_copies = false;
  auto relaxed = RelaxedOpening(50);
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, relaxed, kStart)));
  relaxed.stamp.hops = 1;
  BOOST_TEST(std::holds_alternative<RefuseOpening>(FromPeer(agent, relaxed, kStart)));
}

// Guards against clients that use up their tries within milliseconds of a burst, while the slots
// are free again before their next copies.
BOOST_AUTO_TEST_CASE(openings_are_left_to_copies_in_the_first_second_of_a_shortage) {
  auto agent = MakeShortAgent();
  auto relaxed = RelaxedOpening(50);
  relaxed.stamp.hops = 1;
  const auto early = FromPeer(agent, relaxed, kStart);
  BOOST_TEST_REQUIRE(std::holds_alternative<Discard>(early));
  BOOST_TEST((std::get<Discard>(early).reason == DiscardReason::kAwaitsCopy));
  BOOST_TEST(agent.counters.shortage.left_to_copies == 1U);
}

// Guards against clients that wait for an answer which a longer shortage cannot give.
BOOST_AUTO_TEST_CASE(openings_are_refused_at_once_when_a_shortage_lasts) {
  auto agent = MakeShortAgent();
  auto last = AgentVerdict{};
  for (auto ms = 0; ms <= 1100; ms += 100) {
    const auto now = kStart + milliseconds{ms};
    for (auto port = std::uint16_t{200}; port < 240; ++port) {
      auto opening = RelaxedOpening(static_cast<std::uint16_t>(port + ms));
      opening.stamp.hops = 1;
      last = FromPeer(agent, opening, now);
    }
  }
  BOOST_TEST(std::holds_alternative<RefuseOpening>(last));
}

// Guards against an untrue refusal: another target may have taken an opening offered before.
BOOST_AUTO_TEST_CASE(an_opening_that_was_offered_before_is_never_refused) {
  auto agent = MakeShortAgent();
  auto relaxed = RelaxedOpening(50, 1);
  relaxed.stamp.hops = 6;
  relaxed.stamp.refusable = false;
  for (auto ms = 0; ms <= 3000; ms += 50) {
    const auto verdict = FromPeer(agent, relaxed, kStart + milliseconds{ms});
    BOOST_TEST(!std::holds_alternative<RefuseOpening>(verdict));
  }
}

// Guards against an agent that decides by classes which it lost in a restart.
BOOST_AUTO_TEST_CASE(openings_of_unknown_classes_are_admitted_as_without_the_rules) {
  auto agent = MakeShortAgent();
  agent.route_classes = {};
  BOOST_TEST(!IsDelivered(FromPeer(agent, OpeningOf(101, 0), kStart)));
  BOOST_TEST(TurnedAway(agent, Limit::kSlots) == 1U);
}

// Guards against decisions that change although no switch is on.
BOOST_AUTO_TEST_CASE(known_classes_change_nothing_while_the_switches_are_off) {
  auto plain = MakeAgent();
  auto classed = MakeOrderedAgent();
  DeliverHello(plain, kBalancer, MakeHello({kOwn, kOther, kThird}), kStart);
  classed.admission.policy = {};
  for (auto i = std::uint16_t{0}; i < 400; ++i) {
    const auto now = kStart + i * milliseconds{7};
    const auto port = static_cast<std::uint16_t>(1 + i % 40);
    auto opening = i % 3 == 0 ? OpeningOf(port, i % 5 == 0 ? 1 : 0) : RelaxedOpening(port);
    opening.stamp.hops = static_cast<std::uint8_t>(i % 4);
    const auto one = FromPeer(plain, opening, now);
    const auto other = FromPeer(classed, opening, now);
    BOOST_TEST(one.index() == other.index());
    BOOST_TEST(plain.at_work == classed.at_work);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace
}  // namespace anvildrum::packets::agent_tests
