// Targets that start again under the id that they had, heartbeats and leaves of an earlier start
// that come late, and heartbeats of other writers under the same id.

#include <boost/test/unit_test.hpp>

#include "agent_rig.h"
#include "packets/agent.h"

namespace anvildrum::packets::agent_tests {
namespace {

constexpr auto kId = std::uint64_t{1};
constexpr auto kFirstStart = std::uint64_t{1'764'700'000'000};
constexpr auto kSecondStart = kFirstStart + 9'000;
constexpr auto kBeatPeriod = milliseconds{750};

// An agent whose target has told when it started, and has said nine heartbeats.
auto MakeAgentOfFirstStart() -> Agent {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  TakeHeartbeat(agent, BeatOf(kId, kFirstStart, 9), kStart);
  Greet(agent, kBalancer, HelloOf({kOwn, kOther}, true), kStart);
  return agent;
}

auto StateAt(Agent& agent, base::TimePoint now) -> TargetState {
  return MakeReport(agent, kBalancer, now).state;
}

// A target crashes and starts again under its id; its sequence starts anew. Taken for late, its
// heartbeats would be ignored until the sequence has passed the former one: the target would get
// no opening for as long as it had run before.
BOOST_AUTO_TEST_CASE(a_target_that_starts_again_under_its_id_is_believed_at_once) {
  auto agent = MakeAgentOfFirstStart();
  const auto again = kStart + seconds{3};
  const auto outcome = TakeHeartbeat(agent, BeatOf(kId, kSecondStart, 1), again);
  BOOST_TEST((outcome == HeartbeatOutcome::kChanged));
  BOOST_TEST((StateAt(agent, again) == TargetState::kReady));
  BOOST_TEST(agent.target.last.sequence == 1U);
}

// The restarted target holds nothing. Requests and half-open flows of before, counted as load,
// would close an idle target; an offer of before would also end the count of a later one of the
// same flow.
BOOST_AUTO_TEST_CASE(a_restart_forgets_all_flows_of_before) {
  auto agent = MakeAgentOfFirstStart();
  FromPeer(agent, OpeningOf(7, 0), kStart);
  FromPeer(agent, Data(), kStart);
  BOOST_TEST(agent.at_work == 2U);
  TakeHeartbeat(agent, BeatOf(kId, kSecondStart, 1), kStart);
  BOOST_TEST(agent.at_work == 0U);
  BOOST_TEST(agent.offered.empty());
}

// Flows that were quiet since long before the new start are gone with the earlier one. One that was
// opened a moment before its first heartbeat may be held by it, though a late heartbeat of the
// earlier start came in between: it is neither said to be held nor to be nowhere.
BOOST_AUTO_TEST_CASE(flows_that_may_be_of_the_new_start_are_in_doubt) {
  auto agent = MakeAgentOfFirstStart();
  FromPeer(agent, OpeningOf(7, 0), kStart);
  const auto again = kStart + seconds{10};
  TakeHeartbeat(agent, BeatOf(kId, kFirstStart, 10), again - seconds{1});
  FromPeer(agent, OpeningOf(8, 0), again - milliseconds{500});
  TakeHeartbeat(agent, BeatOf(kId, kFirstStart, 11), again - milliseconds{100});
  TakeHeartbeat(agent, BeatOf(kId, kSecondStart, 1), again);
  BOOST_TEST(agent.flows.size() == 1U);
  const auto query =
      FlowQuery{kDesk, 1, {{{kClient.address, 7}, kRoute}, {{kClient.address, 8}, kRoute}}};
  const auto answer = AnswerQuery(agent, query, again);
  BOOST_TEST(answer.held.empty());
  BOOST_TEST((answer.unsure == std::vector<std::uint32_t>{1}));
}

// The target has started again; a heartbeat of its earlier start was held up and says that it
// drains. Believed, it would take all openings from a live target.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_the_earlier_start_changes_nothing) {
  auto agent = MakeAgentOfFirstStart();
  TakeHeartbeat(agent, BeatOf(kId, kSecondStart, 1), kStart);
  const auto late = TakeHeartbeat(agent, BeatOf(kId, kFirstStart, 10, true), kStart);
  BOOST_TEST((late == HeartbeatOutcome::kStale));
  BOOST_TEST((StateAt(agent, kStart) == TargetState::kReady));
}

// The agent has just started, and the late heartbeat is the first that it hears.
BOOST_AUTO_TEST_CASE(the_later_start_wins_whichever_comes_first) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  TakeHeartbeat(agent, BeatOf(kId, kFirstStart, 10, true), kStart);
  const auto outcome = TakeHeartbeat(agent, BeatOf(kId, kSecondStart, 1), kStart);
  BOOST_TEST((outcome == HeartbeatOutcome::kChanged));
  BOOST_TEST((StateAt(agent, kStart) == TargetState::kReady));
  BOOST_TEST(
      (TakeHeartbeat(agent, BeatOf(kId, kFirstStart, 11), kStart) == HeartbeatOutcome::kStale));
}

