#include <boost/test/unit_test.hpp>

#include "agent_test_utils.h"
#include "packets/agent.h"
#include "packets/hello.h"

namespace anvildrum::packets::agent_tests {
namespace {

auto QueryOf(std::uint16_t port) -> FlowQuery {
  return {kDesk, 7, {{{kClient.address, port}, kRoute}}};
}

// Returns whether the agent's answer to a query can prove that a flow is lost, for a process that
// has run without a stall until `now`.
auto IsSettled(Agent agent, base::TimePoint now) -> bool {
  agent.stall = {};
  return AnswerQuery(agent, QueryOf(1), now).settled;
}

// All instances lost power, and clients send packets of flows that no target knows any more. The
// agent has seen its target since the target's first heartbeat, and its list of peers has not
// changed for a while.
BOOST_AUTO_TEST_CASE(an_agent_knows_what_its_target_does_not_hold) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settling_time;
  const auto answer = AnswerQuery(agent, QueryOf(1), settled);
  BOOST_TEST(answer.token == 7U);
  BOOST_TEST(answer.unsure.empty());
  BOOST_TEST(answer.settled);
  BOOST_TEST(answer.peers_digest == MakeHello({kOwn, kOther}).digest);
  BOOST_TEST(answer.held.empty());
  BOOST_TEST(answer.unsure.empty());
}

// The agent was paused with the query in its socket. Meanwhile an agent whose target holds the flow
// came back, so the hellos from before the pause are out of date.
BOOST_AUTO_TEST_CASE(a_query_that_waited_proves_nothing) {
  auto agent = MakeAgent();
  NoteEvent(agent.stall, kStart);
  BOOST_TEST(!AnswerQuery(agent, QueryOf(1), kStart + agent.policy.settling_time).settled);
}

// The agent whose target holds the flow is restarting, or a balancer has not heard of it yet. The
// query did not reach that agent, and a reset would break the flow.
BOOST_AUTO_TEST_CASE(nothing_is_proved_while_an_agent_may_be_missing) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settling_time;
  BOOST_TEST(!IsSettled(agent, kStart));
  BOOST_TEST(IsSettled(agent, settled));
  DeliverHello(agent, kBalancer + 1, MakeHello({kOwn, kOther}, false), settled);
  BOOST_TEST(!IsSettled(agent, settled));
}

// Targets are replaced at one per second while a failure domain is down, so each second one agent
// joins and another one leaves. A leaving agent adds no uncertainty, so flows can be proved lost
// meanwhile.
BOOST_AUTO_TEST_CASE(the_peer_list_stays_settled_when_an_agent_leaves_but_not_when_one_joins) {
  auto agent = MakeAgent();
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther, kOther + 1}), kStart);
  const auto settled = kStart + agent.policy.settling_time;
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther}), settled);
  BOOST_TEST(IsSettled(agent, settled));
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther, kOther + 2}), settled);
  BOOST_TEST(!IsSettled(agent, settled));
  // An agent that replaces one of two counts as one that joins.
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther + 3}),
               settled + agent.policy.settling_time);
  BOOST_TEST(!IsSettled(agent, settled + agent.policy.settling_time));
}

// A hello with another list has arrived, and the query follows before the agent's next check.
BOOST_AUTO_TEST_CASE(a_question_between_checks_counts_the_hellos_that_have_come) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settling_time;
  TakeHello(agent, kBalancer, MakeHello({kOwn}), settled);
  BOOST_TEST(agent.peers_stale);
  const auto answer = AnswerQuery(agent, QueryOf(1), settled);
  BOOST_TEST(answer.settled);
  BOOST_TEST(answer.peers_digest == MakeHello({kOwn}).digest);
  // The list is not recomputed for each query: many hellos and queries at once would use all of the
  // CPU time of a small instance.
  TakeHello(agent, kBalancer, MakeHello({kOwn, kOther}), settled);
  BOOST_TEST(!AnswerQuery(agent, QueryOf(1), settled + milliseconds{5}).settled);
}

