#include <boost/test/unit_test.hpp>

#include "agent_rig.h"
#include "packets/agent.h"
#include "packets/hello.h"

namespace anvildrum::packets::agent_tests {
namespace {

auto QueryOf(std::uint16_t port) -> FlowQuery {
  return {kDesk, 7, {{{kClient.address, port}, kRoute}}};
}

// Whether it can prove something; the process has run without a stall until then.
auto Settles(Agent agent, base::TimePoint now) -> bool {
  agent.stall = {};
  return AnswerQuery(agent, QueryOf(1), now).settled;
}

// All machines lost power; clients go on with flows that no target knows any more. The agent has
// seen its target from its first heartbeat on, and has heard of the same others for a while.
BOOST_AUTO_TEST_CASE(an_agent_knows_what_its_target_does_not_hold) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settling_time;
  const auto answer = AnswerQuery(agent, QueryOf(1), settled);
  BOOST_TEST(answer.token == 7U);
  BOOST_TEST(answer.unsure.empty());
  BOOST_TEST(answer.settled);
  BOOST_TEST(answer.peers_digest == HelloOf({kOwn, kOther}).digest);
  BOOST_TEST(answer.held.empty());
  BOOST_TEST(answer.unsure.empty());
}

// The agent was paused with the query in its socket. Meanwhile an agent came back that holds the
// flow; what balancers said before the pause is old.
BOOST_AUTO_TEST_CASE(a_query_that_waited_proves_nothing) {
  auto agent = MakeAgent();
  NoteEvent(agent.stall, kStart);
  BOOST_TEST(!AnswerQuery(agent, QueryOf(1), kStart + agent.policy.settling_time).settled);
}

// The flow's own agent is started again at that moment, or a balancer has not heard of it yet: the
// question missed the target that holds the flow, and a reset would break it.
BOOST_AUTO_TEST_CASE(nothing_is_proved_while_an_agent_may_be_missing) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settling_time;
  BOOST_TEST(!Settles(agent, kStart));
  BOOST_TEST(Settles(agent, settled));
  Greet(agent, kBalancer + 1, HelloOf({kOwn, kOther}, false), settled);
  BOOST_TEST(!Settles(agent, settled));
}

// Targets are replaced one a second while a failure domain is off: each second an agent comes and
// another one goes. The one that goes leaves nothing unknown, and flows are proved lost meanwhile.
BOOST_AUTO_TEST_CASE(an_agent_that_goes_unsettles_nobody_and_one_that_comes_does) {
  auto agent = MakeAgent();
  Greet(agent, kBalancer, HelloOf({kOwn, kOther, kOther + 1}), kStart);
  const auto settled = kStart + agent.policy.settling_time;
  Greet(agent, kBalancer, HelloOf({kOwn, kOther}), settled);
  BOOST_TEST(Settles(agent, settled));
  Greet(agent, kBalancer, HelloOf({kOwn, kOther, kOther + 2}), settled);
  BOOST_TEST(!Settles(agent, settled));
  // One of two that changes places with another is one that comes.
  Greet(agent, kBalancer, HelloOf({kOwn, kOther + 3}), settled + agent.policy.settling_time);
  BOOST_TEST(!Settles(agent, settled + agent.policy.settling_time));
}

// A hello with another list has come, and the question follows before the agent's next check.
BOOST_AUTO_TEST_CASE(a_question_between_checks_counts_the_hellos_that_have_come) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settling_time;
  TakeHello(agent, kBalancer, HelloOf({kOwn}), settled);
  BOOST_TEST(agent.peers_stale);
  const auto answer = AnswerQuery(agent, QueryOf(1), settled);
  BOOST_TEST(answer.settled);
  BOOST_TEST(answer.peers_digest == HelloOf({kOwn}).digest);
  // Not at each question: a rush of hellos and questions would take all of a small machine.
  TakeHello(agent, kBalancer, HelloOf({kOwn, kOther}), settled);
  BOOST_TEST(!AnswerQuery(agent, QueryOf(1), settled + milliseconds{5}).settled);
}

