#include <boost/test/unit_test.hpp>

#include "agent_rig.h"
#include "packets/agent.h"
#include "packets/hello.h"

namespace anvildrum::packets::agent_tests {
namespace {

// All machines lost power; clients go on with flows that no target knows any more. Without an
// answer each of them waits until its deadline and fails, though a new flow would serve it.
BOOST_AUTO_TEST_CASE(a_flow_that_every_target_gave_back_is_reset) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settle_for;
  BOOST_TEST(std::holds_alternative<ResetFlow>(FromTarget(agent, LastOfRound(agent), settled)));
}

// The last agent of a round was paused with the packet in its socket. Meanwhile an agent came back
// that the round had left out, and that holds the flow; what balancers said before the pause is
// old.
BOOST_AUTO_TEST_CASE(a_flow_is_not_reset_by_a_packet_that_waited) {
  auto agent = MakeAgent();
  NoteEvent(agent.stall, kStart);
  const auto woken = kStart + agent.policy.settle_for;
  const auto verdict = FromTarget(agent, LastOfRound(agent), woken);
  BOOST_TEST(std::holds_alternative<Discard>(verdict));
}

// A draining target ended the flow in good order and forgot it; the client's last acknowledgement
// comes after that and is given back by all. The client is content; a reset would say otherwise.
BOOST_AUTO_TEST_CASE(a_packet_without_data_is_no_reason_for_a_reset) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settle_for;
  auto last = LastOfRound(agent);
  last.payload = 0;
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, last, settled)));
}

// The flow's own agent is started again at that moment, or a balancer has not heard of it yet: the
// round missed the target that holds the flow, and a reset would break it.
BOOST_AUTO_TEST_CASE(a_flow_is_not_reset_while_an_agent_may_be_missing) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settle_for;
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, LastOfRound(agent), kStart)));
  TakeHello(agent, kBalancer + 1, HelloOf({kOwn, kOther}, false), settled);
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, LastOfRound(agent), settled)));
}

// The agents on the way did not know the same others: one of them passed the packet on to an agent
// that this one doesn't count, and the round ended one short of the target that holds the flow.
BOOST_AUTO_TEST_CASE(a_round_among_agents_that_know_different_others_proves_nothing) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settle_for;
  auto last = LastOfRound(agent);
  ++last.stamp.peers_digest;
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, last, settled)));
}

BOOST_AUTO_TEST_CASE(a_round_by_an_agent_that_is_not_among_the_others_proves_nothing) {
  auto agent = MakeAgent();
  TakeHello(agent, kBalancer, HelloOf({kOther, kOther + 1}, true), kStart);
  auto data = Returned(Data());
  data.stamp.refusable = true;
  const auto settled = kStart + agent.policy.settle_for;
  const auto verdict = FromTarget(agent, data, settled);
  BOOST_TEST(!std::get<ForwardToAgent>(verdict).stamp.refusable);
}

BOOST_AUTO_TEST_CASE(an_agent_that_one_balancer_knows_is_asked_for_all) {
  auto agent = MakeAgent();
  TakeHello(agent, kBalancer + 1, HelloOf({kOther + 5}, true), kStart);
  const auto settled = kStart + agent.policy.settle_for;
  BOOST_TEST(
      std::holds_alternative<ForwardToAgent>(FromTarget(agent, LastOfRound(agent), settled)));
}

// One target holds the flow half open and another one held it open until it ended: the half-open
// one gives nothing back, so it is not known whether the flow is alive somewhere.
BOOST_AUTO_TEST_CASE(a_flow_that_opened_elsewhere_is_passed_on_without_the_right_to_reset_it) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(false), kStart);
  auto answer = Reply(0);
  answer.synchronize = true;
  answer.sequence = 5000;
  FromTarget(agent, answer, kStart);
  auto data = Data();
  data.acknowledged = 777001;
  data.stamp.refusable = true;
  const auto verdict = FromPeer(agent, data, kStart);
  BOOST_TEST(!std::get<ForwardToAgent>(verdict).stamp.refusable);
}

