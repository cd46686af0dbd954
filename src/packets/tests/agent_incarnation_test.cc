// Tests of targets that restart under the same id, of delayed heartbeats and leave messages from an
// earlier start, and of heartbeats that another sender writes under the same id.

#include <boost/test/unit_test.hpp>

#include "agent_test_utils.h"
#include "packets/agent.h"

namespace anvildrum::packets::agent_tests {
namespace {

constexpr auto kId = std::uint64_t{1};
constexpr auto kFirstStart = std::uint64_t{1'764'700'000'000};
constexpr auto kSecondStart = kFirstStart + 9'000;
constexpr auto kHeartbeatPeriod = milliseconds{750};

// Returns an agent whose target has reported its start time and has sent nine heartbeats.
auto MakeAgentOfFirstStart() -> Agent {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, 9), kStart);
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther}, true), kStart);
  return agent;
}

auto StateAt(Agent& agent, base::TimePoint now) -> TargetState {
  return MakeReport(agent, kBalancer, now).state;
}

// A target crashes and restarts under its id with a new heartbeat sequence. If the agent took its
// heartbeats for late ones, it would ignore them until the sequence passed the former one, and the
// target would get no opening for as long as it had run before.
BOOST_AUTO_TEST_CASE(a_target_that_starts_again_under_its_id_is_believed_at_once) {
  auto agent = MakeAgentOfFirstStart();
  const auto restarted_at = kStart + seconds{3};
  const auto outcome =
      DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kSecondStart, 1), restarted_at);
  BOOST_TEST((outcome == HeartbeatOutcome::kChanged));
  BOOST_TEST((StateAt(agent, restarted_at) == TargetState::kReady));
  BOOST_TEST(agent.target.last.sequence == 1U);
}

// The restarted target holds no flows. If earlier requests and half-open flows still counted as
// load, an idle target would accept no openings. The expiry of an earlier opening would also end
// the count of a later one of the same flow.
BOOST_AUTO_TEST_CASE(a_restart_forgets_all_flows_of_before) {
  auto agent = MakeAgentOfFirstStart();
  FromPeer(agent, OpeningOf(7, 0), kStart);
  FromPeer(agent, Data(), kStart);
  BOOST_TEST(agent.at_work == 2U);
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kSecondStart, 1), kStart);
  BOOST_TEST(agent.at_work == 0U);
  BOOST_TEST(agent.offered.empty());
}

// Flows without a packet since long before the restart ended with the earlier start. A flow that
// opened just before the first heartbeat of the new start may be held by it, even if a late
// heartbeat of the earlier start came in between. Such a flow is reported as unsure, neither as
// held nor as lost.
BOOST_AUTO_TEST_CASE(flows_that_may_be_of_the_new_start_are_in_doubt) {
  auto agent = MakeAgentOfFirstStart();
  FromPeer(agent, OpeningOf(7, 0), kStart);
  const auto restarted_at = kStart + seconds{10};
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, 10), restarted_at - seconds{1});
  FromPeer(agent, OpeningOf(8, 0), restarted_at - milliseconds{500});
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, 11),
                   restarted_at - milliseconds{100});
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kSecondStart, 1), restarted_at);
  BOOST_TEST(agent.flows.size() == 1U);
  const auto query =
      FlowQuery{kDesk, 1, {{{kClient.address, 7}, kRoute}, {{kClient.address, 8}, kRoute}}};
  const auto answer = AnswerQuery(agent, query, restarted_at);
  BOOST_TEST(answer.held.empty());
  BOOST_TEST((answer.unsure == std::vector<std::uint32_t>{1}));
}

// The target has restarted, and a delayed heartbeat of its earlier start says that it drains. If
// the agent accepted it, a live target would get no more openings.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_the_earlier_start_changes_nothing) {
  auto agent = MakeAgentOfFirstStart();
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kSecondStart, 1), kStart);
  const auto late =
      DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, 10, true), kStart);
  BOOST_TEST((late == HeartbeatOutcome::kStale));
  BOOST_TEST((StateAt(agent, kStart) == TargetState::kReady));
}

// The agent has just started, and the delayed heartbeat is the first one that it receives.
BOOST_AUTO_TEST_CASE(the_later_start_wins_whichever_comes_first) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther}, true), kStart);
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, 10, true), kStart);
  const auto outcome =
      DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kSecondStart, 1), kStart);
  BOOST_TEST((outcome == HeartbeatOutcome::kChanged));
  BOOST_TEST((StateAt(agent, kStart) == TargetState::kReady));
  BOOST_TEST((DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, 11), kStart) ==
              HeartbeatOutcome::kStale));
}

