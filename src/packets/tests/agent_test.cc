#include "packets/agent.h"

#include <boost/test/unit_test.hpp>

#include "agent_test_utils.h"

namespace anvildrum::packets::agent_tests {
namespace {

BOOST_AUTO_TEST_CASE(packets_go_to_the_target_and_replies_to_the_client) {
  auto agent = MakeAgent();
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST(std::holds_alternative<SendToClient>(FromTarget(agent, Reply(10), kStart)));
}

// A balancer still maps an address to service kDesk although a kMapper target uses it now, and
// sends an opening for kDesk there. The kMapper target would accept it, so the agent compares the
// service in the packet's stamp with its own.
BOOST_AUTO_TEST_CASE(a_packet_for_another_service_is_never_delivered) {
  auto agent = MakeAgent();
  auto packet = Opening();
  packet.stamp.service_tag = TagOf(kMapper);
  const auto verdict = FromPeer(agent, packet, kStart);
  BOOST_TEST(std::holds_alternative<Discard>(verdict));
  BOOST_TEST(agent.counters.wrong_service == 1U);
}

// The target gives back a packet of a flow that it does not hold, because another target holds it.
// The agent, which may have restarted and lost its flow table, returns the packet to the balancer,
// which searches for the flow. Passing it from target to target would load all of them.
BOOST_AUTO_TEST_CASE(what_the_target_gives_back_goes_to_its_balancer) {
  auto agent = MakeAgent();
  const auto verdict = FromTarget(agent, Returned(Data()), kStart);
  const auto* back = std::get_if<ReturnToBalancer>(&verdict);
  BOOST_REQUIRE(back != nullptr);
  BOOST_TEST(back->by_target);
  BOOST_TEST((BalancersOf(agent, OriginTagOf(kBalancer)) == std::vector<Address>{kBalancer}));
}

// A flow has closed normally, and the target gives back the client's last acknowledgement. A search
// for each closed flow would query all agents and find nothing.
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
  auto last_ack = Data();
  last_ack.payload = 0;
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, Returned(last_ack), kStart)));
  BOOST_TEST(std::holds_alternative<ReturnToBalancer>(FromTarget(agent, Returned(Data()), kStart)));
}

// An opening may be refused with a reset only if it has been offered to no other target. Otherwise
// the flow may have opened there, and the reset would break it.
BOOST_AUTO_TEST_CASE(only_a_sole_opening_that_nobody_takes_is_refused) {
  auto agent = MakeAgent();
  auto last = Returned(Opening(true));
  last.stamp.hops = 1;
  BOOST_TEST(std::holds_alternative<RefuseOpening>(FromTarget(agent, last, kStart)));
  last.stamp.refusable = false;
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, last, kStart)));
}

// The process was paused and resumes with an old opening in its socket. The client has
// retransmitted it meanwhile and the flow has opened at another target. Refusing the old opening
// would reset that flow.
BOOST_AUTO_TEST_CASE(an_opening_that_waited_while_the_process_stood_still_is_not_refused) {
  auto agent = MakeAgent();
  TakeHeartbeat(agent, MakeHeartbeat(1, 2, true), kStart);
  const auto before_pause = FromPeer(agent, Opening(), kStart);
  BOOST_TEST(std::get<ForwardToAgent>(before_pause).stamp.refusable);
  const auto resumed_at = kStart + kStallAfter + milliseconds{1};
  const auto late = FromPeer(agent, Opening(), resumed_at);
  BOOST_TEST(!std::get<ForwardToAgent>(late).stamp.refusable);
  const auto queued = FromPeer(agent, Opening(), resumed_at + milliseconds{50});
  BOOST_TEST(!std::get<ForwardToAgent>(queued).stamp.refusable);
  NoteEvent(agent.stall, resumed_at + milliseconds{100});
  const auto fresh = FromPeer(agent, Opening(), resumed_at + kStallDoubt);
  BOOST_TEST(std::get<ForwardToAgent>(fresh).stamp.refusable);
}

// A client's opening is answered late, so its retransmitted copy goes to another target, which
// answers too. The client continues with the other target's answer, but its packets still come
// here because the balancer chose this agent last. The target holds the flow half open and would
// drop them silently, and the client's established flow would stall.
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
        !std::get<ReturnToBalancer>(verdict).by_target);  // the target holds the flow half open
  }
}

// A restarted agent no longer knows that its target holds the flow half open, and balancers send
// the flow here. The target drops its packets silently, and the target that holds the flow
// established gets none of them.
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

// An opening was passed on by an agent whose target had no free slot. Unless the balancer is told,
// the balancer sends the client's next packet to that agent, whose target gives it back.
BOOST_AUTO_TEST_CASE(the_balancer_of_an_opening_that_came_by_way_of_others_is_told) {
  auto agent = MakeAgent();
  BOOST_TEST(!std::get<DeliverToTarget>(FromPeer(agent, OpeningOf(1, 0), kStart)).located);
  auto passed_on = OpeningOf(2, 0);
  passed_on.stamp.hops = 2;
  BOOST_TEST(std::get<DeliverToTarget>(FromPeer(agent, passed_on, kStart)).located);
}

// A restarted agent does not know a flow that its target holds. It learns this from the target's
// first answer.
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