// One of 91 balancers that greet once in two seconds knows an agent that the others do not; it is
// told of within a tenth of that.
BOOST_AUTO_TEST_CASE(where_balancers_greet_less_often_agents_settle_later) {
  auto agent = MakeAgent();
  auto hello = HelloOf({kOwn, kOther});
  hello.every = seconds{2};
  Greet(agent, kBalancer, hello, kStart);
  BOOST_TEST(!Settles(agent, kStart + agent.policy.settling_time));
  BOOST_TEST(Settles(agent, kStart + milliseconds{500}));
  BOOST_TEST(Settles(agent, kStart + seconds{8}));  // four of its periods
  BOOST_TEST(!Settles(agent, kStart + seconds{8} + milliseconds{1}));
}

BOOST_AUTO_TEST_CASE(an_agent_that_is_not_among_those_it_is_told_of_proves_nothing) {
  auto agent = MakeAgent();
  Greet(agent, kBalancer, HelloOf({kOther, kOther + 1}, true), kStart);
  BOOST_TEST(!Settles(agent, kStart + agent.policy.settling_time));
}

// One balancer knows an agent that the asking one does not: their digests differ, and the balancer
// that asks finds that it has not asked them all.
BOOST_AUTO_TEST_CASE(an_agent_that_one_balancer_knows_counts_for_all) {
  auto agent = MakeAgent();
  Greet(agent, kBalancer + 1, HelloOf({kOther + 5}, true), kStart);
  const auto settled = kStart + agent.policy.settling_time;
  const auto answer = AnswerQuery(agent, QueryOf(1), settled);
  BOOST_TEST(answer.peers_digest == HelloOf({kOwn, kOther, kOther + 5}).digest);
}

// The address went from mapper to desk. The agent still knew mapper's agents, itself alone, took
// itself for the only one of desk, and flows of desk that others held were reset.
BOOST_AUTO_TEST_CASE(an_agent_whose_service_changed_proves_nothing_until_it_knows_its_others) {
  auto agent = MakeAgent();
  ChangeService(agent, kMapper, kStart);
  BOOST_TEST(!Greet(agent, kBalancer, HelloOf({kOwn}), kStart));
  BOOST_TEST(Greet(agent, kBalancer, Hello{kMapper, {{kOwn, kMapper}}, true}, kStart));
  ChangeService(agent, kDesk, kStart + seconds{1});
  const auto answer = AnswerQuery(agent, QueryOf(1), kStart + seconds{2});
  BOOST_TEST(!answer.settled);
  BOOST_TEST(!answer.unsure.empty());
}

// The agent was started again beside a target that lives: it does not know what the target holds,
// until it runs for longer than any flow is kept, or the target starts anew.
BOOST_AUTO_TEST_CASE(an_agent_that_is_younger_than_its_target_does_not_know_its_flows) {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  agent.started_at = kStart;
  NoteEvent(agent.stall, kStart);
  const auto knows = [&](base::TimePoint now) {
    return AnswerQuery(agent, QueryOf(1), now).unsure.empty();
  };
  BOOST_TEST(!knows(kStart));  // it has not heard of its target yet
  TakeHeartbeat(agent, Beat(1, 40), kStart);
  BOOST_TEST(!knows(kStart));
  auto runs_long = agent;
  TakeHeartbeat(runs_long, Beat(1, 140), kStart + agent.policy.flow_age);
  const auto older = kStart + agent.policy.flow_age + milliseconds{1};
  BOOST_TEST(AnswerQuery(runs_long, QueryOf(1), older).unsure.empty());
  TakeHeartbeat(agent, Beat(2, 1), kStart + seconds{1});
  BOOST_TEST(knows(kStart + seconds{1}));
}

// The target had taken an opening before its first heartbeat, by an earlier process of the agent. A
// balancer that knew that one says so, and the agent does not rely on having heard the first.
BOOST_AUTO_TEST_CASE(an_agent_whose_earlier_process_was_known_does_not_know_its_targets_flows) {
  auto agent = MakeAgent();
  BOOST_TEST(AnswerQuery(agent, QueryOf(1), kStart).unsure.empty());
  auto hello = HelloOf({kOwn, kOther});
  hello.restarted = {kOther};
  Greet(agent, kBalancer, hello, kStart);
  BOOST_TEST(AnswerQuery(agent, QueryOf(1), kStart).unsure.empty());
  hello.restarted = {kOther, kOwn};
  Greet(agent, kBalancer, hello, kStart);
  BOOST_TEST(!AnswerQuery(agent, QueryOf(1), kStart).unsure.empty());
}