// One of 91 balancers, which send a hello every two seconds, knows an agent that the others do not.
// The hello that adds that agent is sent within a tenth of the period.
BOOST_AUTO_TEST_CASE(agents_settle_later_when_hellos_are_less_frequent) {
  auto agent = MakeAgent();
  auto hello = MakeHello({kOwn, kOther});
  hello.every = seconds{2};
  DeliverHello(agent, kBalancer, hello, kStart);
  BOOST_TEST(!IsSettled(agent, kStart + agent.policy.settling_time));
  BOOST_TEST(IsSettled(agent, kStart + milliseconds{500}));
  BOOST_TEST(IsSettled(agent, kStart + seconds{8}));  // a hello counts for four of its periods
  BOOST_TEST(!IsSettled(agent, kStart + seconds{8} + milliseconds{1}));
}

BOOST_AUTO_TEST_CASE(an_agent_that_is_not_among_those_it_is_told_of_proves_nothing) {
  auto agent = MakeAgent();
  DeliverHello(agent, kBalancer, MakeHello({kOther, kOther + 1}, true), kStart);
  BOOST_TEST(!IsSettled(agent, kStart + agent.policy.settling_time));
}

// One balancer knows an agent that the querying one does not. The digests of their lists differ, so
// the querying balancer sees that it has not queried all agents.
BOOST_AUTO_TEST_CASE(an_agent_that_one_balancer_knows_counts_for_all) {
  auto agent = MakeAgent();
  DeliverHello(agent, kBalancer + 1, MakeHello({kOther + 5}, true), kStart);
  const auto settled = kStart + agent.policy.settling_time;
  const auto answer = AnswerQuery(agent, QueryOf(1), settled);
  BOOST_TEST(answer.peers_digest == MakeHello({kOwn, kOther, kOther + 5}).digest);
}

// The address moved from service kMapper to kDesk. The agent still held the peer list of kMapper,
// which contained only itself. It took itself for the only agent of kDesk, and flows of kDesk that
// other targets held were reset.
BOOST_AUTO_TEST_CASE(an_agent_whose_service_changed_proves_nothing_until_it_knows_its_others) {
  auto agent = MakeAgent();
  ChangeService(agent, kMapper, kStart);
  BOOST_TEST(!DeliverHello(agent, kBalancer, MakeHello({kOwn}), kStart));
  BOOST_TEST(DeliverHello(agent, kBalancer, Hello{kMapper, {{kOwn, kMapper}}, true}, kStart));
  ChangeService(agent, kDesk, kStart + seconds{1});
  const auto answer = AnswerQuery(agent, QueryOf(1), kStart + seconds{2});
  BOOST_TEST(!answer.settled);
  BOOST_TEST(!answer.unsure.empty());
}

// The agent restarted beside a running target. It does not know which flows the target holds until
// it has run for longer than any flow is kept, or until the target restarts.
BOOST_AUTO_TEST_CASE(an_agent_that_is_younger_than_its_target_does_not_know_its_flows) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  agent.started_at = kStart;
  NoteEvent(agent.stall, kStart);
  const auto knows = [&](base::TimePoint now) {
    return AnswerQuery(agent, QueryOf(1), now).unsure.empty();
  };
  BOOST_TEST(!knows(kStart));  // no heartbeat of the target yet
  DeliverHeartbeat(agent, MakeHeartbeat(1, 40), kStart);
  BOOST_TEST(!knows(kStart));
  auto runs_long = agent;
  DeliverHeartbeat(runs_long, MakeHeartbeat(1, 140), kStart + agent.policy.flow_age);
  const auto older = kStart + agent.policy.flow_age + milliseconds{1};
  BOOST_TEST(AnswerQuery(runs_long, QueryOf(1), older).unsure.empty());
  DeliverHeartbeat(agent, MakeHeartbeat(2, 1), kStart + seconds{1});
  BOOST_TEST(knows(kStart + seconds{1}));
}