// A target leaves and later starts again under the same id.
BOOST_AUTO_TEST_CASE(an_id_that_has_left_may_come_back) {
  auto agent = MakeAgentOfFirstStart();
  BOOST_TEST(TakeLeave(agent, kId, kStart));
  const auto restarted_at = kStart + seconds{3};
  BOOST_TEST((DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, 99), restarted_at) ==
              HeartbeatOutcome::kStale));
  BOOST_TEST((DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kSecondStart, 1), restarted_at) ==
              HeartbeatOutcome::kChanged));
  BOOST_TEST((StateAt(agent, restarted_at) == TargetState::kReady));
  BOOST_TEST(TakeLeave(agent, kId, restarted_at));
}

// The leave message of an earlier start arrives after the target has restarted. A leave message
// carries only the id. If the agent accepted it at once, the agent would pass on packets of the
// live target's flows and balancers would see no target as missing, so the flows would be reset.
// Instead, the agent treats the target as draining: it gets no opening but keeps its flows until
// its heartbeats stop.
BOOST_AUTO_TEST_CASE(a_leave_that_may_be_of_an_earlier_start_resets_no_flow) {
  auto agent = MakeAgentOfFirstStart();
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kSecondStart, 1), kStart);
  BOOST_TEST(TakeLeave(agent, kId, kStart));
  const auto later = kStart + agent.policy.leave_grace;
  BOOST_TEST((StateAt(agent, later) == TargetState::kDraining));
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), later)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), later)));
  const auto next = kStart + kHeartbeatPeriod;
  BOOST_TEST((DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kSecondStart, 2), next) ==
              HeartbeatOutcome::kChanged));
  BOOST_TEST((StateAt(agent, next) == TargetState::kReady));
}

// As above, but the leave message came from the current start.
BOOST_AUTO_TEST_CASE(a_doubted_leave_is_believed_once_the_target_is_silent) {
  auto agent = MakeAgentOfFirstStart();
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kSecondStart, 1), kStart);
  NoteEvent(agent.stall, kStart);
  TakeLeave(agent, kId, kStart);
  const auto silent = kStart + agent.policy.silent_for + milliseconds{1};
  NoteEvent(agent.stall, silent);
  BOOST_TEST((StateAt(agent, silent) == TargetState::kUnknown));  // the agent was paused meanwhile
  agent.stall.running_since = kStart;                             // the agent ran without a pause
  BOOST_TEST((StateAt(agent, silent) == TargetState::kAbsent));
}

// Long after a start, a leave message can no longer be one of an earlier start. Packets of the
// departed target's flows are passed on to other targets without further delay.
BOOST_AUTO_TEST_CASE(a_leave_long_after_the_start_is_believed_at_once) {
  auto agent = MakeAgentOfFirstStart();
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kSecondStart, 1), kStart);
  const auto later = kStart + agent.policy.late_leave_window;
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kSecondStart, 2, true), later);
  BOOST_TEST(TakeLeave(agent, kId, later));
  BOOST_TEST((StateAt(agent, later + agent.policy.leave_grace) == TargetState::kAbsent));
}

// All agents are killed. The first message that one of them receives after its restart is the leave
// message of its former target. The successor of that target holds flows, and its heartbeat is
// about to arrive.
BOOST_AUTO_TEST_CASE(a_leave_that_is_heard_first_resets_no_flow) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  agent.started_at = kStart;
  NoteEvent(agent.stall, kStart);
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther}, true), kStart);
  TakeLeave(agent, kId, kStart);
  const auto later = kStart + agent.policy.leave_grace;
  BOOST_TEST((StateAt(agent, later) == TargetState::kUnknown));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), later)));
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId + 1, kSecondStart, 9), later);
  BOOST_TEST((StateAt(agent, later) == TargetState::kReady));
}

// An address moves from one service to another while the target id stays the same, and the leave
// message of the earlier service's target arrives late.
BOOST_AUTO_TEST_CASE(a_late_leave_across_a_change_of_service_resets_no_flow) {
  auto agent = MakeAgentOfFirstStart();
  ChangeService(agent, kMapper, kStart);
  auto heartbeat = MakeHeartbeatWithStart(kId, kSecondStart, 1);
  heartbeat.service = kMapper;
  DeliverHeartbeat(agent, heartbeat, kStart);
  TakeLeave(agent, kId, kStart);
  BOOST_TEST((StateAt(agent, kStart + agent.policy.leave_grace) == TargetState::kDraining));
}