// The target's first heartbeats were lost while the process started. It cannot have been there
// before, where it has sent fewer heartbeats than the process runs for.
BOOST_AUTO_TEST_CASE(a_target_that_has_said_little_started_after_an_agent_that_runs_for_long) {
  auto agent = MakeAgent();
  agent.stall.running_since = kStart;
  TakeHeartbeat(agent, Beat(2, 3), kStart + milliseconds{500});
  BOOST_TEST(!AnswerQuery(agent, QueryOf(1), kStart + milliseconds{500}).unsure.empty());
  TakeHeartbeat(agent, Beat(3, 3), kStart + seconds{10});
  BOOST_TEST(AnswerQuery(agent, QueryOf(1), kStart + seconds{10}).unsure.empty());
}

// A flood of made-up flows filled the agent's table; what came after it is not remembered.
BOOST_AUTO_TEST_CASE(an_agent_whose_table_was_full_does_not_know_its_targets_flows) {
  auto agent = MakeAgent();
  agent.policy.max_flows = 1;
  FromPeer(agent, OpeningOf(1, 0), kStart);
  BOOST_TEST(AnswerQuery(agent, QueryOf(2), kStart).unsure.empty());
  FromPeer(agent, OpeningOf(2, 0), kStart);
  BOOST_TEST(!AnswerQuery(agent, QueryOf(2), kStart).unsure.empty());
  TakeHeartbeat(agent, Beat(2, 1), kStart + seconds{1});  // the next target holds nothing yet
  BOOST_TEST(AnswerQuery(agent, QueryOf(2), kStart + seconds{1}).unsure.empty());
}

// What the agent says of a flow at each of its stages.
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

// A client downloads through a balancer that has just started, and the agent has been started
// again too. The client sends acknowledgements alone; the target's data shows that it holds the
// flow.
BOOST_AUTO_TEST_CASE(an_agent_learns_flows_from_what_its_target_sends) {
  auto agent = MakeAgent();
  FromTarget(agent, Reply(1000), kStart);
  BOOST_TEST(AnswerQuery(agent, QueryOf(kClient.port), kStart).held.size() == 1U);
}

// A target that said that it leaves is delivered packets for a moment more, and then holds nothing.
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

// Lists that differ come from many balancers at once. What the agent knew before holds until its
// next check, and it proves nothing in between.
BOOST_AUTO_TEST_CASE(hellos_count_together_at_the_next_check) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settling_time;
  BOOST_TEST(Settles(agent, settled));
  TakeHello(agent, kBalancer + 1, HelloOf({kOwn, kOther, kOther + 1}), settled);
  BOOST_TEST(agent.peers.size() == 2U);
  BOOST_TEST(!Settles(agent, settled));
  RefreshPeers(agent, settled);
  BOOST_TEST(agent.peers.size() == 3U);
  BOOST_TEST(Settles(agent, settled + agent.policy.settling_time));
}

// The list is sent once; after that its digest says that it is the same. An agent that was started
// again, or missed a change, has to get the list anew.
BOOST_AUTO_TEST_CASE(a_digest_stands_for_a_list_that_the_agent_holds) {
  auto agent = MakeAgent();
  const auto whole = HelloOf({kOwn, kOther});
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).wanted_list == 0U);
  auto brief = Hello{kDesk, {}, true, false, whole.digest};
  Greet(agent, kBalancer, brief, kStart);
  BOOST_TEST(agent.peers.size() == 2U);
  ++brief.digest;
  Greet(agent, kBalancer, brief, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).wanted_list == brief.digest);
  BOOST_TEST(MakeReport(agent, kBalancer + 1, kStart).wanted_list == 0U);
}

// 91 balancers name the same new list within some milliseconds. Asked for it by each agent, they
// would send it 91 times to each.
BOOST_AUTO_TEST_CASE(a_list_that_many_balancers_name_is_asked_for_once) {
  constexpr auto balancers = Address{91};
  auto agent = MakeAgent();
  const auto next = HelloOf({kOwn, kOther, kOther + 1});
  auto brief = next;
  brief.peers.clear();
  brief.listed = false;
  auto asked = std::vector<Address>{};
  for (auto i = Address{0}; i < balancers; ++i) {
    Greet(agent, kBalancer + i, brief, kStart);
    const auto wanted = MakeReport(agent, kBalancer + i, kStart).wanted_list;
    if (wanted == next.digest) asked.push_back(kBalancer + i);
  }
  BOOST_TEST(asked.size() == 1U);
  BOOST_TEST(!Settles(agent, kStart + agent.policy.settling_time));
  Greet(agent, asked.front(), next, kStart);
  for (const auto& [balancer, known] : agent.balancers) BOOST_TEST(known.digest == next.digest);
  BOOST_TEST(agent.peers.size() == 3U);
  Greet(agent, kBalancer + balancers, brief, kStart);  // starts later, and need not tell it
  BOOST_TEST(MakeReport(agent, kBalancer + balancers, kStart).wanted_list == 0U);
}

