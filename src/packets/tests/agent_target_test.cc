#include <boost/test/unit_test.hpp>

#include "agent_test_utils.h"
#include "packets/agent.h"

namespace anvildrum::packets::agent_tests {
namespace {

// The target has reported that it drains. Balancers that do not know this yet still send openings
// here, and the target would accept them.
BOOST_AUTO_TEST_CASE(a_draining_target_is_given_no_opening_but_its_flows_packets) {
  auto agent = MakeAgent();
  BOOST_TEST(
      (DeliverHeartbeat(agent, MakeHeartbeat(1, 2, true), kStart) == HeartbeatOutcome::kChanged));
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
}

// All agents were killed and restarted while the targets kept running with their flows, and the
// next heartbeats arrive within a second. Until then the agent delivers packets of established
// flows, which the target gives back if it does not hold the flow. It delivers no opening because
// the target may be draining.
BOOST_AUTO_TEST_CASE(an_agent_that_has_just_started_delivers_packets_but_no_opening) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther}, true), kStart);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), kStart)));
}

// The agent is about to exit. The flow of an opening that it accepted would get no answer until the
// next agent process runs.
BOOST_AUTO_TEST_CASE(a_stopping_agent_takes_no_opening) {
  auto agent = MakeAgent();
  agent.stopping = true;
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kStopping));
}

// A target leaves for good and its instance is removed. As long as balancers expect this agent to
// come back, they cannot reset any flow of the service because the target may still hold it.
BOOST_AUTO_TEST_CASE(a_stopping_agent_whose_target_has_left_holds_nothing) {
  auto agent = MakeAgent();
  agent.stopping = true;
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kStopping));
  TakeLeave(agent, 1, kStart);
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kAbsent));
}

// All instances lost power. One agent's target does not come back, and the agent is stopped a
// second later, before its normal time-out for a silent target. When the agent reported that it
// would come back, no lost flow of the service was reset for as long as balancers waited for it.
BOOST_AUTO_TEST_CASE(a_stopping_agent_that_never_heard_of_its_target_holds_nothing) {
  auto agent = MakeAgent();
  agent.target = {};
  agent.stopping = true;
  const auto report = [&](base::TimePoint now) {
    agent.stall = {.active_at = now, .running_since = kStart};
    return MakeReport(agent, kBalancer, now).state;
  };
  const auto heard_by = kStart + agent.policy.never_heard_timeout;
  BOOST_TEST((report(heard_by) == TargetState::kStopping));
  BOOST_TEST((report(heard_by + milliseconds{1}) == TargetState::kAbsent));
  DeliverHeartbeat(agent, MakeHeartbeat(1, 1), heard_by);
  BOOST_TEST((report(heard_by + milliseconds{1}) == TargetState::kStopping));
}

// The agent restarted beside a live target that reuses the id of an earlier start. The first
// message that the agent received was the delayed leave message of that start, so it does not
// accept the target's own heartbeat yet. If it is stopped now, it must not report that there is no
// target.
BOOST_AUTO_TEST_CASE(a_stopping_agent_with_a_heartbeat_in_doubt_may_have_a_target) {
  auto agent = MakeAgent();
  agent.target = {};
  agent.started_at = kStart;
  NoteEvent(agent.stall, kStart);
  TakeLeave(agent, 1, kStart);
  const auto heard = kStart + milliseconds{700};
  BOOST_TEST((DeliverHeartbeat(agent, MakeHeartbeat(1, 4), heard) == HeartbeatOutcome::kStale));
  agent.stopping = true;
  const auto stops = kStart + agent.policy.never_heard_timeout + milliseconds{1};
  agent.stall.active_at = stops;
  BOOST_TEST((MakeReport(agent, kBalancer, stops).state == TargetState::kStopping));
  agent.stopping = false;
  const auto silent = heard + agent.policy.silent_for;
  agent.stall.active_at = silent;
  BOOST_TEST((StateOf(agent, silent) == TargetState::kUnknown));
  agent.stall.active_at = silent + milliseconds{1};
  BOOST_TEST((StateOf(agent, silent + milliseconds{1}) == TargetState::kAbsent));
}

