#include <boost/test/unit_test.hpp>

#include "agent_rig.h"
#include "packets/agent.h"

namespace anvildrum::packets::agent_tests {
namespace {

// The target has said that it drains. Openings of balancers that have not heard of it still come
// here, and the target would take them.
BOOST_AUTO_TEST_CASE(a_draining_target_is_given_no_opening_but_its_flows_packets) {
  auto agent = MakeAgent();
  BOOST_TEST((TakeHeartbeat(agent, Beat(1, 2, true), kStart) == HeartbeatOutcome::kChanged));
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
}

// All agents were killed and started again; the targets live on with their flows, and their next
// heartbeats come within a second. Until then the agent delivers packets of flows, which the target
// gives back if they are not its own, but no opening: the target may be draining.
BOOST_AUTO_TEST_CASE(an_agent_that_has_just_started_delivers_packets_but_no_opening) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  Greet(agent, kBalancer, HelloOf({kOwn, kOther}, true), kStart);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), kStart)));
}

// The agent ends in a moment; an opening that it took would be silent until the next one is there.
BOOST_AUTO_TEST_CASE(a_stopping_agent_takes_no_opening) {
  auto agent = MakeAgent();
  agent.stopping = true;
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kStopping));
}

// A target leaves for good, and its machine is taken away with it. As long as the agent counts as
// one that comes back, no flow of its service can be reset: nobody knows whether its target holds
// it.
BOOST_AUTO_TEST_CASE(a_stopping_agent_whose_target_has_left_holds_nothing) {
  auto agent = MakeAgent();
  agent.stopping = true;
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kStopping));
  TakeLeave(agent, 1, kStart);
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kAbsent));
}

// All machines lost power. One agent's target does not come back, and the agent is stopped a second
// later, before it takes the target for gone. Said to come back, it kept all lost flows of the
// service from being reset for as long as balancers wait for it.
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
  TakeHeartbeat(agent, Beat(1, 1), heard_by);
  BOOST_TEST((report(heard_by + milliseconds{1}) == TargetState::kStopping));
}

// The agent was started again beside a live target whose id an earlier start had, and that start's
// late leave was the first that it heard: the target's own heartbeat is not believed yet. Stopped
// now, the agent must not say that there is no target.
BOOST_AUTO_TEST_CASE(a_stopping_agent_with_a_heartbeat_in_doubt_may_have_a_target) {
  auto agent = MakeAgent();
  agent.target = {};
  agent.started_at = kStart;
  NoteEvent(agent.stall, kStart);
  TakeLeave(agent, 1, kStart);
  const auto heard = kStart + milliseconds{700};
  BOOST_TEST((TakeHeartbeat(agent, Beat(1, 4), heard) == HeartbeatOutcome::kStale));
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

// All machines lost power, and this one's target does not come back. Packets of flows go back to
// their balancers at once, which learn that no flow is held here; but not before a live target
// would have been heard of, counted from the end of a pause.
BOOST_AUTO_TEST_CASE(a_target_that_is_never_heard_of_is_not_there) {
  auto agent = MakeAgent();
  agent.target = {};
  NoteEvent(agent.stall, kStart);
  const auto report = [&](base::TimePoint now) { return MakeReport(agent, kBalancer, now).state; };
  const auto heard_by = kStart + agent.policy.silent_for;
  NoteEvent(agent.stall, heard_by);
  agent.stall.running_since = kStart;  // it ran all the time
  BOOST_TEST((report(heard_by) == TargetState::kUnknown));
  BOOST_TEST((report(heard_by + milliseconds{1}) == TargetState::kAbsent));
  agent.stall = StallWatch{};
  NoteEvent(agent.stall, kStart);
  BOOST_TEST((report(heard_by) == TargetState::kUnknown));  // it was paused all the while
  const auto later = heard_by + agent.policy.silent_for + milliseconds{1};
  NoteEvent(agent.stall, later);
  agent.stall.running_since = heard_by;  // it ran all the time since
  BOOST_TEST((report(later) == TargetState::kAbsent));
  Greet(agent, kBalancer, HelloOf({kOwn, kOther}, true), later);
  BOOST_TEST(std::get<ReturnToBalancer>(FromPeer(agent, Data(), later)).by_target);
  TakeHeartbeat(agent, Beat(1, 1), later);
  BOOST_TEST((report(later) == TargetState::kReady));
}

// A target says that it leaves and exits; for some milliseconds it is still alive.
BOOST_AUTO_TEST_CASE(a_leaving_target_is_given_its_flows_packets_for_a_moment) {
  auto agent = MakeAgent();
  TakeLeave(agent, 1, kStart);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kDraining));
  const auto later = kStart + agent.policy.leave_grace;
  BOOST_TEST(std::get<ReturnToBalancer>(FromPeer(agent, Data(), later)).by_target);
}

// A cut held up a heartbeat of a target that then crashed; the next one has announced itself. The
// late one says that it drains: the live target would get no flow any more.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_an_earlier_incarnation_changes_nothing) {
  auto agent = MakeAgent();
  TakeHeartbeat(agent, Beat(2, 1), kStart + seconds{1});
  BOOST_TEST(
      (TakeHeartbeat(agent, Beat(1, 9, true), kStart + seconds{2}) == HeartbeatOutcome::kStale));
  BOOST_TEST((agent.target.state == TargetState::kReady));
  BOOST_TEST(agent.target.last.incarnation.id == 2U);
}

BOOST_AUTO_TEST_CASE(a_heartbeat_out_of_order_does_not_undo_draining) {
  auto agent = MakeAgent();
  TakeHeartbeat(agent, Beat(1, 3, true), kStart);
  BOOST_TEST((TakeHeartbeat(agent, Beat(1, 2), kStart) == HeartbeatOutcome::kStale));
  BOOST_TEST((agent.target.state == TargetState::kDraining));
}