// A target leaves, and starts again later under the id that it had.
BOOST_AUTO_TEST_CASE(an_id_that_has_left_may_come_back) {
  auto agent = MakeAgentOfFirstStart();
  BOOST_TEST(TakeLeave(agent, kId, kStart));
  const auto again = kStart + seconds{3};
  BOOST_TEST(
      (TakeHeartbeat(agent, BeatOf(kId, kFirstStart, 99), again) == HeartbeatOutcome::kStale));
  BOOST_TEST(
      (TakeHeartbeat(agent, BeatOf(kId, kSecondStart, 1), again) == HeartbeatOutcome::kChanged));
  BOOST_TEST((StateAt(agent, again) == TargetState::kReady));
  BOOST_TEST(TakeLeave(agent, kId, again));
}

// The leave of an earlier start comes late, when the target has started again. A leave names the id
// alone. Believed at once, it would make the agent pass packets of the live target's flows on, and
// the balancers count nobody as missing: the flows would be reset. The target has not said that it
// drains, so that it is given no opening, but keeps its flows until it falls silent.
BOOST_AUTO_TEST_CASE(a_leave_that_may_be_of_an_earlier_start_resets_no_flow) {
  auto agent = MakeAgentOfFirstStart();
  TakeHeartbeat(agent, BeatOf(kId, kSecondStart, 1), kStart);
  BOOST_TEST(TakeLeave(agent, kId, kStart));
  const auto later = kStart + agent.policy.leave_grace;
  BOOST_TEST((StateAt(agent, later) == TargetState::kDraining));
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Opening(), later)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), later)));
  const auto next = kStart + kBeatPeriod;
  BOOST_TEST(
      (TakeHeartbeat(agent, BeatOf(kId, kSecondStart, 2), next) == HeartbeatOutcome::kChanged));
  BOOST_TEST((StateAt(agent, next) == TargetState::kReady));
}

// The same, and the leave was the live start's own.
BOOST_AUTO_TEST_CASE(a_doubted_leave_is_believed_once_the_target_is_silent) {
  auto agent = MakeAgentOfFirstStart();
  TakeHeartbeat(agent, BeatOf(kId, kSecondStart, 1), kStart);
  NoteEvent(agent.stall, kStart);
  TakeLeave(agent, kId, kStart);
  const auto silent = kStart + agent.policy.silent_for + milliseconds{1};
  NoteEvent(agent.stall, silent);
  BOOST_TEST((StateAt(agent, silent) == TargetState::kUnknown));  // it was paused all the while
  agent.stall.running_since = kStart;                             // it ran all the time
  BOOST_TEST((StateAt(agent, silent) == TargetState::kAbsent));
}

// No call of the earlier start is that late any more: packets of the flows of a target that left go
// on to the others at once.
BOOST_AUTO_TEST_CASE(a_leave_long_after_the_start_is_believed_at_once) {
  auto agent = MakeAgentOfFirstStart();
  TakeHeartbeat(agent, BeatOf(kId, kSecondStart, 1), kStart);
  const auto later = kStart + agent.policy.late_leave_window;
  TakeHeartbeat(agent, BeatOf(kId, kSecondStart, 2, true), later);
  BOOST_TEST(TakeLeave(agent, kId, later));
  BOOST_TEST((StateAt(agent, later + agent.policy.leave_grace) == TargetState::kAbsent));
}

// All agents are killed; the first thing that one of them hears after its start is the leave of the
// target that stood beside it before. The next one holds flows, and its heartbeat comes in a
// moment.
BOOST_AUTO_TEST_CASE(a_leave_that_is_heard_first_resets_no_flow) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  agent.started_at = kStart;
  NoteEvent(agent.stall, kStart);
  Greet(agent, kBalancer, HelloOf({kOwn, kOther}, true), kStart);
  TakeLeave(agent, kId, kStart);
  const auto later = kStart + agent.policy.leave_grace;
  BOOST_TEST((StateAt(agent, later) == TargetState::kUnknown));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), later)));
  TakeHeartbeat(agent, BeatOf(kId + 1, kSecondStart, 9), later);
  BOOST_TEST((StateAt(agent, later) == TargetState::kReady));
}

// An address changes hands between services under one id, and the leave of the earlier service's
// target comes late.
BOOST_AUTO_TEST_CASE(a_late_leave_across_a_change_of_service_resets_no_flow) {
  auto agent = MakeAgentOfFirstStart();
  ChangeService(agent, kMapper, kStart);
  auto beat = BeatOf(kId, kSecondStart, 1);
  beat.service = kMapper;
  TakeHeartbeat(agent, beat, kStart);
  TakeLeave(agent, kId, kStart);
  BOOST_TEST((StateAt(agent, kStart + agent.policy.leave_grace) == TargetState::kDraining));
}

