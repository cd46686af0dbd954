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
  BOOST_TEST((ReasonOf(rig.Search()) == SearchFailure::kUnsettled));
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