BOOST_AUTO_TEST_CASE(a_target_that_left_stays_gone_whatever_comes_late) {
  auto agent = MakeAgent();
  BOOST_TEST(TakeLeave(agent, 1, kStart));
  BOOST_TEST((TakeHeartbeat(agent, Beat(1, 9), kStart) == HeartbeatOutcome::kStale));
  const auto later = kStart + agent.policy.leave_grace;
  BOOST_TEST((MakeReport(agent, kBalancer, later).state == TargetState::kAbsent));
}

// A target ends without a word. Two seconds later its address serves another service, and the agent
// is told a moment after that. An opening that is still given to it would be run by a service that
// it was not meant for; packets of open flows may be, since the new target gives them back.
BOOST_AUTO_TEST_CASE(a_silent_target_is_given_no_opening) {
  auto agent = MakeAgent();
  const auto heard = kStart + agent.policy.silent_for;
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Opening(), heard)));
  const auto silent = heard + milliseconds{1};
  Greet(agent, kBalancer, HelloOf({kOwn, kOther}, true), silent);
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, OpeningOf(7, 0), silent)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), silent)));
  BOOST_TEST((MakeReport(agent, kBalancer, silent).state == TargetState::kUnknown));
  const auto back = TakeHeartbeat(agent, Beat(1, 2), silent);
  BOOST_TEST((back == HeartbeatOutcome::kChanged));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(8, 0), silent)));
  BOOST_TEST((MakeReport(agent, kBalancer, silent).state == TargetState::kReady));
}

// The first heartbeat of a target of another service comes before the changed settings are read.
// It does not count as this service's target; it is told apart from a late one of a former
// incarnation, so that the process reads its settings at once.
BOOST_AUTO_TEST_CASE(a_heartbeat_for_another_service_is_told_apart) {
  auto agent = MakeAgent();
  auto beat = Beat(2, 1);
  beat.service = kMapper;
  BOOST_TEST((TakeHeartbeat(agent, beat, kStart) == HeartbeatOutcome::kOtherService));
  BOOST_TEST(agent.target.last.incarnation.id == 1U);
  TakeLeave(agent, 2, kStart);
  BOOST_TEST((TakeHeartbeat(agent, beat, kStart) == HeartbeatOutcome::kStale));
}

// A target crashes. Until its heartbeats are missed its clients' openings would wait for nothing,
// and its flows could not be said to be lost. Its port refuses a connection at once.
BOOST_AUTO_TEST_CASE(a_target_whose_port_refuses_a_connection_is_gone) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  const auto crashed = kStart + milliseconds{100};
  BOOST_TEST(TakeRefusal(agent, crashed, crashed));
  BOOST_TEST(!TakeRefusal(agent, crashed, crashed));  // nothing new
  BOOST_TEST((MakeReport(agent, kBalancer, crashed).state == TargetState::kAbsent));
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), crashed)));
  BOOST_TEST(std::get<ReturnToBalancer>(FromPeer(agent, Data(), crashed)).by_target);
  BOOST_TEST(MakeReport(agent, kBalancer, crashed).in_flight == 0U);
  TakeHeartbeat(agent, Beat(2, 1), crashed + seconds{1});
  BOOST_TEST((StateOf(agent, crashed + seconds{1}) == TargetState::kReady));
}

// All machines lost power and this one's target does not come back: no heartbeat has to be missed.
BOOST_AUTO_TEST_CASE(a_target_that_was_never_heard_of_and_whose_port_refuses_is_not_there) {
  auto agent = MakeAgent();
  agent.target = {};
  BOOST_TEST(TakeRefusal(agent, kStart, kStart));
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kAbsent));
}

// The attempt was refused before the target had opened its port; its first heartbeat came before
// the refusal was handled.
BOOST_AUTO_TEST_CASE(a_refusal_older_than_the_last_heartbeat_tells_nothing) {
  auto agent = MakeAgent();
  BOOST_TEST(!TakeRefusal(agent, kStart - milliseconds{1}, kStart + milliseconds{1}));
  BOOST_TEST((StateOf(agent, kStart) == TargetState::kReady));
}

// A target that drains may close its port and still serve its flows.
BOOST_AUTO_TEST_CASE(a_refusal_by_a_draining_target_ends_no_flow) {
  auto agent = MakeAgent();
  TakeHeartbeat(agent, Beat(1, 2, true), kStart);
  BOOST_TEST(!TakeRefusal(agent, kStart + seconds{1}, kStart + seconds{1}));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
}

// The port refused, and yet the target lives: it is believed once it goes on, and its flows are in
// doubt until their next packets.
BOOST_AUTO_TEST_CASE(a_target_that_goes_on_after_a_refusal_is_believed_again) {
  auto agent = MakeAgent();
  FromTarget(agent, Reply(100), kStart);
  const auto refused = kStart + milliseconds{100};
  TakeRefusal(agent, refused, refused);
  TakeHeartbeat(agent, Beat(1, 2), refused + milliseconds{10});
  const auto later = refused + milliseconds{10} + agent.policy.confirmation_interval;
  BOOST_TEST((TakeHeartbeat(agent, Beat(1, 3), later) == HeartbeatOutcome::kChanged));
  BOOST_TEST(!TakeRefusal(agent, later + milliseconds{1}, later + milliseconds{1}));
  const auto query = FlowQuery{kDesk, 1, {{kClient, kRoute}}};
  BOOST_TEST(AnswerQuery(agent, query, later).held.empty());
  BOOST_TEST((AnswerQuery(agent, query, later).unsure.size() == 1U ||
              !AnswerQuery(agent, query, later).unsure.empty()));
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
