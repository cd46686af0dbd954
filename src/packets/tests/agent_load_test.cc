#include <boost/test/unit_test.hpp>

#include "agent_test_utils.h"
#include "packets/agent.h"

namespace anvildrum::packets::agent_tests {
namespace {

BOOST_AUTO_TEST_CASE(a_flood_of_flows_fills_no_more_than_the_agents_table) {
  auto agent = MakeAgent();
  agent.policy.max_flows = 3;
  for (auto port = std::uint16_t{1}; port <= 50; ++port) {
    FromPeer(agent, OpeningOf(port, 0), kStart);
  }
  BOOST_TEST(agent.flows.size() == 3U);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
}

// After an outage all clients connect at once. If all their openings queued at one target, each
// would wait for those before it and miss its deadline. With a limit, the first ones are served in
// time and the others go to other targets.
BOOST_AUTO_TEST_CASE(openings_over_the_limit_are_passed_on_and_refused_in_the_end) {
  auto agent = MakeAgent();
  for (auto port = std::uint16_t{1}; port <= 8; ++port) {
    BOOST_TEST(
        std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(port, 0), kStart)));
  }
  auto ninth = OpeningOf(9, 0);
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, ninth, kStart)));
  ninth.stamp.hops = 1;
  BOOST_TEST(std::holds_alternative<RefuseOpening>(FromPeer(agent, ninth, kStart)));
}

BOOST_AUTO_TEST_CASE(a_copy_takes_a_free_slot_but_waits_for_none) {
  auto agent = MakeAgent();
  for (auto port = std::uint16_t{1}; port <= 4; ++port) {
    BOOST_TEST(
        std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(port, 1), kStart)));
  }
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, OpeningOf(5, 1), kStart)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(6, 0), kStart)));
}

// Many openings are retransmitted, so two targets answer each of them and the client continues with
// one. Here no client continues. If these flows counted as load for as long as the target holds
// them, an idle target would accept no openings.
BOOST_AUTO_TEST_CASE(openings_that_no_client_continues_stop_counting_as_load) {
  auto agent = MakeAgent();
  for (auto port = std::uint16_t{1}; port <= 8; ++port) {
    FromPeer(agent, OpeningOf(port, 0), kStart);
  }
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, OpeningOf(9, 0), kStart)));
  const auto later = kStart + agent.policy.offer_timeout;
  BOOST_TEST(MakeReport(agent, kBalancer, later).in_flight == 0U);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(9, 0), later)));
}

BOOST_AUTO_TEST_CASE(the_first_data_of_an_answer_tells_how_long_it_took) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  FromPeer(agent, Data(), kStart);
  const auto at = kStart + milliseconds{40};
  const auto first = FromTarget(agent, Reply(1200), at);
  BOOST_TEST((std::get<SendToClient>(first).answered_after == milliseconds{40}));
  const auto second = FromTarget(agent, Reply(800), at);
  BOOST_TEST(!std::get<SendToClient>(second).answered_after);
}

BOOST_AUTO_TEST_CASE(a_request_at_work_stays_load_however_long_it_takes) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  auto answer = Reply(0);
  answer.synchronize = true;
  FromTarget(agent, answer, kStart);
  auto data = Data();
  data.acknowledged = 1;
  FromPeer(agent, data, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart + seconds{3}).in_flight == 1U);
}

BOOST_AUTO_TEST_CASE(requests_in_flight_are_those_without_an_answer_yet) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 1U);
  FromPeer(agent, Data(), kStart);
  FromTarget(agent, Reply(600), kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 0U);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).held == 1U);
  auto second = Data();
  second.sequence = second.payload;
  FromPeer(agent, second, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 1U);
  auto finish = Reply(0);
  finish.finish = true;
  FromTarget(agent, finish, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).held == 0U);
}

// An answer is late and the client retransmits its request. The copy reaches the target after the
// answer was sent and is acknowledged without data. No request is in progress then, neither on a
// flow that stays open nor on one that the target has closed. If the copy counted as load, an idle
// target would appear full.
BOOST_AUTO_TEST_CASE(a_request_that_is_repeated_after_its_answer_is_no_load) {
  for (const auto closes : {false, true}) {
    auto agent = MakeAgent();
    FromPeer(agent, Opening(), kStart);
    FromPeer(agent, Data(), kStart);
    auto answer = Reply(600);
    answer.finish = closes;
    FromTarget(agent, answer, kStart);
    FromPeer(agent, Data(), kStart);
    FromTarget(agent, Reply(0), kStart);
    BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 0U);
    BOOST_TEST(MakeReport(agent, kBalancer, kStart).held == (closes ? 0U : 1U));
  }
}