// Guards against a reset of open flows after all processes were killed: an agent took the second
// heartbeat of its target for the first one, and thus itself for the target's first process.
BOOST_AUTO_TEST_CASE(an_agent_whose_target_is_recorded_already_does_not_know_its_flows) {
  const auto knows_flows = [](bool written) {
    auto agent = Agent{};
    agent.own = kOwn;
    agent.service = kDesk;
    agent.started_at = kStart;
    NoteEvent(agent.stall, kStart);
    TakeHeartbeat(agent, MakeHeartbeat(1, 1), kStart);
    BOOST_TEST(!AnswerQuery(agent, QueryOf(1), kStart).unsure.empty());  // no record read yet
    NoteRecorded(agent, {1, std::nullopt}, written);
    return AnswerQuery(agent, QueryOf(1), kStart).unsure.empty();
  };
  BOOST_TEST(!knows_flows(false));
  BOOST_TEST(knows_flows(true));
}

// Guards against openings that a later process of the agent cannot learn of: a new target receives
// none before it is recorded, and without the platform none before its next heartbeat.
BOOST_AUTO_TEST_CASE(a_new_target_receives_openings_once_it_is_recorded) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  TakeHeartbeat(agent, MakeHeartbeat(1, 0), kStart);
  DeliverHello(agent, kBalancer, MakeHello({kOwn}), kStart);
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kStarting));
  BOOST_TEST(std::holds_alternative<Discard>(FromPeer(agent, Opening(), kStart)));

  auto recorded = agent;
  NoteRecorded(recorded, {2, std::nullopt}, true);  // of an earlier target
  BOOST_TEST(AwaitsRecord(recorded));
  NoteRecorded(recorded, {1, std::nullopt}, true);
  BOOST_TEST((MakeReport(recorded, kBalancer, kStart).state == TargetState::kReady));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(recorded, Opening(), kStart)));

  TakeHeartbeat(agent, MakeHeartbeat(1, 1), kStart);
  BOOST_TEST(AwaitsRecord(agent));
  TakeHeartbeat(agent, MakeHeartbeat(1, 2), kStart);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Opening(), kStart)));
}

// The target accepted an opening before its first heartbeat, through an earlier process of the
// agent. A balancer that knew that process reports it, so the agent does not conclude from having
// received the first heartbeat that it knows all flows of the target.
BOOST_AUTO_TEST_CASE(an_agent_whose_earlier_process_was_known_does_not_know_its_targets_flows) {
  auto agent = MakeAgent();
  BOOST_TEST(AnswerQuery(agent, QueryOf(1), kStart).unsure.empty());
  auto hello = MakeHello({kOwn, kOther});
  hello.restarted = {kOther};
  DeliverHello(agent, kBalancer, hello, kStart);
  BOOST_TEST(AnswerQuery(agent, QueryOf(1), kStart).unsure.empty());
  hello.restarted = {kOther, kOwn};
  DeliverHello(agent, kBalancer, hello, kStart);
  BOOST_TEST(!AnswerQuery(agent, QueryOf(1), kStart).unsure.empty());
}

// The target's first heartbeats were lost while the agent's process started. If the target has sent
// fewer heartbeats than fit into the run time of the process, it started after the process.
BOOST_AUTO_TEST_CASE(a_target_that_has_said_little_started_after_an_agent_that_runs_for_long) {
  auto agent = MakeAgent();
  agent.stall.running_since = kStart;
  DeliverHeartbeat(agent, MakeHeartbeat(2, 3), kStart + milliseconds{500});
  BOOST_TEST(!AnswerQuery(agent, QueryOf(1), kStart + milliseconds{500}).unsure.empty());
  DeliverHeartbeat(agent, MakeHeartbeat(3, 3), kStart + seconds{10});
  BOOST_TEST(AnswerQuery(agent, QueryOf(1), kStart + seconds{10}).unsure.empty());
}