// The list is sent once; after that its digest says that it is the same. An agent that was started
// again, or missed a change, has to get the list anew.
BOOST_AUTO_TEST_CASE(a_digest_stands_for_a_list_that_the_agent_holds) {
  auto agent = MakeAgent();
  const auto whole = HelloOf({kOwn, kOther});
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).wanted_list == 0U);
  auto brief = Hello{kDesk, {}, true, false, whole.digest};
  TakeHello(agent, kBalancer, brief, kStart);
  BOOST_TEST(agent.peers.size() == 2U);
  ++brief.digest;
  TakeHello(agent, kBalancer, brief, kStart);
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
    TakeHello(agent, kBalancer + i, brief, kStart);
    const auto wanted = MakeReport(agent, kBalancer + i, kStart).wanted_list;
    if (wanted == next.digest) asked.push_back(kBalancer + i);
  }
  BOOST_TEST(asked.size() == 1U);
  const auto settled = kStart + agent.policy.settle_for;
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, LastOfRound(agent), settled)));
  TakeHello(agent, asked.front(), next, kStart);
  for (const auto& [balancer, known] : agent.balancers) BOOST_TEST(known.digest == next.digest);
  BOOST_TEST(agent.peers.size() == 3U);
  TakeHello(agent, kBalancer + balancers, brief, kStart);  // starts later, and need not tell it
  BOOST_TEST(MakeReport(agent, kBalancer + balancers, kStart).wanted_list == 0U);
}

// The datagram with the list is lost, or its balancer has just ended: another one is asked.
BOOST_AUTO_TEST_CASE(a_list_that_does_not_come_is_asked_for_again) {
  auto agent = MakeAgent();
  const auto brief = Hello{kDesk, {}, true, false, 4711};
  TakeHello(agent, kBalancer, brief, kStart);
  const auto soon = kStart + agent.policy.list_within / 2;
  TakeHello(agent, kBalancer + 1, brief, soon);
  BOOST_TEST(MakeReport(agent, kBalancer + 1, soon).wanted_list == 0U);
  const auto later = kStart + agent.policy.list_within;
  TakeHello(agent, kBalancer + 1, brief, later);
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
  TakeHello(agent, kBalancer, parts[2], kStart);
  TakeHello(agent, kBalancer, parts[0], kStart);
  BOOST_TEST((agent.peers == before));
  BOOST_TEST(agent.balancers.at(kBalancer).digest != hello.digest);
  auto brief = parts[0];
  brief.peers.clear();
  brief.listed = false;
  TakeHello(agent, kBalancer, brief, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).wanted_list == hello.digest);
  for (const auto& part : parts) TakeHello(agent, kBalancer, part, kStart);
  BOOST_TEST(agent.peers.size() == hello.peers.size());
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).wanted_list == 0U);
}

// A service has more agents than a packet can count on its way: 38 targets are being replaced, and
// the new ones stand beside the old. The way ends before it has been at all of them, and proves
// nothing.
BOOST_AUTO_TEST_CASE(a_way_that_ended_for_its_length_is_no_whole_round) {
  auto agent = MakeAgent();
  auto many = std::vector<Address>{};
  for (auto i = Address{0}; i < 70; ++i) many.push_back(kOwn + i);
  TakeHello(agent, kBalancer, HelloOf(many), kStart);
  auto last = LastOfRound(agent);
  last.stamp.hops = kMaxHops;
  const auto settled = kStart + agent.policy.settle_for;
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, last, settled)));
}

// The address went from mapper to desk. The agent still knew mapper's agents, itself alone, took
// the round as done at once, and reset flows of desk that others held.
BOOST_AUTO_TEST_CASE(an_agent_whose_service_changed_proves_nothing_until_it_knows_its_others) {
  auto agent = MakeAgent();
  ChangeService(agent, kMapper, kStart);
  BOOST_TEST(!TakeHello(agent, kBalancer, HelloOf({kOwn}), kStart));
  BOOST_TEST(TakeHello(agent, kBalancer, Hello{kMapper, {{kOwn, kMapper}}, true}, kStart));
  ChangeService(agent, kDesk, kStart + seconds{1});
  auto data = Returned(Data());
  data.stamp.refusable = true;
  const auto later = kStart + seconds{2};
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, data, later)));
}

}  // namespace
}  // namespace anvildrum::packets::agent_tests