// Both ends have closed the flow, in either order, or one end is never heard from again. The flow
// is no load, and its entry is dropped once the client's last retransmission must have arrived. If
// the entry were dropped at once, all agents would be queried about the client's last
// acknowledgement.
BOOST_AUTO_TEST_CASE(a_flow_that_both_ends_closed_is_forgotten_soon) {
  auto last = Data();
  last.payload = 0;
  last.finish = true;
  auto finish = Reply(0);
  finish.finish = true;
  for (const auto client_first : {false, true}) {
    auto agent = MakeAgent();
    FromPeer(agent, Opening(), kStart);
    FromPeer(agent, Data(), kStart);
    if (client_first) FromPeer(agent, last, kStart);
    FromTarget(agent, finish, kStart);
    if (!client_first) FromPeer(agent, last, kStart);
    BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 0U);
    BOOST_TEST(MakeReport(agent, kBalancer, kStart).held == 0U);
    DropIdleState(agent, kStart + agent.policy.ended_idle + milliseconds{1});
    BOOST_TEST(agent.flows.empty());
    BOOST_TEST(agent.ended == 0U);
  }
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  FromTarget(agent, finish, kStart);
  BOOST_TEST(agent.flows.size() == 1U);
  DropIdleState(agent, kStart + agent.policy.ended_idle + milliseconds{1});
  BOOST_TEST(agent.flows.empty());
  BOOST_TEST(agent.ended == 0U);
}

// The target does not react to a packet of a flow that a restarted agent does not know: either it
// holds the flow half open, or the packet that it gave back was lost. No request is in progress.
BOOST_AUTO_TEST_CASE(a_packet_without_any_reaction_is_load_for_a_moment) {
  auto agent = MakeAgent();
  FromPeer(agent, Data(), kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 1U);
  const auto later = kStart + agent.policy.reaction_timeout + milliseconds{1};
  DropIdleState(agent, later);
  BOOST_TEST(MakeReport(agent, kBalancer, later).in_flight == 0U);
}

// Opens a flow and sends the client's request. Returns false if the agent does not deliver the
// opening to the target.
auto OpenAndSendRequest(Agent& agent, std::uint16_t port, base::TimePoint now) -> bool {
  const auto opening = OpeningOf(port, 0);
  if (!std::holds_alternative<DeliverToTarget>(FromPeer(agent, opening, now))) return false;
  auto answer = OpeningAnswer(7);
  answer.destination = opening.source;
  FromTarget(agent, answer, now);
  auto request = Data();
  request.source = opening.source;
  request.acknowledged = 8;
  FromPeer(agent, request, now);
  return true;
}

// Opens a flow, sends a part of a request that the target acknowledges, and sends nothing more, as
// a client that gives up.
auto AbandonRequest(Agent& agent, std::uint16_t port, base::TimePoint now) -> void {
  OpenAndSendRequest(agent, port, now);
  auto acknowledgement = Reply(0);
  acknowledgement.destination.port = port;
  FromTarget(agent, acknowledgement, now);
}

// Clients give up before their requests have arrived completely. The target acknowledges the parts
// and stays idle. If these requests counted as load, the agent would refuse openings for as long as
// it keeps the flows.
BOOST_AUTO_TEST_CASE(requests_whose_clients_left_do_not_close_an_idle_target) {
  auto agent = MakeAgent();
  for (auto port = std::uint16_t{1}; port <= 8; ++port) AbandonRequest(agent, port, kStart);
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, OpeningOf(20, 0), kStart)));
  const auto later = kStart + agent.policy.overtaken_timeout + milliseconds{100};
  TakeHeartbeat(agent, MakeHeartbeat(1, 2), later);
  DropIdleState(agent, later);
  const auto trial = OpeningOf(21, 0);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, trial, later)));
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, OpeningOf(22, 0), later)));
  // The admitted trial must not be exported as turned away.
  const auto slots = static_cast<std::size_t>(admission::Limit::kSlots);
  BOOST_TEST(agent.counters.shortage.turned_away.at(slots) == 2U);
  auto request = Data();
  request.source = trial.source;
  FromPeer(agent, request, later);
  auto answer = Reply(600);
  answer.destination = trial.source;
  FromTarget(agent, answer, later + milliseconds{30});
  DropIdleState(agent, later + milliseconds{100});
  BOOST_TEST(MakeReport(agent, kBalancer, later + milliseconds{100}).in_flight == 0U);
}

// Guards against openings being turned away as too late because one client paused between the
// target's answer and its next packet.
BOOST_AUTO_TEST_CASE(a_pause_in_a_handshake_counts_at_most_as_the_offer_timeout) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  FromTarget(agent, OpeningAnswer(0), kStart);
  auto request = Data();
  request.acknowledged = 1;
  FromPeer(agent, request, kStart + seconds{10});
  BOOST_TEST((agent.admission.handshake.observed == kStart + seconds{10}));
  BOOST_TEST((agent.admission.handshake.mean == agent.policy.offer_timeout));
}

// A restarted agent receives parts of requests, or requests that its target has already answered,
// and the target acknowledges them without data. When these counted as load, idle targets accepted
// no openings for as long as their flows were kept, and traffic never recovered after an outage.
BOOST_AUTO_TEST_CASE(an_acknowledgement_of_a_flow_that_opened_before_is_no_work) {
  auto agent = MakeAgent();
  for (auto port = std::uint16_t{1}; port <= 12; ++port) {
    auto part = Data();
    part.source.port = port;
    FromPeer(agent, part, kStart);
    auto acknowledgement = Reply(0);
    acknowledgement.destination.port = port;
    FromTarget(agent, acknowledgement, kStart);
  }
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 0U);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).held == 12U);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(20, 0), kStart)));
}

