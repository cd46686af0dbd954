#include "packets/search.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <variant>
#include <vector>

#include "packets/tests/search_rig.h"

// How a flow that its balancer does not remember is found.
namespace anvildrum::packets::search_tests {
namespace {

// A balancer was rolled; the flow's packets come by another one, which remembers nothing. Its
// target was the third of its order. The balancer asks a few agents, however many there are, and no
// other target sees a packet: three packets at others and none at its own would break the flow.
BOOST_AUTO_TEST_CASE(a_flow_that_nobody_remembers_is_found_by_few_questions) {
  for (const auto count : kSizes) {
    auto rig = Rig{count};
    const auto holder = AgentAt(rig, 9, 2);
    FromTarget(rig.agents[holder], ReplyOf(9), rig.now);
    BOOST_TEST(std::holds_alternative<AwaitSearch>(rig.Route(DataOf(9))));
    const auto outcomes = rig.Search();
    BOOST_REQUIRE(Count<FlowFound>(outcomes) == 1U);
    BOOST_TEST(std::get<FlowFound>(outcomes.front()).holder.agent == rig.agents[holder].own);
    BOOST_TEST(rig.queries <= SearchPolicy{}.likely);
    BOOST_TEST(rig.probes == 0U);
    const auto next = rig.Route(DataOf(9));
    BOOST_TEST(std::get<ForwardToAgent>(next).agent == rig.agents[holder].own);
  }
}

// The opening was placed far down the order, while those before it were busy.
BOOST_AUTO_TEST_CASE(a_flow_at_the_end_of_its_order_is_found_by_its_first_packet) {
  for (const auto count : kSizes) {
    auto rig = Rig{count};
    const auto holder = AgentAt(rig, 9, count - 1);
    FromTarget(rig.agents[holder], ReplyOf(9), rig.now);
    rig.Route(DataOf(9));
    BOOST_TEST(Count<FlowFound>(rig.Search()) == 1U);
    BOOST_TEST(rig.queries <= count + SearchPolicy{}.likely);
    BOOST_TEST(rig.probes == 0U);
  }
}

// A balancer has ended and its 500 flows come to this one. That many unknown ones are no reason to
// ask everybody: each is found at the head of its order.
BOOST_AUTO_TEST_CASE(many_forgotten_flows_are_found_by_few_questions_each) {
  auto rig = Rig{200};
  for (auto port = std::uint16_t{1}; port <= 500; ++port) {
    FromTarget(rig.agents[AgentAt(rig, port, port % 3)], ReplyOf(port), rig.now);
    rig.Route(DataOf(port));
  }
  BOOST_TEST(Count<FlowFound>(rig.Search()) == 500U);
  BOOST_TEST(rig.queries <= 500 * SearchPolicy{}.likely);
}

// All agents were started again at once beside their targets, and none knows its flows: the packet
// goes to the likely targets first. Sent to all 65, each packet came back from 64, and balancers
// and agents had no time left for anything else.
BOOST_AUTO_TEST_CASE(a_flow_among_young_agents_is_looked_for_at_the_likely_ones_first) {
  auto rig = Rig{65};
  for (auto& agent : rig.agents) agent.had_predecessor = true;
  const auto holder = rig.agents[AgentAt(rig, 9, 2)].own;
  rig.held.insert({holder, FlowOf(9)});
  rig.Route(DataOf(9));
  rig.Search();
  BOOST_TEST(rig.probes <= SearchPolicy{}.likely);
  BOOST_TEST(std::get<ForwardToAgent>(rig.Route(DataOf(9))).agent == holder);
  const auto far = rig.agents[AgentAt(rig, 10, 60)].own;
  rig.held.insert({far, FlowOf(10)});
  rig.Route(DataOf(10));
  rig.Search();
  BOOST_TEST(std::get<ForwardToAgent>(rig.Route(DataOf(10))).agent == far);
}

// What a young agent's target gave back it does not hold: the client's next packet need not go
// there again.
BOOST_AUTO_TEST_CASE(a_flow_that_was_given_back_is_known_not_to_be_held) {
  auto rig = Rig{5};
  auto& agent = rig.agents[3];
  agent.had_predecessor = true;
  rig.cut.insert(rig.agents[0].own);  // so that nothing is proved
  rig.Route(DataOf(9));
  rig.Search();
  BOOST_TEST(rig.probes == 1U);
  rig.Route(DataOf(9));
  rig.Search();
  BOOST_TEST(rig.probes == 1U);
}

// Flows of 1,000 clients stay lost while their agents cannot be asked at once: questions are kept
// to their rate, and packets that come meanwhile share the next ones.
BOOST_AUTO_TEST_CASE(questions_to_all_agents_keep_to_their_rate) {
  auto rig = Rig{200};
  auto asked = std::size_t{0};
  const auto begin = rig.now;
  for (auto port = std::uint16_t{1}; port <= 1000; ++port) {
    rig.Route(DataOf(port));
    if (port % 10 != 0) continue;
    const auto step = StepSearches(rig.balancer, rig.now);
    asked += step.queries.size();
    rig.now += milliseconds{10};
  }
  const auto took = std::chrono::duration<double>(rig.now - begin).count();
  const auto& policy = rig.balancer.policy.search;
  // Each agent is asked again twice before its round ends, as none answers here.
  const auto most = 3 * (static_cast<double>(policy.queries_per_second) * took + 200) +
                    static_cast<double>(policy.likely);
  BOOST_TEST(static_cast<double>(asked) <= most);
}

// A target lives on while the agent beside it is started again; the agent does not know its flows.
// The flow's packet shows where it is, and goes to targets of such agents alone.
BOOST_AUTO_TEST_CASE(a_flow_beside_an_agent_that_was_started_again_is_found_by_its_packet) {
  auto rig = Rig{65};
  for (const auto index : {std::size_t{3}, std::size_t{40}}) {
    rig.agents[index].had_predecessor = true;
  }
  rig.held.insert({rig.agents[40].own, FlowOf(9)});
  rig.Route(DataOf(9));
  const auto outcomes = rig.Search();
  BOOST_TEST(Count<FlowLost>(outcomes) == 0U);
  BOOST_TEST(rig.probes == 2U);
  BOOST_TEST(std::get<ForwardToAgent>(rig.Route(DataOf(9))).agent == rig.agents[40].own);
}

// A target of a young agent works on the request and answers only when it is done. The others have
// given the packet back: it is there, and nobody else needs to be asked.
BOOST_AUTO_TEST_CASE(a_flow_whose_packet_does_not_come_back_is_taken_to_be_there) {
  auto rig = Rig{65};
  for (auto& agent : rig.agents) agent.had_predecessor = true;
  const auto busy = rig.agents[AgentAt(rig, 9, 1)].own;
  rig.silent.insert({busy, FlowOf(9)});
  rig.Route(DataOf(9));
  const auto began = rig.now;
  BOOST_TEST(Count<FlowPresumed>(rig.Search()) == 1U);
  BOOST_TEST((rig.now - began < milliseconds{60}));
  BOOST_TEST(rig.probes <= SearchPolicy{}.likely);
  BOOST_TEST(std::get<ForwardToAgent>(rig.Route(DataOf(9))).agent == busy);
}

// The silent target held the flow half open, and its agent withholds every other packet for that.
// The flow is open at another one, beside a young agent too: it is asked then.
BOOST_AUTO_TEST_CASE(a_flow_that_was_not_where_it_was_taken_to_be_is_searched_further) {
  auto rig = Rig{65};
  for (auto& agent : rig.agents) agent.had_predecessor = true;
  const auto half_open = rig.agents[AgentAt(rig, 9, 1)].own;
  const auto holder = rig.agents[AgentAt(rig, 9, 50)].own;
  rig.silent.insert({half_open, FlowOf(9)});
  rig.held.insert({holder, FlowOf(9)});
  rig.Route(DataOf(9));
  rig.Search();
  auto packet = DataOf(9);
  packet.stamp = std::get<ForwardToAgent>(rig.Route(packet)).stamp;
  const auto verdict = FromPeer(rig.agents[half_open - kFirstAgent], packet, rig.now);
  BOOST_REQUIRE(!std::get<GiveBack>(verdict).by_target);
  HandleReturnedPacket(rig.balancer, packet, half_open, false, rig.now);
  BOOST_TEST(Count<FlowLost>(rig.Search()) == 0U);
  BOOST_TEST(std::get<ForwardToAgent>(rig.Route(DataOf(9))).agent == holder);
}

// The hint was wrong: the agent's target gives the packet back. Its balancer searches with it.
BOOST_AUTO_TEST_CASE(a_packet_that_was_given_back_is_searched_with) {
  auto rig = Rig{65};
  FromTarget(rig.agents[40], ReplyOf(9), rig.now);
  rig.Route(DataOf(9));
  rig.balancer.searches = {};
  HandleFlowLocated(rig.balancer, FlowOf(9), rig.agents[3].own, rig.now);
  BOOST_TEST(std::get<ForwardToAgent>(rig.Route(DataOf(9))).agent == rig.agents[3].own);
  const auto step = HandleReturnedPacket(rig.balancer, DataOf(9), rig.agents[3].own, true, rig.now);
  BOOST_TEST(step.keep);
  const auto outcomes = rig.Search();
  BOOST_REQUIRE(Count<FlowFound>(outcomes) == 1U);
  BOOST_TEST(std::get<FlowFound>(outcomes.front()).holder.agent == rig.agents[40].own);
}

// Meanwhile the balancer has learned where the flow is: the packet follows.
BOOST_AUTO_TEST_CASE(a_packet_that_was_given_back_follows_what_is_known_by_then) {
  auto rig = Rig{5};
  rig.Route(DataOf(9));
  rig.balancer.searches = {};
  HandleFlowLocated(rig.balancer, FlowOf(9), rig.agents[2].own, rig.now);
  const auto step = HandleReturnedPacket(rig.balancer, DataOf(9), rig.agents[3].own, true, rig.now);
  BOOST_REQUIRE(step.outcomes.size() == 1U);
  BOOST_TEST(std::get<FlowFound>(step.outcomes.front()).holder.agent == rig.agents[2].own);
}

// More searches than the table holds: their packets are dropped, and the process lives.
BOOST_AUTO_TEST_CASE(a_flood_of_unknown_flows_fills_no_more_than_the_searches) {
  auto rig = Rig{5};
  rig.balancer.policy.search.max_searches = 10;
  for (auto port = std::uint16_t{1}; port <= 10; ++port) rig.Route(DataOf(port));
  const auto verdict = rig.Route(DataOf(11));
  BOOST_REQUIRE(std::holds_alternative<Discard>(verdict));
  BOOST_TEST((std::get<Discard>(verdict).reason == DiscardReason::kTooManySearches));
  BOOST_TEST(rig.balancer.searches.flows.size() == 10U);
}

// The agent's address went to another service while the question was on its way. A packet that
// followed what the balancer knows of the agent by then would be taken by a target of that service.
BOOST_AUTO_TEST_CASE(a_found_flow_keeps_the_service_that_was_asked_for) {
  auto rig = Rig{5};
  FromTarget(rig.agents[2], ReplyOf(9), rig.now);
  rig.Route(DataOf(9));
  const auto step = StepSearches(rig.balancer, rig.now);
  auto outcomes = std::vector<SearchOutcome>{};
  for (const auto& addressed : step.queries) {
    const auto answer =
        AnswerQuery(rig.agents[addressed.agent - kFirstAgent], addressed.query, rig.now);
    for (auto& [agent, member] : rig.balancer.view.members) member.service = base::ServiceId{22};
    rig.Apply(TakeAnswer(rig.balancer, answer, rig.now), outcomes);
  }
  BOOST_REQUIRE(Count<FlowFound>(outcomes) == 1U);
  BOOST_TEST((std::get<FlowFound>(outcomes.front()).holder.service == kDesk));
  auto moved = FlowAnswer{kFirstAgent, base::ServiceId{22}, 1, true, 0, {0}, {}};
  auto other = Rig{5};
  other.Route(DataOf(9));
  moved.token = StepSearches(other.balancer, other.now).queries.front().query.token;
  BOOST_TEST(TakeAnswer(other.balancer, moved, other.now).empty());
}

// An answer that names places beyond the question's, comes twice, or from an agent that was not
// asked, changes nothing.
BOOST_AUTO_TEST_CASE(answers_that_cannot_be_are_left_out) {
  auto rig = Rig{65};
  rig.Route(DataOf(9));
  const auto step = StepSearches(rig.balancer, rig.now);
  const auto token = step.queries.front().query.token;
  const auto asked = step.queries.front().agent;
  auto answer = FlowAnswer{asked, kDesk, token, true, 0, {70, 4'000'000'000U}, {1}};
  BOOST_TEST(TakeAnswer(rig.balancer, answer, rig.now).empty());
  answer.held = {0};
  BOOST_TEST(TakeAnswer(rig.balancer, answer, rig.now).empty());  // again
  answer.agent = kFirstAgent + 500;
  BOOST_TEST(TakeAnswer(rig.balancer, answer, rig.now).empty());
  answer.token = token + 100;
  BOOST_TEST(TakeAnswer(rig.balancer, answer, rig.now).empty());
}

}  // namespace
}  // namespace anvildrum::packets::search_tests