// The machine's clock was set back between two starts, so that the later one tells the earlier
// time. It goes on saying heartbeats and the earlier one does not: the second one is believed.
BOOST_AUTO_TEST_CASE(a_later_start_by_a_clock_that_was_set_back_is_believed_when_it_goes_on) {
  auto agent = MakeAgentOfFirstStart();
  const auto before = kFirstStart - 30'000;
  const auto again = kStart + seconds{3};
  BOOST_TEST((TakeHeartbeat(agent, BeatOf(kId, before, 1), again) == HeartbeatOutcome::kStale));
  const auto second = TakeHeartbeat(agent, BeatOf(kId, before, 2), again + kBeatPeriod);
  BOOST_TEST((second == HeartbeatOutcome::kChanged));
  BOOST_TEST(agent.target.last.incarnation.started_ms.value_or(0) == before);
  BOOST_TEST(agent.flows.empty());
}

// Several heartbeats of a target that is gone were held up and come together, after it has left.
BOOST_AUTO_TEST_CASE(late_heartbeats_that_come_together_prove_nothing) {
  auto agent = MakeAgentOfFirstStart();
  TakeLeave(agent, kId, kStart);
  for (auto sequence = std::uint64_t{10}; sequence < 14; ++sequence) {
    const auto at = kStart + milliseconds{sequence};
    const auto outcome = TakeHeartbeat(agent, BeatOf(kId, kFirstStart, sequence), at);
    BOOST_TEST((outcome == HeartbeatOutcome::kStale));
  }
  BOOST_TEST((StateAt(agent, kStart + agent.policy.leave_grace) == TargetState::kAbsent));
}

// Two writers use one id. The one that started last is believed; the other's heartbeats come
// between its own and prove nothing.
BOOST_AUTO_TEST_CASE(of_two_writers_under_one_id_the_later_start_stays) {
  auto agent = MakeAgentOfFirstStart();
  auto now = kStart;
  for (auto round = std::uint64_t{1}; round < 8; ++round) {
    now += kBeatPeriod / 2;
    const auto other = TakeHeartbeat(agent, BeatOf(kId, kFirstStart - 5, round, true), now);
    BOOST_TEST((other == HeartbeatOutcome::kStale));
    now += kBeatPeriod / 2;
    const auto own = TakeHeartbeat(agent, BeatOf(kId, kFirstStart, 9 + round), now);
    BOOST_TEST((own == HeartbeatOutcome::kUnchanged));
  }
  BOOST_TEST((StateAt(agent, now) == TargetState::kReady));
}

// Another writer has said a heartbeat under the target's id and start, with the largest sequence.
// The target's own are behind it for ever, and would leave it without openings.
BOOST_AUTO_TEST_CASE(a_sequence_that_ran_ahead_does_not_silence_the_target) {
  auto agent = MakeAgentOfFirstStart();
  TakeHeartbeat(agent, BeatOf(kId, kFirstStart, std::uint64_t{1} << 63U, true), kStart);
  const auto first = TakeHeartbeat(agent, BeatOf(kId, kFirstStart, 10), kStart + kBeatPeriod);
  BOOST_TEST((first == HeartbeatOutcome::kStale));
  const auto second = TakeHeartbeat(agent, BeatOf(kId, kFirstStart, 11), kStart + 2 * kBeatPeriod);
  BOOST_TEST((second == HeartbeatOutcome::kChanged));
  BOOST_TEST((StateAt(agent, kStart + 2 * kBeatPeriod) == TargetState::kReady));
}

// A target that does not tell its start begins again under its id.
BOOST_AUTO_TEST_CASE(a_restart_without_a_time_is_believed_when_it_goes_on) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  TakeHeartbeat(agent, Beat(kId, 500), kStart);
  FromPeer(agent, Data(), kStart);
  const auto again = kStart + seconds{3};
  BOOST_TEST((TakeHeartbeat(agent, Beat(kId, 1), again) == HeartbeatOutcome::kStale));
  const auto second = TakeHeartbeat(agent, Beat(kId, 2), again + kBeatPeriod);
  BOOST_TEST((second == HeartbeatOutcome::kChanged));
  BOOST_TEST(agent.at_work == 0U);
}

// Whatever comes, an agent that lives for months keeps a bounded number of former starts.
BOOST_AUTO_TEST_CASE(former_starts_that_are_remembered_are_bounded) {
  auto agent = MakeAgentOfFirstStart();
  for (auto start = std::uint64_t{1}; start < 1'000; ++start) {
    TakeHeartbeat(agent, BeatOf(start % 7, kFirstStart + start, 1), kStart);
    TakeLeave(agent, 1'000 + start, kStart);
  }
  BOOST_TEST(agent.target.retired.size() <= kMaxRetired);
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
