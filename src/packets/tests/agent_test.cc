#include "packets/agent.h"

#include <boost/test/unit_test.hpp>

#include "agent_rig.h"

namespace anvildrum::packets::agent_tests {
namespace {

BOOST_AUTO_TEST_CASE(packets_go_to_the_target_and_replies_to_the_client) {
  auto agent = MakeAgent();
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST(std::holds_alternative<SendToClient>(FromTarget(agent, Reply(10), kStart)));
}

// A balancer still has the record of desk for an address that mapper uses now, and sends it an
// opening of desk. Mapper would serve it. The stamp names the service that was chosen.
BOOST_AUTO_TEST_CASE(a_packet_for_another_service_is_never_delivered) {
  auto agent = MakeAgent();
  auto packet = Opening();
  packet.stamp.service_tag = TagOf(kMapper);
  const auto verdict = FromPeer(agent, packet, kStart);
  BOOST_TEST(std::holds_alternative<Discard>(verdict));
  BOOST_TEST(agent.counters.wrong_service == 1U);
}

// The agent was restarted and remembers nothing; or the flow's owner is another. The target gives
// the packet back. Passed on from target to target it would load all of them; its balancer asks.
BOOST_AUTO_TEST_CASE(what_the_target_gives_back_goes_to_its_balancer) {
  auto agent = MakeAgent();
  const auto verdict = FromTarget(agent, Returned(Data()), kStart);
  const auto* back = std::get_if<ReturnToBalancer>(&verdict);
  BOOST_REQUIRE(back != nullptr);
  BOOST_TEST(back->by_target);
  BOOST_TEST((BalancersOf(agent, OriginTagOf(kBalancer)) == std::vector<Address>{kBalancer}));
}

// A flow has ended in good order; its client's last acknowledgement is given back by the target. A
// search for each flow that ends would ask all agents, and find nothing.
BOOST_AUTO_TEST_CASE(the_last_acknowledgement_of_an_ended_flow_is_not_searched_for) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  auto last = Reply(100);
  last.finish = true;
  FromTarget(agent, last, kStart);
  auto finish = Data();
  finish.payload = 0;
  finish.finish = true;
  FromPeer(agent, finish, kStart);
  auto bare = Data();
  bare.payload = 0;
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, Returned(bare), kStart)));
  BOOST_TEST(std::holds_alternative<ReturnToBalancer>(FromTarget(agent, Returned(Data()), kStart)));
}

// A reset is true only for an opening that has been offered nowhere else; another offer of it may
// have opened the flow, and the reset would break it.
BOOST_AUTO_TEST_CASE(only_a_sole_opening_that_nobody_takes_is_refused) {
  auto agent = MakeAgent();
  auto last = Returned(Opening(true));
  last.stamp.hops = 1;
  BOOST_TEST(std::holds_alternative<RefuseOpening>(FromTarget(agent, last, kStart)));
  last.stamp.refusable = false;
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, last, kStart)));
}

// The process was paused, and wakes with an opening in its socket that its client has long since
// sent again. A copy was taken by another target and the flow is open; refused now, it would be
// reset.
BOOST_AUTO_TEST_CASE(an_opening_that_waited_while_the_process_stood_still_is_not_refused) {
  auto agent = MakeAgent();
  TakeHeartbeat(agent, Beat(1, 2, true), kStart);
  const auto hop = FromPeer(agent, Opening(), kStart);
  BOOST_TEST(std::get<ForwardToAgent>(hop).stamp.refusable);
  const auto woken = kStart + kStallAfter + milliseconds{1};
  const auto late = FromPeer(agent, Opening(), woken);
  BOOST_TEST(!std::get<ForwardToAgent>(late).stamp.refusable);
  const auto queued = FromPeer(agent, Opening(), woken + milliseconds{50});
  BOOST_TEST(!std::get<ForwardToAgent>(queued).stamp.refusable);
  NoteEvent(agent.stall, woken + milliseconds{100});
  const auto fresh = FromPeer(agent, Opening(), woken + kStallDoubt);
  BOOST_TEST(std::get<ForwardToAgent>(fresh).stamp.refusable);
}

// A client's opening is answered late, so its copy goes to another target, which answers too. The
// client goes on with the other one's answer; its packets still come here, since this agent was the
// last that the balancer chose. The target holds the flow half open and would swallow them: the
// client sees an established flow fall silent.
BOOST_AUTO_TEST_CASE(packets_of_a_flow_that_opened_at_another_target_are_given_back) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(false), kStart);
  FromTarget(agent, OpeningAnswer(5000), kStart);
  auto data = Data();
  data.acknowledged = 777001;
  for (auto i = 0; i < 2; ++i) {
    const auto verdict = FromPeer(agent, data, kStart);
    BOOST_REQUIRE(std::holds_alternative<ReturnToBalancer>(verdict));
    BOOST_TEST(
        !std::get<ReturnToBalancer>(verdict).by_target);  // its target holds the flow half open
  }
}

// The agent was started again and forgot that its target holds the flow half open; balancers send
// the flow here. The target swallows its packets, and another one that holds it open gets none.
BOOST_AUTO_TEST_CASE(where_the_target_does_not_react_every_other_packet_is_given_back) {
  auto agent = MakeAgent();
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST(!std::get<ReturnToBalancer>(FromPeer(agent, Data(), kStart)).by_target);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  FromTarget(agent, Reply(0), kStart);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
}

BOOST_AUTO_TEST_CASE(packets_of_a_flow_that_opened_here_are_delivered_whatever_they_acknowledge) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  FromTarget(agent, OpeningAnswer(5000), kStart);
  auto data = Data();
  data.acknowledged = 5001;
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, data, kStart)));
  data.acknowledged = 9000;
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, data, kStart)));
}

// An opening came by way of an agent that had no place. Its balancer would send the client's next
// packet there, and the target would give it back.
BOOST_AUTO_TEST_CASE(the_balancer_of_an_opening_that_came_by_way_of_others_is_told) {
  auto agent = MakeAgent();
  BOOST_TEST(!std::get<DeliverToTarget>(FromPeer(agent, OpeningOf(1, 0), kStart)).located);
  auto passed_on = OpeningOf(2, 0);
  passed_on.stamp.hops = 2;
  BOOST_TEST(std::get<DeliverToTarget>(FromPeer(agent, passed_on, kStart)).located);
}

// The agent was started again and does not know the flow; the target does. Its first answer tells.
BOOST_AUTO_TEST_CASE(the_balancer_is_told_once_the_target_has_shown_that_it_holds_the_flow) {
  auto agent = MakeAgent();
  auto data = Data();
  data.stamp.origin = OriginTagOf(kBalancer);
  FromPeer(agent, data, kStart);
  const auto first = std::get<SendToClient>(FromTarget(agent, Reply(100), kStart));
  BOOST_REQUIRE(first.located_for.has_value());
  BOOST_TEST(*first.located_for == OriginTagOf(kBalancer));
  BOOST_TEST(!std::get<SendToClient>(FromTarget(agent, Reply(100), kStart)).located_for);
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