// A flood of forged flows filled the agent's flow table, so later flows are not recorded.
BOOST_AUTO_TEST_CASE(an_agent_whose_table_was_full_does_not_know_its_targets_flows) {
  auto agent = MakeAgent();
  agent.policy.max_flows = 1;
  FromPeer(agent, OpeningOf(1, 0), kStart);
  BOOST_TEST(AnswerQuery(agent, QueryOf(2), kStart).unsure.empty());
  FromPeer(agent, OpeningOf(2, 0), kStart);
  BOOST_TEST(!AnswerQuery(agent, QueryOf(2), kStart).unsure.empty());
  DeliverHeartbeat(agent, MakeHeartbeat(2, 1),
                   kStart + seconds{1});  // the next target holds no flows yet
  BOOST_TEST(AnswerQuery(agent, QueryOf(2), kStart + seconds{1}).unsure.empty());
}

// Checks the agent's answer for a flow at each stage.
BOOST_AUTO_TEST_CASE(an_agent_tells_held_flows_from_half_open_ones) {
  auto agent = MakeAgent();
  const auto port = kClient.port;
  FromPeer(agent, Opening(), kStart);
  BOOST_TEST(AnswerQuery(agent, QueryOf(port), kStart).unsure.size() == 1U);
  FromTarget(agent, OpeningAnswer(5000), kStart);
  BOOST_TEST(AnswerQuery(agent, QueryOf(port), kStart).unsure.size() == 1U);
  auto elsewhere = agent;
  auto data = Data();
  data.acknowledged = 5001;
  FromPeer(agent, data, kStart);
  BOOST_TEST(AnswerQuery(agent, QueryOf(port), kStart).held.size() == 1U);
  data.acknowledged = 777001;
  FromPeer(elsewhere, data, kStart);
  const auto other = AnswerQuery(elsewhere, QueryOf(port), kStart);
  BOOST_TEST(other.held.empty());
  BOOST_TEST(other.unsure.empty());
  auto last = Reply(100);
  last.finish = true;
  FromTarget(agent, last, kStart);
  BOOST_TEST(AnswerQuery(agent, QueryOf(port), kStart).held.size() == 1U);
}

// Fails if an agent that was restarted denies an open flow after an old opening of it came late.
BOOST_AUTO_TEST_CASE(a_late_opening_at_a_restarted_agent_does_not_hide_an_open_flow) {
  const auto port = kClient.port;
  auto agent = MakeAgent();
  agent.had_predecessor = true;
  FromPeer(agent, Opening(), kStart);
  FromTarget(agent, OpeningAnswer(5000), kStart);
  auto data = Data();
  data.acknowledged = 7001;  // the client has received 2,000 bytes on this flow
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, data, kStart)));
  BOOST_TEST(AnswerQuery(agent, QueryOf(port), kStart).unsure.size() == 1U);
  const auto reply = FromTarget(agent, Reply(100), kStart);
  BOOST_TEST(std::get<SendToClient>(reply).located_for.has_value());
  BOOST_TEST(AnswerQuery(agent, QueryOf(port), kStart).held.size() == 1U);
}

// A client downloads through a balancer that has just started, and the agent has restarted too. The
// client sends only acknowledgements, but the target's data shows that the target holds the flow.
BOOST_AUTO_TEST_CASE(an_agent_learns_flows_from_what_its_target_sends) {
  auto agent = MakeAgent();
  FromTarget(agent, Reply(1000), kStart);
  BOOST_TEST(AnswerQuery(agent, QueryOf(kClient.port), kStart).held.size() == 1U);
}