// The instance's clock was set back between two starts, so the later start reports the earlier
// time. Only the later one continues to send heartbeats, so its second heartbeat is accepted.
BOOST_AUTO_TEST_CASE(a_later_start_by_a_clock_that_was_set_back_is_believed_when_it_goes_on) {
  auto agent = MakeAgentOfFirstStart();
  const auto earlier_ms = kFirstStart - 30'000;
  const auto restarted_at = kStart + seconds{3};
  BOOST_TEST((DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, earlier_ms, 1), restarted_at) ==
              HeartbeatOutcome::kStale));
  const auto second = DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, earlier_ms, 2),
                                       restarted_at + kHeartbeatPeriod);
  BOOST_TEST((second == HeartbeatOutcome::kChanged));
  BOOST_TEST(agent.target.last.incarnation.started_ms.value_or(0) == earlier_ms);
  BOOST_TEST(agent.flows.empty());
}

// Several delayed heartbeats of a target arrive together after the target has left.
BOOST_AUTO_TEST_CASE(late_heartbeats_that_come_together_prove_nothing) {
  auto agent = MakeAgentOfFirstStart();
  TakeLeave(agent, kId, kStart);
  for (auto sequence = std::uint64_t{10}; sequence < 14; ++sequence) {
    const auto at = kStart + milliseconds{sequence};
    const auto outcome =
        DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, sequence), at);
    BOOST_TEST((outcome == HeartbeatOutcome::kStale));
  }
  BOOST_TEST((StateAt(agent, kStart + agent.policy.leave_grace) == TargetState::kAbsent));
}

// Two senders use one id. The one that started last is accepted as the target. The other's
// heartbeats alternate with its heartbeats and are ignored.
BOOST_AUTO_TEST_CASE(of_two_writers_under_one_id_the_later_start_stays) {
  auto agent = MakeAgentOfFirstStart();
  auto now = kStart;
  for (auto round = std::uint64_t{1}; round < 8; ++round) {
    now += kHeartbeatPeriod / 2;
    const auto other =
        DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart - 5, round, true), now);
    BOOST_TEST((other == HeartbeatOutcome::kStale));
    now += kHeartbeatPeriod / 2;
    const auto own =
        DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, 9 + round), now);
    BOOST_TEST((own == HeartbeatOutcome::kUnchanged));
  }
  BOOST_TEST((StateAt(agent, now) == TargetState::kReady));
}

// Another sender has sent a heartbeat with the target's id and start time and a very large sequence
// number. The target's own sequence would never reach it, so the target would get no openings.
BOOST_AUTO_TEST_CASE(a_sequence_that_ran_ahead_does_not_silence_the_target) {
  auto agent = MakeAgentOfFirstStart();
  DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, std::uint64_t{1} << 63U, true),
                   kStart);
  const auto first = DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, 10),
                                      kStart + kHeartbeatPeriod);
  BOOST_TEST((first == HeartbeatOutcome::kStale));
  const auto second = DeliverHeartbeat(agent, MakeHeartbeatWithStart(kId, kFirstStart, 11),
                                       kStart + 2 * kHeartbeatPeriod);
  BOOST_TEST((second == HeartbeatOutcome::kChanged));
  BOOST_TEST((StateAt(agent, kStart + 2 * kHeartbeatPeriod) == TargetState::kReady));
}

// A target that does not report its start time restarts under the same id.
BOOST_AUTO_TEST_CASE(a_restart_without_a_time_is_believed_when_it_goes_on) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  DeliverHeartbeat(agent, MakeHeartbeat(kId, 500), kStart);
  FromPeer(agent, Data(), kStart);
  const auto restarted_at = kStart + seconds{3};
  BOOST_TEST(
      (DeliverHeartbeat(agent, MakeHeartbeat(kId, 1), restarted_at) == HeartbeatOutcome::kStale));
  const auto second =
      DeliverHeartbeat(agent, MakeHeartbeat(kId, 2), restarted_at + kHeartbeatPeriod);
  BOOST_TEST((second == HeartbeatOutcome::kChanged));
  BOOST_TEST(agent.at_work == 0U);
}

// An agent that runs for months keeps only a bounded number of former starts.
BOOST_AUTO_TEST_CASE(former_starts_that_are_remembered_are_bounded) {
  auto agent = MakeAgentOfFirstStart();
  for (auto start = std::uint64_t{1}; start < 1'000; ++start) {
    DeliverHeartbeat(agent, MakeHeartbeatWithStart(start % 7, kFirstStart + start, 1), kStart);
    TakeLeave(agent, 1'000 + start, kStart);
  }
  BOOST_TEST(agent.target.retired.size() <= kMaxRetired);
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
