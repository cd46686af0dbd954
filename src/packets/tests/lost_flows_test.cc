#include <boost/test/unit_test.hpp>
#include <variant>
#include <vector>

#include "packets/search.h"
#include "packets/tests/search_rig.h"

// Tests when a flow is known to be lost and is reset.
namespace anvildrum::packets::search_tests {
namespace {

// After all machines lost power, 200 clients continue flows that no target knows any more. The
// first packet of each client is answered with a reset, and all agents are queried once for all
// flows that arrived together.
BOOST_AUTO_TEST_CASE(lost_flows_are_reset_whatever_the_number_of_agents) {
  for (const auto count : kSizes) {
    auto rig = Rig{count};
    for (auto port = std::uint16_t{1}; port <= 200; ++port) rig.Route(DataOf(port));
    const auto outcomes = rig.Search();
    BOOST_TEST(Count<FlowLost>(outcomes) == 200U);
    BOOST_TEST(std::get<FlowLost>(outcomes.front()).acknowledged == 4711U);
    const auto& policy = rig.balancer.policy.search;
    BOOST_TEST(rig.queries <= 3 * count + policy.likely);  // 70 in each
    BOOST_TEST(rig.probes == 0U);
  }
}

// Targets beside restarted agents return the packet of a lost flow, and the flow is reset.
BOOST_AUTO_TEST_CASE(a_flow_that_targets_of_young_agents_give_back_is_reset) {
  auto rig = Rig{65};
  for (const auto index : {std::size_t{3}, std::size_t{40}}) {
    rig.agents[index].had_predecessor = true;
  }
  rig.Route(DataOf(9));
  BOOST_TEST(Count<FlowLost>(rig.Search()) == 1U);
  BOOST_TEST(rig.probes == 2U);
}

// One target holds the flow half open and returns nothing; its agent withholds the packet. The flow
// may be alive there or elsewhere, so it must not be reset.
BOOST_AUTO_TEST_CASE(a_flow_that_an_agent_withholds_is_not_reset) {
  auto rig = Rig{5};
  auto& agent = rig.agents[3];
  agent.had_predecessor = true;
  auto packet = DataOf(9);
  packet.stamp = StampFor(rig.balancer, kDesk);
  rig.Deliver(agent, packet);  // the target does not react
  rig.Route(DataOf(9));
  BOOST_TEST((ReasonOf(rig.Search()) == SearchFailure::kUnsettled));
}

// An agent that does not answer may hold the flow.
BOOST_AUTO_TEST_CASE(a_flow_is_not_reset_while_an_agent_does_not_answer) {
  auto rig = Rig{65};
  rig.cut.insert(rig.agents[12].own);
  rig.Route(DataOf(9));
  const auto outcomes = rig.Search();
  BOOST_TEST((ReasonOf(outcomes) == SearchFailure::kNoAnswer));
  BOOST_TEST(std::get<FlowNotFound>(outcomes.front()).agent == rig.agents[12].own);
  const auto& member = rig.balancer.view.members.at(rig.agents[12].own);
  BOOST_TEST(!IsUsable(rig.balancer.view, member, rig.now));
}

// A lost datagram must not make an agent count as missing.
BOOST_AUTO_TEST_CASE(an_agent_that_missed_a_question_is_asked_again) {
  auto rig = Rig{65};
  rig.Route(DataOf(9));
  rig.cut.insert(rig.agents[12].own);
  const auto until = rig.now + SearchPolicy{}.retry_after;
  auto ended = std::vector<SearchOutcome>{};
  while (rig.now < until) {
    const auto step = StepSearches(rig.balancer, rig.now);
    for (const auto& addressed : step.queries) rig.Ask(addressed, ended);
    rig.now += kSearchCheck;
  }
  BOOST_TEST(ended.empty());
  rig.cut.clear();
  BOOST_TEST(Count<FlowLost>(rig.Search()) == 1U);
}

// The agent has reported that its process is stopping; its target continues and holds the flow.
BOOST_AUTO_TEST_CASE(a_flow_is_not_reset_while_an_agent_is_away) {
  auto rig = Rig{5};
  rig.agents[2].stopping = true;
  TakeReport(rig.balancer.view, MakeReport(rig.agents[2], kBalancer, rig.now), rig.now);
  rig.SayHello();
  rig.Route(DataOf(9));
  BOOST_TEST((ReasonOf(rig.Search()) == SearchFailure::kAgentMissing));
}

// Another balancer knows an agent that this one does not know. The digests that the agents answer
// with show it.
BOOST_AUTO_TEST_CASE(a_flow_is_not_reset_while_another_balancer_knows_one_agent_more) {
  auto rig = Rig{5};
  auto hello = Hello{kDesk, {{kFirstAgent + 100, kDesk, 0}}, true};
  hello.digest = DigestOf(hello);
  for (auto& agent : rig.agents) {
    TakeHello(agent, kBalancer + 1, hello, rig.now);
    RefreshPeers(agent, rig.now);
  }
  rig.now += rig.agents.front().policy.settling_time;
  rig.balancer.stall = {};
  for (auto& agent : rig.agents) agent.stall = {};
  rig.Route(DataOf(9));
  BOOST_TEST((ReasonOf(rig.Search()) == SearchFailure::kUnsettled));
}

// Guards against a reset on records that are older than the flow: a new agent may have written a
// record since.
BOOST_AUTO_TEST_CASE(a_flow_is_not_reset_on_old_records) {
  auto rig = Rig{5};
  rig.balancer.records_read_at = rig.now - milliseconds{1};
  rig.platform_answers = false;
  rig.Route(DataOf(9));
  BOOST_TEST((ReasonOf(rig.Search()) == SearchFailure::kRecordsUnread));
  rig.platform_answers = true;
  rig.Route(DataOf(9));
  BOOST_TEST(Count<FlowLost>(rig.Search()) == 1U);
}

// Guards against a reset of a flow whose agent only a balancer knew that has ended: all agents
// agree on their list, which lacks the new one.
BOOST_AUTO_TEST_CASE(a_flow_of_an_agent_that_no_running_balancer_knows_is_served) {
  auto rig = Rig{6};
  const auto newcomer = kFirstAgent + 5;
  rig.Open(5, 9);
  rig.cut = {newcomer};
  rig.balancer.view.members.erase(newcomer);
  rig.balancer.hints.clear();
  rig.SayHello();
  rig.records = {{newcomer, kDesk}};
  rig.Route(DataOf(9));
  BOOST_TEST((ReasonOf(rig.Search()) == SearchFailure::kAgentMissing));

  rig.cut.clear();
  rig.TakeReports();  // the record has made the balancer send a hello
  rig.Route(DataOf(9));
  BOOST_TEST(Count<FlowFound>(rig.Search()) == 1U);
}

// Guards against packets of an open flow that reach one target after the other, again and again,
// while the agent of its own is restarted.
BOOST_AUTO_TEST_CASE(a_target_that_returned_a_packet_of_a_flow_is_sent_no_other_one) {
  auto rig = Rig{5};
  for (auto i = std::size_t{0}; i < 4; ++i) rig.RestartAgent(i);
  rig.Open(4, 9);
  rig.cut = {rig.agents[4].own};
  rig.agents[4].stopping = true;
  TakeReport(rig.balancer.view, MakeReport(rig.agents[4], kBalancer, rig.now), rig.now);
  for (auto attempt = 0; attempt < 2; ++attempt) {
    rig.Route(DataOf(9));
    BOOST_TEST(Count<FlowNotFound>(rig.Search()) == 1U);
    const auto until = rig.now + AgentPolicy{}.ended_idle;
    while (rig.now <= until) rig.Live(milliseconds{50});
    for (auto& agent : rig.agents) DropIdleState(agent, rig.now);  // they forget the flow
  }
  BOOST_TEST(rig.probes == 4U);
}

// Guards against a client that has to send its packet again to an agent that is back by then.
BOOST_AUTO_TEST_CASE(a_packet_waits_for_an_agent_that_is_restarted) {
  auto rig = Rig{5};
  rig.Open(4, 9);
  rig.cut = {rig.agents[4].own};
  rig.agents[4].stopping = true;
  TakeReport(rig.balancer.view, MakeReport(rig.agents[4], kBalancer, rig.now), rig.now);
  rig.Route(DataOf(9));
  auto ended = std::vector<SearchOutcome>{};
  const auto back_at = rig.now + milliseconds{600};
  while (ended.empty() && rig.now < back_at + milliseconds{200}) {
    if (rig.now >= back_at && !rig.cut.empty()) {
      rig.cut.clear();
      rig.agents[4].stopping = false;
      rig.agents[4].start = 2;
      rig.TakeReports();
    }
    rig.Step(ended);
  }
  BOOST_TEST(Count<FlowFound>(ended) == 1U);
}

// Guards against a question that is lost to an agent that has just come back, while another one is
// away for longer.
BOOST_AUTO_TEST_CASE(an_agent_that_returned_and_missed_a_question_is_asked_again) {
  auto rig = Rig{5};
  rig.Open(4, 9);
  const auto holder = rig.agents[4].own;
  const auto other = rig.agents[3].own;
  for (const auto index : {3U, 4U}) {
    rig.agents[index].stopping = true;
    TakeReport(rig.balancer.view, MakeReport(rig.agents[index], kBalancer, rig.now), rig.now);
  }
  rig.cut = {holder, other};
  rig.Route(DataOf(9));
  auto ended = std::vector<SearchOutcome>{};
  const auto back_at = rig.now + milliseconds{600};
  while (ended.empty() && rig.now < back_at) rig.Step(ended);
  rig.agents[4].stopping = false;
  rig.agents[4].start = 2;
  rig.cut = {other};
  rig.TakeReports();
  rig.cut = {holder, other};
  while (ended.empty() && rig.now < back_at + milliseconds{60}) rig.Step(ended);
  rig.cut = {other};
  while (ended.empty() && rig.now < back_at + milliseconds{200}) rig.Step(ended);
  BOOST_TEST(Count<FlowFound>(ended) == 1U);
}

// Guards against a search that ends although the other agents know one that may hold the flow.
BOOST_AUTO_TEST_CASE(an_agent_that_the_others_know_is_searched_too) {
  auto rig = Rig{6};
  const auto newcomer = rig.agents[5].own;
  rig.Open(5, 9);
  rig.balancer.view.members.erase(newcomer);
  rig.balancer.hints.clear();
  rig.records = {{newcomer, kDesk}};
  rig.Route(DataOf(9));
  auto ended = std::vector<SearchOutcome>{};
  for (auto steps = 0; steps < 100 && ended.empty(); ++steps) {
    rig.Step(ended);
    if (rig.balancer.view.members.contains(newcomer)) rig.TakeReports();
  }
  BOOST_TEST(Count<FlowFound>(ended) == 1U);
}

// Guards against a reset on answers from before an agent came, whose target may hold the flow.
BOOST_AUTO_TEST_CASE(an_agent_that_comes_during_the_search_is_searched_too) {
  auto rig = Rig{6};
  const auto newcomer = rig.agents[5].own;
  rig.Open(5, 9);
  rig.cut = {newcomer};
  rig.balancer.view.members.erase(newcomer);
  rig.balancer.hints.clear();
  rig.SayHello();  // the other agents agree with the balancer
  for (auto i = 0; i < 20; ++i) rig.Live(milliseconds{50});
  rig.records = {{newcomer, kDesk}};
  rig.Route(DataOf(9));
  auto ended = std::vector<SearchOutcome>{};
  for (auto steps = 0; steps < 100 && ended.empty(); ++steps) {
    rig.Step(ended);
    if (!rig.balancer.view.members.contains(newcomer)) continue;
    rig.cut.clear();
    rig.TakeReports();
  }
  BOOST_TEST(Count<FlowFound>(ended) == 1U);
}

// Guards against a client's port that is used again and whose new flow is taken for the old one.
BOOST_AUTO_TEST_CASE(an_opening_ends_what_targets_have_denied) {
  auto rig = Rig{2};
  NoteDenial(rig.balancer, FlowOf(9), rig.agents[0].own, rig.now);
  BOOST_TEST(rig.balancer.searches.denials.size() == 1U);
  rig.Route({.source = FlowOf(9).client, .destination = kRoute, .synchronize = true});
  BOOST_TEST(rig.balancer.searches.denials.empty());
}

// Guards against an agent's belief that its target has left which counts as the target's word.
BOOST_AUTO_TEST_CASE(an_agent_without_a_target_denies_nothing_for_it) {
  auto rig = Rig{2};
  auto& agent = rig.agents[0];
  TakeLeave(agent, 1, rig.now);
  const auto later = rig.now + seconds{10};
  const auto verdict = FromPeer(
      agent,
      [&] {
        auto packet = DataOf(9);
        packet.stamp = StampFor(rig.balancer, kDesk);
        TakeRouteAnswer(agent, {kDesk, kRoute, true, true}, later);
        return packet;
      }(),
      later);
  BOOST_TEST(std::get<ReturnToBalancer>(verdict).by_target);
  BOOST_TEST(!std::get<ReturnToBalancer>(verdict).denied);
}

// Guards against denials that are kept for flows that have long ended.
BOOST_AUTO_TEST_CASE(denials_are_forgotten) {
  auto rig = Rig{2};
  NoteDenial(rig.balancer, FlowOf(9), rig.agents[0].own, rig.now);
  ForgetHints(rig.balancer, rig.now + SearchPolicy{}.denial_ttl);
  BOOST_TEST(rig.balancer.searches.denials.size() == 1U);
  ForgetHints(rig.balancer, rig.now + SearchPolicy{}.denial_ttl + milliseconds{1});
  BOOST_TEST(rig.balancer.searches.denials.empty());
}

// The balancer resumes from a pause with the packet in its socket and outdated state.
BOOST_AUTO_TEST_CASE(a_flow_is_not_reset_by_a_packet_that_waited) {
  auto rig = Rig{5};
  rig.now += kStallAfter + milliseconds{1};
  for (auto& agent : rig.agents) agent.stall = {};
  rig.Route(DataOf(9));
  BOOST_TEST((ReasonOf(rig.Search()) == SearchFailure::kNoData));
}

// A draining target closed the flow normally and forgot it; the client's last acknowledgement
// arrives after that. The client has succeeded, and a reset would signal a failure. A client that
// sends a FIN expects an answer.
BOOST_AUTO_TEST_CASE(a_packet_without_data_is_no_reason_for_a_reset) {
  auto rig = Rig{5};
  auto bare = DataOf(9);
  bare.payload = 0;
  rig.Route(bare);
  BOOST_TEST((ReasonOf(rig.Search()) == SearchFailure::kNoData));
  bare.finish = true;
  rig.Route(bare);
  BOOST_TEST(Count<FlowLost>(rig.Search()) == 1U);
}

}  // namespace
}  // namespace anvildrum::packets::search_tests