// A target that has sent its leave message gets packets for a short time more. After that it holds
// no flows.
BOOST_AUTO_TEST_CASE(a_target_that_left_holds_nothing) {
  auto agent = MakeAgent();
  FromTarget(agent, Reply(1000), kStart);
  const auto left = kStart + agent.policy.late_leave_window;
  TakeLeave(agent, 1, left);
  BOOST_TEST(!AnswerQuery(agent, QueryOf(kClient.port), left).unsure.empty());
  const auto gone = left + agent.policy.leave_grace;
  const auto answer = AnswerQuery(agent, QueryOf(kClient.port), gone);
  BOOST_TEST(answer.unsure.empty());
  BOOST_TEST(answer.held.empty());
  BOOST_TEST(std::get<ReturnToBalancer>(FromPeer(agent, Data(), gone)).by_target);
}

// Many balancers send different lists at once. The agent keeps its previous list until its next
// check, and it proves no flow lost in between.
BOOST_AUTO_TEST_CASE(hellos_count_together_at_the_next_check) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settling_time;
  BOOST_TEST(IsSettled(agent, settled));
  TakeHello(agent, kBalancer + 1, MakeHello({kOwn, kOther, kOther + 1}), settled);
  BOOST_TEST(agent.peers.size() == 2U);
  BOOST_TEST(!IsSettled(agent, settled));
  RefreshPeers(agent, settled);
  BOOST_TEST(agent.peers.size() == 3U);
  BOOST_TEST(IsSettled(agent, settled + agent.policy.settling_time));
}

// A balancer sends the list once and afterwards only its digest. An agent that restarted or missed
// a change must receive the list again.
BOOST_AUTO_TEST_CASE(a_digest_stands_for_a_list_that_the_agent_holds) {
  auto agent = MakeAgent();
  const auto full_hello = MakeHello({kOwn, kOther});
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).wanted_list == 0U);
  auto brief = Hello{kDesk, {}, true, false, full_hello.digest};
  DeliverHello(agent, kBalancer, brief, kStart);
  BOOST_TEST(agent.peers.size() == 2U);
  ++brief.digest;
  DeliverHello(agent, kBalancer, brief, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).wanted_list == brief.digest);
  BOOST_TEST(MakeReport(agent, kBalancer + 1, kStart).wanted_list == 0U);
}

// 91 balancers name the same new list within some milliseconds. If an agent requested the list from
// each of them, it would receive the list 91 times.
BOOST_AUTO_TEST_CASE(a_list_that_many_balancers_name_is_asked_for_once) {
  constexpr auto balancers = Address{91};
  auto agent = MakeAgent();
  const auto next = MakeHello({kOwn, kOther, kOther + 1});
  auto brief = next;
  brief.peers.clear();
  brief.listed = false;
  auto asked = std::vector<Address>{};
  for (auto i = Address{0}; i < balancers; ++i) {
    DeliverHello(agent, kBalancer + i, brief, kStart);
    const auto wanted = MakeReport(agent, kBalancer + i, kStart).wanted_list;
    if (wanted == next.digest) asked.push_back(kBalancer + i);
  }
  BOOST_TEST(asked.size() == 1U);
  BOOST_TEST(!IsSettled(agent, kStart + agent.policy.settling_time));
  DeliverHello(agent, asked.front(), next, kStart);
  for (const auto& [balancer, known] : agent.balancers) BOOST_TEST(known.digest == next.digest);
  BOOST_TEST(agent.peers.size() == 3U);
  DeliverHello(agent, kBalancer + balancers, brief, kStart);  // starts later; no list needed
  BOOST_TEST(MakeReport(agent, kBalancer + balancers, kStart).wanted_list == 0U);
}