// All instances lost power, and the target on this one does not come back. Packets of flows are
// returned to their balancers, which learn that no flow is held here. The agent waits until a live
// target would have sent a heartbeat, counted from the end of any pause of the agent.
BOOST_AUTO_TEST_CASE(a_target_that_is_never_heard_of_is_not_there) {
  auto agent = MakeAgent();
  agent.target = {};
  NoteEvent(agent.stall, kStart);
  const auto report = [&](base::TimePoint now) { return MakeReport(agent, kBalancer, now).state; };
  const auto heard_by = kStart + agent.policy.silent_for;
  NoteEvent(agent.stall, heard_by);
  agent.stall.running_since = kStart;  // the agent ran without a pause
  BOOST_TEST((report(heard_by) == TargetState::kUnknown));
  BOOST_TEST((report(heard_by + milliseconds{1}) == TargetState::kAbsent));
  agent.stall = StallWatch{};
  NoteEvent(agent.stall, kStart);
  BOOST_TEST((report(heard_by) == TargetState::kUnknown));  // the agent was paused meanwhile
  const auto later = heard_by + agent.policy.silent_for + milliseconds{1};
  NoteEvent(agent.stall, later);
  agent.stall.running_since = heard_by;  // the agent ran without a pause since then
  BOOST_TEST((report(later) == TargetState::kAbsent));
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther}, true), later);
  BOOST_TEST(std::get<ReturnToBalancer>(FromPeer(agent, Data(), later)).by_target);
  DeliverHeartbeat(agent, MakeHeartbeat(1, 1), later);
  BOOST_TEST((report(later) == TargetState::kReady));
}

// A target sends its leave message and exits, but still runs for some milliseconds.
BOOST_AUTO_TEST_CASE(a_leaving_target_is_given_its_flows_packets_for_a_moment) {
  auto agent = MakeAgent();
  TakeLeave(agent, 1, kStart);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kDraining));
  const auto later = kStart + agent.policy.leave_grace;
  BOOST_TEST(std::get<ReturnToBalancer>(FromPeer(agent, Data(), later)).by_target);
}

// A network partition delayed a heartbeat of a target that then crashed, and its successor has sent
// a heartbeat since. The delayed one says that the target drains. If the agent accepted it, the
// live target would get no more flows.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_an_earlier_incarnation_changes_nothing) {
  auto agent = MakeAgent();
  DeliverHeartbeat(agent, MakeHeartbeat(2, 1), kStart + seconds{1});
  BOOST_TEST((DeliverHeartbeat(agent, MakeHeartbeat(1, 9, true), kStart + seconds{2}) ==
              HeartbeatOutcome::kStale));
  BOOST_TEST((agent.target.state == TargetState::kReady));
  BOOST_TEST(agent.target.last.incarnation.id == 2U);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_out_of_order_does_not_undo_draining) {
  auto agent = MakeAgent();
  DeliverHeartbeat(agent, MakeHeartbeat(1, 3, true), kStart);
  BOOST_TEST((DeliverHeartbeat(agent, MakeHeartbeat(1, 2), kStart) == HeartbeatOutcome::kStale));
  BOOST_TEST((agent.target.state == TargetState::kDraining));
}

BOOST_AUTO_TEST_CASE(a_target_that_left_stays_gone_whatever_comes_late) {
  auto agent = MakeAgent();
  BOOST_TEST(TakeLeave(agent, 1, kStart));
  BOOST_TEST((DeliverHeartbeat(agent, MakeHeartbeat(1, 9), kStart) == HeartbeatOutcome::kStale));
  const auto later = kStart + agent.policy.leave_grace;
  BOOST_TEST((MakeReport(agent, kBalancer, later).state == TargetState::kAbsent));
}

// A target exits without a leave message. Two seconds later its address serves another service, and
// the agent learns of the change only after that. The wrong service would serve any opening that is
// still delivered. Packets of open flows may be delivered, since the new target gives them back.
BOOST_AUTO_TEST_CASE(a_silent_target_is_given_no_opening) {
  auto agent = MakeAgent();
  const auto heard = kStart + agent.policy.silent_for;
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Opening(), heard)));
  const auto silent = heard + milliseconds{1};
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther}, true), silent);
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, OpeningOf(7, 0), silent)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), silent)));
  BOOST_TEST((MakeReport(agent, kBalancer, silent).state == TargetState::kUnknown));
  const auto back = DeliverHeartbeat(agent, MakeHeartbeat(1, 2), silent);
  BOOST_TEST((back == HeartbeatOutcome::kChanged));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(8, 0), silent)));
  BOOST_TEST((MakeReport(agent, kBalancer, silent).state == TargetState::kReady));
}

