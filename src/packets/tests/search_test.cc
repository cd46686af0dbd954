#include "packets/search.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <variant>
#include <vector>

#include "packets/tests/search_rig.h"

// Tests how a balancer finds a flow for which it has no hint.
namespace anvildrum::packets::search_tests {
namespace {

// After a rolling restart, the flow's packets arrive at another balancer, which has no hint. The
// flow's target is the third of its order. The balancer queries only a few agents, however many
// there are, and no other target receives a packet: three packets to other targets and none to its
// own would break the flow.
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

// The opening was placed far down the order because the agents before were busy.
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

// A balancer has ended, and its 500 flows arrive at this one. So many unknown flows must not cause
// queries to all agents, since each flow is found at the head of its order.
BOOST_AUTO_TEST_CASE(many_forgotten_flows_are_found_by_few_questions_each) {
  auto rig = Rig{200};
  for (auto port = std::uint16_t{1}; port <= 500; ++port) {
    FromTarget(rig.agents[AgentAt(rig, port, port % 3)], ReplyOf(port), rig.now);
    rig.Route(DataOf(port));
  }
  BOOST_TEST(Count<FlowFound>(rig.Search()) == 500U);
  BOOST_TEST(rig.queries <= 500 * SearchPolicy{}.likely);
}

// All agents restarted at once beside their targets and know no flows, so the packet goes to the
// likely targets first. If it went to all 65, 64 of them would return it, and balancers and agents
// would have no time left for anything else.
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

// A target that returned a packet to a young agent does not hold the flow, so the client's next
// packet need not go there again.
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

// The flows of 1,000 clients are lost, and the agents cannot be queried for all of them at once.
// Queries stay within their rate limit, and packets that arrive in between share the next ones.
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
  // Each agent is queried again twice before its round ends, since none answers here.
  const auto most = 3 * (static_cast<double>(policy.queries_per_second) * took + 200) +
                    static_cast<double>(policy.likely);
  BOOST_TEST(static_cast<double>(asked) <= most);
}

// A target continues while the agent beside it restarts, so the agent does not know its flows. The
// flow's packet shows where the flow is held, and goes only to targets of such agents.
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

// The target of a young agent processes the request and answers only when it is done. The others
// have returned the packet, so the flow is there, and no other agent needs to be queried.
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

// The silent target holds the flow half open, so its agent withholds every other packet. The flow
// is open at another target, also beside a young agent, which must be queried then.
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
  BOOST_REQUIRE(!std::get<ReturnToBalancer>(verdict).by_target);
  HandleReturnedPacket(rig.balancer, packet, half_open, false, rig.now);
  BOOST_TEST(Count<FlowLost>(rig.Search()) == 0U);
  BOOST_TEST(std::get<ForwardToAgent>(rig.Route(DataOf(9))).agent == holder);
}

// The hint was wrong, and the agent's target returns the packet. The balancer starts a search.
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

// The balancer has learned in the meantime where the flow is, so the packet is forwarded there.
BOOST_AUTO_TEST_CASE(a_packet_that_was_given_back_follows_what_is_known_by_then) {
  auto rig = Rig{5};
  rig.Route(DataOf(9));
  rig.balancer.searches = {};
  HandleFlowLocated(rig.balancer, FlowOf(9), rig.agents[2].own, rig.now);
  const auto step = HandleReturnedPacket(rig.balancer, DataOf(9), rig.agents[3].own, true, rig.now);
  BOOST_REQUIRE(step.outcomes.size() == 1U);
  BOOST_TEST(std::get<FlowFound>(step.outcomes.front()).holder.agent == rig.agents[2].own);
}

// If there are more searches than the table holds, their packets are dropped, so that the process
// does not run out of memory.
BOOST_AUTO_TEST_CASE(a_flood_of_unknown_flows_fills_no_more_than_the_searches) {
  auto rig = Rig{5};
  rig.balancer.policy.search.max_searches = 10;
  for (auto port = std::uint16_t{1}; port <= 10; ++port) rig.Route(DataOf(port));
  const auto verdict = rig.Route(DataOf(11));
  BOOST_REQUIRE(std::holds_alternative<Discard>(verdict));
  BOOST_TEST((std::get<Discard>(verdict).reason == DiscardReason::kTooManySearches));
  BOOST_TEST(rig.balancer.searches.flows.size() == 10U);
}

// Another service took over the agent's address while the query was in transit. If a packet were
// stamped with the agent's new service, a target of that service would accept it.
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

// An answer has no effect if its indices are out of the query's range, if it is a duplicate, or if
// it is from an agent that was not queried.
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