// The requests of a target that answers nothing stay counted as load, so it gets at most one more
// opening per second.
BOOST_AUTO_TEST_CASE(a_target_that_hangs_is_given_a_trial_a_second) {
  auto agent = MakeAgent();
  auto given = 0;
  auto now = kStart;
  for (auto port = std::uint16_t{1}; port <= 1000; ++port, now += milliseconds{10}) {
    if (port % 50 == 1) TakeHeartbeat(agent, MakeHeartbeat(1, 1 + port), now);
    if (port % 100 == 1) DropIdleState(agent, now);
    if (OpenAndSendRequest(agent, port, now)) ++given;
  }
  BOOST_TEST(given >= 8);
  BOOST_TEST(given <= 8 + 10);
}

// A flow whose packet the target gave back is no load either, and it may open there later.
BOOST_AUTO_TEST_CASE(a_flow_that_was_given_back_is_no_load_and_may_be_opened_later) {
  auto agent = MakeAgent();
  FromPeer(agent, Data(), kStart);
  FromTarget(agent, Returned(Data()), kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 0U);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).held == 0U);
  BOOST_TEST(std::holds_alternative<ReturnToBalancer>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST(agent.ended == 0U);
  DropIdleState(agent, kStart + agent.policy.flow_idle + milliseconds{1});
  BOOST_TEST(agent.flows.empty());
}

constexpr auto kLessUrgentRoute = End{kRoute.address + 1, 443};

auto LessUrgentOpening(std::uint16_t port) -> Packet {
  auto opening = OpeningOf(port, 0);
  opening.destination = kLessUrgentRoute;
  return opening;
}

// Returns an agent with three peers, whose target has been at its ordinary limit since kStart, and
// which has received openings of two priorities.
auto MakeFull(const admission::Policy& policy) -> Agent {
  auto agent = MakeAgent();
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther, kOther + 1, kOther + 2}), kStart);
  agent.route_classes.classes = {
      {KeyOf(kRoute), admission::MakeRequestClass(1, milliseconds{300}, milliseconds{1500}, false)},
      {KeyOf(kLessUrgentRoute),
       admission::MakeRequestClass(2, milliseconds{250}, milliseconds{1200}, true)}};
  agent.admission.policy = policy;
  for (auto port = std::uint16_t{1}; port <= 8; ++port) OpenAndSendRequest(agent, port, kStart);
  FromPeer(agent, LessUrgentOpening(9), kStart);
  return agent;
}

// Guards against less urgent openings that visit six full agents, and against urgent ones that
// visit fewer than six.
BOOST_AUTO_TEST_CASE(under_shortage_a_less_urgent_opening_is_passed_on_once) {
  auto ordered = MakeFull({.order_by_priority = true});
  auto less_urgent = LessUrgentOpening(20);
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(ordered, less_urgent, kStart)));
  less_urgent.stamp.hops = 1;
  BOOST_TEST(std::holds_alternative<RefuseOpening>(FromPeer(ordered, less_urgent, kStart)));
  auto urgent = OpeningOf(21, 0);
  urgent.stamp.hops = 1;
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(ordered, urgent, kStart)));
  auto unordered = MakeFull({});
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(unordered, less_urgent, kStart)));
}

// Guards against refusals in a short burst, and against openings that stay without an answer
// although the shortage lasts.
BOOST_AUTO_TEST_CASE(openings_are_left_to_copies_in_the_first_second_of_a_shortage) {
  auto agent = MakeFull({.await_copies = true});
  auto opening = OpeningOf(20, 0);
  opening.stamp.hops = agent.policy.opening_hops;
  const auto left = FromPeer(agent, opening, kStart);
  BOOST_REQUIRE(std::holds_alternative<Discard>(left));
  BOOST_TEST((std::get<Discard>(left).reason == DiscardReason::kAwaitsCopy));
  BOOST_TEST(agent.counters.shortage.left_to_copies == 1U);
  BOOST_TEST(agent.counters.refused == 0U);
  auto last = AgentVerdict{};
  for (auto now = kStart; now <= kStart + milliseconds{1100}; now += milliseconds{50}) {
    last = FromPeer(agent, opening, now);
  }
  BOOST_TEST(std::holds_alternative<RefuseOpening>(last));
  auto off = MakeFull({});
  BOOST_TEST(std::holds_alternative<RefuseOpening>(FromPeer(off, opening, kStart)));
}

// Guards against forged openings, whose senders receive no answer, using up another caller's share.
BOOST_AUTO_TEST_CASE(a_callers_use_is_counted_at_its_first_data) {
  auto agent = MakeAgent();
  agent.admission.policy.fair_callers = true;
  FromPeer(agent, OpeningOf(1, 0), kStart);
  BOOST_TEST(admission::UseOf(agent.callers, kClient.address, kStart) == 0U);
  OpenAndSendRequest(agent, 2, kStart);
  BOOST_TEST(admission::UseOf(agent.callers, kClient.address, kStart) == 1U);
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