// The first heartbeat of another service's target arrives before the agent has read its changed
// settings. The agent does not accept the sender as this service's target. It distinguishes this
// heartbeat from a late one of a former incarnation, so that it reads its settings at once.
BOOST_AUTO_TEST_CASE(a_heartbeat_for_another_service_is_told_apart) {
  auto agent = MakeAgent();
  auto heartbeat = MakeHeartbeat(2, 1);
  heartbeat.service = kMapper;
  BOOST_TEST((DeliverHeartbeat(agent, heartbeat, kStart) == HeartbeatOutcome::kOtherService));
  BOOST_TEST(agent.target.last.incarnation.id == 1U);
  TakeLeave(agent, 2, kStart);
  BOOST_TEST((DeliverHeartbeat(agent, heartbeat, kStart) == HeartbeatOutcome::kStale));
}

// A target crashes, and its port refuses connections at once. If the agent waited for missing
// heartbeats, openings would get no answer until then and the target's flows could not be declared
// lost.
BOOST_AUTO_TEST_CASE(a_target_whose_port_refuses_a_connection_is_gone) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  const auto crashed = kStart + milliseconds{100};
  BOOST_TEST(TakeRefusal(agent, crashed, crashed));
  BOOST_TEST(!TakeRefusal(agent, crashed, crashed));  // no change of state
  BOOST_TEST((MakeReport(agent, kBalancer, crashed).state == TargetState::kAbsent));
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), crashed)));
  BOOST_TEST(std::get<ReturnToBalancer>(FromPeer(agent, Data(), crashed)).by_target);
  BOOST_TEST(MakeReport(agent, kBalancer, crashed).in_flight == 0U);
  DeliverHeartbeat(agent, MakeHeartbeat(2, 1), crashed + seconds{1});
  BOOST_TEST((StateOf(agent, crashed + seconds{1}) == TargetState::kReady));
}

// All instances lost power and the target on this one does not come back. After a refused
// connection the agent does not have to wait for missing heartbeats.
BOOST_AUTO_TEST_CASE(a_target_that_was_never_heard_of_and_whose_port_refuses_is_not_there) {
  auto agent = MakeAgent();
  agent.target = {};
  BOOST_TEST(TakeRefusal(agent, kStart, kStart));
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kAbsent));
}

// A connection attempt was refused before the target opened its port, but the target's first
// heartbeat was processed before the refusal.
BOOST_AUTO_TEST_CASE(a_refusal_older_than_the_last_heartbeat_tells_nothing) {
  auto agent = MakeAgent();
  BOOST_TEST(!TakeRefusal(agent, kStart - milliseconds{1}, kStart + milliseconds{1}));
  BOOST_TEST((StateOf(agent, kStart) == TargetState::kReady));
}

// A draining target may close its listening port and still serve its open flows.
BOOST_AUTO_TEST_CASE(a_refusal_by_a_draining_target_ends_no_flow) {
  auto agent = MakeAgent();
  DeliverHeartbeat(agent, MakeHeartbeat(1, 2, true), kStart);
  BOOST_TEST(!TakeRefusal(agent, kStart + seconds{1}, kStart + seconds{1}));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
}

// The target is alive although its port refused a connection. The agent accepts it again once it
// continues to send heartbeats, and reports its flows as unsure until their next packets.
BOOST_AUTO_TEST_CASE(a_target_that_goes_on_after_a_refusal_is_believed_again) {
  auto agent = MakeAgent();
  FromTarget(agent, Reply(100), kStart);
  const auto refused = kStart + milliseconds{100};
  TakeRefusal(agent, refused, refused);
  DeliverHeartbeat(agent, MakeHeartbeat(1, 2), refused + milliseconds{10});
  const auto later = refused + milliseconds{10} + agent.policy.confirmation_interval;
  BOOST_TEST((DeliverHeartbeat(agent, MakeHeartbeat(1, 3), later) == HeartbeatOutcome::kChanged));
  BOOST_TEST(!TakeRefusal(agent, later + milliseconds{1}, later + milliseconds{1}));
  const auto query = FlowQuery{kDesk, 1, {{kClient, kRoute}}};
  BOOST_TEST(AnswerQuery(agent, query, later).held.empty());
  BOOST_TEST((AnswerQuery(agent, query, later).unsure.size() == 1U ||
              !AnswerQuery(agent, query, later).unsure.empty()));
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