// The datagram with the list is lost, or its balancer has just ended: another one is asked.
BOOST_AUTO_TEST_CASE(a_list_that_does_not_come_is_asked_for_again) {
  auto agent = MakeAgent();
  const auto brief = Hello{kDesk, {}, true, false, 4711};
  Greet(agent, kBalancer, brief, kStart);
  const auto soon = kStart + agent.policy.list_request_timeout / 2;
  Greet(agent, kBalancer + 1, brief, soon);
  BOOST_TEST(MakeReport(agent, kBalancer + 1, soon).wanted_list == 0U);
  const auto later = kStart + agent.policy.list_request_timeout;
  Greet(agent, kBalancer + 1, brief, later);
  BOOST_TEST(MakeReport(agent, kBalancer + 1, later).wanted_list == brief.digest);
}

// A list comes in parts, out of order, and one is lost at first. Until all have come the agent goes
// by what it was told before, and its report makes the balancer send the list again.
BOOST_AUTO_TEST_CASE(a_list_in_parts_counts_once_it_is_whole) {
  auto agent = MakeAgent();
  const auto before = agent.peers;
  auto hello = HelloOf({});
  for (auto i = Address{0}; i < 2 * kAgentsInHello + 1; ++i) {
    hello.peers.push_back({kOther + i, kDesk});
  }
  hello.digest = DigestOf(hello);
  const auto parts = SplitHello(hello);
  BOOST_REQUIRE(parts.size() == 3U);
  Greet(agent, kBalancer, parts[2], kStart);
  Greet(agent, kBalancer, parts[0], kStart);
  BOOST_TEST((agent.peers == before));
  BOOST_TEST(agent.balancers.at(kBalancer).digest != hello.digest);
  auto brief = parts[0];
  brief.peers.clear();
  brief.listed = false;
  Greet(agent, kBalancer, brief, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).wanted_list == hello.digest);
  for (const auto& part : parts) Greet(agent, kBalancer, part, kStart);
  BOOST_TEST(agent.peers.size() == hello.peers.size());
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).wanted_list == 0U);
}

// All balancers have ended and the platform is away: some agents have to have the configuration, of
// 200 as of three, and not all of them, since each change of it goes to each that keeps it.
BOOST_AUTO_TEST_CASE(a_few_agents_of_a_service_keep_the_configuration) {
  for (const auto count : {Address{3}, Address{200}}) {
    auto all = std::vector<Address>{};
    for (auto i = Address{0}; i < count; ++i) all.push_back(kOwn + i);
    auto keepers = std::size_t{0};
    for (const auto own : all) {
      auto agent = MakeAgent();
      agent.own = own;
      Greet(agent, kBalancer, HelloOf(all), kStart);
      keepers += HoldsConfigurationCopy(agent) ? 1 : 0;
    }
    BOOST_TEST(keepers == std::min<std::size_t>(count, kConfigurationCopies));
  }
}

// Balancers that were started again know nobody; agents tell those that have fallen silent of
// themselves, the last heard first and a few at a time.
BOOST_AUTO_TEST_CASE(balancers_that_have_fallen_silent_are_told_of_the_agent) {
  auto agent = MakeAgent();
  auto hello = HelloOf({kOwn, kOther});
  hello.every = milliseconds{250};
  for (auto i = Address{0}; i < 20; ++i) {
    Greet(agent, kBalancer + i, hello, kStart + milliseconds{i});
  }
  BOOST_TEST(SilentBalancers(agent, 8, kStart + milliseconds{500}).empty());
  const auto later = kStart + seconds{1};
  Greet(agent, kBalancer + 19, hello, later);
  const auto silent = SilentBalancers(agent, 8, later);
  BOOST_TEST(silent.size() == 8U);
  BOOST_TEST(silent.front() == kBalancer + 18);
  const auto gone = later + agent.policy.balancer_timeout + milliseconds{1};
  DropIdleState(agent, gone);
  BOOST_TEST(SilentBalancers(agent, 8, gone).empty());
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