// The datagram with the list is lost, or the requested balancer has just exited. The agent requests
// the list from another balancer.
BOOST_AUTO_TEST_CASE(a_list_that_does_not_come_is_asked_for_again) {
  auto agent = MakeAgent();
  const auto brief = Hello{kDesk, {}, true, false, 4711};
  DeliverHello(agent, kBalancer, brief, kStart);
  const auto soon = kStart + agent.policy.list_request_timeout / 2;
  DeliverHello(agent, kBalancer + 1, brief, soon);
  BOOST_TEST(MakeReport(agent, kBalancer + 1, soon).wanted_list == 0U);
  const auto later = kStart + agent.policy.list_request_timeout;
  DeliverHello(agent, kBalancer + 1, brief, later);
  BOOST_TEST(MakeReport(agent, kBalancer + 1, later).wanted_list == brief.digest);
}

// A list arrives in parts, out of order, and one part is lost at first. Until all parts have
// arrived, the agent uses its previous list, and its report makes the balancer send the list again.
BOOST_AUTO_TEST_CASE(a_list_in_parts_counts_once_it_is_whole) {
  auto agent = MakeAgent();
  const auto before = agent.peers;
  auto hello = MakeHello({});
  for (auto i = Address{0}; i < 2 * kAgentsInHello + 1; ++i) {
    hello.peers.push_back({kOther + i, kDesk});
  }
  hello.digest = DigestOf(hello);
  const auto parts = SplitHello(hello);
  BOOST_REQUIRE(parts.size() == 3U);
  DeliverHello(agent, kBalancer, parts[2], kStart);
  DeliverHello(agent, kBalancer, parts[0], kStart);
  BOOST_TEST((agent.peers == before));
  BOOST_TEST(agent.balancers.at(kBalancer).digest != hello.digest);
  auto brief = parts[0];
  brief.peers.clear();
  brief.listed = false;
  DeliverHello(agent, kBalancer, brief, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).wanted_list == hello.digest);
  for (const auto& part : parts) DeliverHello(agent, kBalancer, part, kStart);
  BOOST_TEST(agent.peers.size() == hello.peers.size());
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).wanted_list == 0U);
}

// All balancers have exited and the platform is unreachable, so some agents must hold the
// configuration, whether the service has 200 agents or three. Not all of them hold it, since each
// change is sent to every agent that does.
BOOST_AUTO_TEST_CASE(a_few_agents_of_a_service_keep_the_configuration) {
  for (const auto count : {Address{3}, Address{200}}) {
    auto all = std::vector<Address>{};
    for (auto i = Address{0}; i < count; ++i) all.push_back(kOwn + i);
    auto keepers = std::size_t{0};
    for (const auto own : all) {
      auto agent = MakeAgent();
      agent.own = own;
      DeliverHello(agent, kBalancer, MakeHello(all), kStart);
      keepers += HoldsConfigurationCopy(agent) ? 1 : 0;
    }
    BOOST_TEST(keepers == std::min<std::size_t>(count, kConfigurationCopies));
  }
}

// Restarted balancers know no agents. Agents announce themselves to balancers that have stopped
// sending hellos, a few at a time and the most recently heard ones first.
BOOST_AUTO_TEST_CASE(balancers_that_have_fallen_silent_are_told_of_the_agent) {
  auto agent = MakeAgent();
  auto hello = MakeHello({kOwn, kOther});
  hello.every = milliseconds{250};
  for (auto i = Address{0}; i < 20; ++i) {
    DeliverHello(agent, kBalancer + i, hello, kStart + milliseconds{i});
  }
  BOOST_TEST(SilentBalancers(agent, 8, kStart + milliseconds{500}).empty());
  const auto later = kStart + seconds{1};
  DeliverHello(agent, kBalancer + 19, hello, later);
  const auto silent = SilentBalancers(agent, 8, later);
  BOOST_TEST(silent.size() == 8U);
  BOOST_TEST(silent.front() == kBalancer + 18);
  const auto gone = later + agent.policy.balancer_timeout + milliseconds{1};
  DropIdleState(agent, gone);
  BOOST_TEST(SilentBalancers(agent, 8, gone).empty());
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
