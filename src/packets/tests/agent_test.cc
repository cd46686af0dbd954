#include "packets/agent.h"

#include <boost/test/unit_test.hpp>

#include "packets/hello.h"

namespace anvildrum::packets {
namespace {

using base::milliseconds;
using base::seconds;

constexpr auto kStart = base::TimePoint{seconds{1000}};
constexpr auto kOwn = Address{0x0a010001};
constexpr auto kOther = Address{0x0a010002};
constexpr auto kBalancer = Address{0x0a010009};
constexpr auto kDesk = base::ServiceId{11};
constexpr auto kMapper = base::ServiceId{22};
constexpr auto kClient = End{0x64400007, 40001};
constexpr auto kRoute = End{0xc6120001, 443};

auto HelloOf(const std::vector<Address>& agents, bool complete = true) -> Hello {
  auto hello = Hello{kDesk, {}, complete};
  for (const auto agent : agents) hello.peers.push_back({agent, kDesk});
  hello.digest = DigestOf(hello);
  return hello;
}

auto Beat(std::uint64_t incarnation, std::uint64_t sequence, bool draining = false) -> Heartbeat {
  return {.incarnation = incarnation,
          .service = kDesk,
          .sequence = sequence,
          .draining = draining,
          .slots = 4};
}

/// An agent of desk with a ready target and one peer.
auto MakeAgent() -> Agent {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  TakeHeartbeat(agent, Beat(1, 1), kStart);
  TakeHello(agent, kBalancer, HelloOf({kOwn, kOther}, true), kStart);
  return agent;
}

auto Opening(bool sole = true) -> Packet {
  auto packet = Packet{.source = kClient, .destination = kRoute};
  packet.synchronize = true;
  packet.stamp = {0, sole, 0, TagOf(kDesk)};
  return packet;
}

auto OpeningOf(std::uint16_t port, std::uint32_t copy) -> Packet {
  auto packet = Opening();
  packet.source.port = port;
  packet.acknowledged = copy;
  return packet;
}

auto Data() -> Packet {
  auto packet = Packet{.source = kClient, .destination = kRoute};
  packet.acknowledge = true;
  packet.payload = 100;
  packet.stamp = {0, false, 0, TagOf(kDesk)};
  return packet;
}

auto Returned(Packet packet) -> Packet {
  packet.returned = true;
  return packet;
}

auto Reply(std::uint16_t payload) -> Packet {
  auto packet = Packet{.source = kRoute, .destination = kClient};
  packet.acknowledge = true;
  packet.payload = payload;
  return packet;
}

BOOST_AUTO_TEST_CASE(packets_go_to_the_target_and_replies_to_the_client) {
  auto agent = MakeAgent();
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Opening(), kStart)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST(std::holds_alternative<SendToClient>(FromTarget(agent, Reply(10), kStart)));
}

// A balancer still has the record of desk for an address that mapper uses now, and sends it an
// opening of desk. Mapper would serve it. The stamp names the service that was chosen.
BOOST_AUTO_TEST_CASE(a_packet_for_another_service_is_never_delivered) {
  auto agent = MakeAgent();
  auto packet = Opening();
  packet.stamp.service_tag = TagOf(kMapper);
  const auto verdict = FromPeer(agent, packet, kStart);
  BOOST_TEST(std::holds_alternative<Discard>(verdict));
  BOOST_TEST(agent.counters.wrong_service == 1U);
}

// The agent was restarted and remembers nothing; or the flow's owner is another. The target gives
// the packet back, and it goes on to the next agent until each has been asked once.
BOOST_AUTO_TEST_CASE(what_the_target_gives_back_is_passed_on_once_round) {
  auto agent = MakeAgent();
  const auto verdict = FromTarget(agent, Returned(Data()), kStart);
  const auto* forward = std::get_if<ForwardToAgent>(&verdict);
  BOOST_REQUIRE(forward != nullptr);
  BOOST_TEST(forward->agent == kOther);
  BOOST_TEST(forward->stamp.hops == 1);
  auto again = Returned(Data());
  again.stamp.hops = 1;
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, again, kStart)));
}

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
  TakeHello(agent, kBalancer, HelloOf({kOwn, kOther}, true), kStart);
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

BOOST_AUTO_TEST_CASE(a_flood_of_flows_fills_no_more_than_the_agents_table) {
  auto agent = MakeAgent();
  agent.policy.most_flows = 3;
  for (auto port = std::uint16_t{1}; port <= 50; ++port) {
    FromPeer(agent, OpeningOf(port, 0), kStart);
  }
  BOOST_TEST(agent.flows.size() == 3U);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
}

// A reset is true only for an opening that has been offered nowhere else; another offer of it may
// have opened the flow, and the reset would break it.
BOOST_AUTO_TEST_CASE(only_a_sole_opening_that_nobody_takes_is_refused) {
  auto agent = MakeAgent();
  auto last = Returned(Opening(true));
  last.stamp.hops = 1;
  BOOST_TEST(std::holds_alternative<RefuseOpening>(FromTarget(agent, last, kStart)));
  last.stamp.refusable = false;
  BOOST_TEST(std::holds_alternative<Discard>(FromTarget(agent, last, kStart)));
}

/// A packet of a flow that came round all agents; each target gave it back.
auto LastOfRound(const Agent& agent) -> Packet {
  auto packet = Returned(Data());
  packet.stamp.hops = 1;
  packet.stamp.refusable = true;
  packet.stamp.peers_digest = agent.peers_digest;
  return packet;
}

// The process was paused, and wakes with an opening in its socket that its client has long since
// sent again. A copy was taken by another target and the flow is open; refused now, it would be
// reset.
BOOST_AUTO_TEST_CASE(an_opening_that_waited_while_the_process_stood_still_is_not_refused) {
  auto agent = MakeAgent();
  TakeHeartbeat(agent, Beat(1, 2, true), kStart);
  const auto hop = FromPeer(agent, Opening(), kStart);
  BOOST_TEST(std::get<ForwardToAgent>(hop).stamp.refusable);
  const auto woken = kStart + kStallAfter + milliseconds{1};
  const auto late = FromPeer(agent, Opening(), woken);
  BOOST_TEST(!std::get<ForwardToAgent>(late).stamp.refusable);
  const auto queued = FromPeer(agent, Opening(), woken + milliseconds{50});
  BOOST_TEST(!std::get<ForwardToAgent>(queued).stamp.refusable);
  NoteEvent(agent.stall, woken + milliseconds{100});
  const auto fresh = FromPeer(agent, Opening(), woken + kStallDoubt);
  BOOST_TEST(std::get<ForwardToAgent>(fresh).stamp.refusable);
}

// All machines lost power; clients go on with flows that no target knows any more. Without an
// answer each of them waits until its deadline and fails, though a new flow would serve it.
BOOST_AUTO_TEST_CASE(a_flow_that_every_target_gave_back_is_reset) {
  auto agent = MakeAgent();
  const auto settled = kStart + agent.policy.settle_for;
  BOOST_TEST(std::holds_alternative<ResetFlow>(FromTarget(agent, LastOfRound(agent), settled)));
}

// The last agent of a round was paused with the packet in its socket. Meanwhile an agent came back that
// the round had left out, and that holds the flow; what balancers said before the pause is old.
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

// A target says that it leaves and exits; for some milliseconds it is still alive.
BOOST_AUTO_TEST_CASE(a_leaving_target_is_given_its_flows_packets_for_a_moment) {
  auto agent = MakeAgent();
  TakeLeave(agent, 1, kStart);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST((MakeReport(agent, kBalancer, kStart).state == TargetState::kDraining));
  const auto later = kStart + agent.policy.leave_for;
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Data(), later)));
}

// The list is sent once; after that its digest says that it is the same. An agent that was started
// again, or missed a change, has to get the list anew.
BOOST_AUTO_TEST_CASE(a_digest_stands_for_a_list_that_the_agent_holds) {
  auto agent = MakeAgent();
  const auto whole = HelloOf({kOwn, kOther});
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).hello_digest == whole.digest);
  auto brief = Hello{kDesk, {}, true, false, whole.digest};
  TakeHello(agent, kBalancer, brief, kStart);
  BOOST_TEST(agent.peers.size() == 2U);
  ++brief.digest;
  TakeHello(agent, kBalancer, brief, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).hello_digest == 0U);
  BOOST_TEST(MakeReport(agent, kBalancer + 1, kStart).hello_digest == 0U);
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
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).hello_digest != hello.digest);
  for (const auto& part : parts) TakeHello(agent, kBalancer, part, kStart);
  BOOST_TEST(agent.peers.size() == hello.peers.size());
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).hello_digest == hello.digest);
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

// A cut held up a heartbeat of a target that then crashed; the next one has announced itself. The
// late one says that it drains: the live target would get no flow any more.
BOOST_AUTO_TEST_CASE(a_late_heartbeat_of_an_earlier_incarnation_changes_nothing) {
  auto agent = MakeAgent();
  TakeHeartbeat(agent, Beat(2, 1), kStart + seconds{1});
  BOOST_TEST(
      (TakeHeartbeat(agent, Beat(1, 9, true), kStart + seconds{2}) == HeartbeatOutcome::kStale));
  BOOST_TEST((agent.target.state == TargetState::kReady));
  BOOST_TEST(agent.target.last.incarnation == 2U);
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
  const auto later = kStart + agent.policy.leave_for;
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
  TakeHello(agent, kBalancer, HelloOf({kOwn, kOther}, true), silent);
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
  BOOST_TEST(agent.target.last.incarnation == 1U);
  TakeLeave(agent, 2, kStart);
  BOOST_TEST((TakeHeartbeat(agent, beat, kStart) == HeartbeatOutcome::kStale));
}

// A client's opening is answered late, so its copy goes to another target, which answers too. The
// client goes on with the other one's answer; its packets still come here, since this agent was the
// last that the balancer chose. The target holds the flow half open and would swallow them: the
// client sees an established flow fall silent.
BOOST_AUTO_TEST_CASE(packets_of_a_flow_that_opened_at_another_target_are_passed_on) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(false), kStart);
  auto answer = Reply(0);
  answer.synchronize = true;
  answer.sequence = 5000;
  FromTarget(agent, answer, kStart);
  auto data = Data();
  data.acknowledged = 777001;
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, data, kStart)));
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, data, kStart)));
}

// The agent was started again and forgot that its target holds the flow half open; balancers send
// the flow here. The target swallows its packets, and another one that holds it open gets none.
BOOST_AUTO_TEST_CASE(where_the_target_does_not_react_every_other_packet_goes_on) {
  auto agent = MakeAgent();
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  FromTarget(agent, Reply(0), kStart);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, Data(), kStart)));
}

BOOST_AUTO_TEST_CASE(packets_of_a_flow_that_opened_here_are_delivered_whatever_they_acknowledge) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  auto answer = Reply(0);
  answer.synchronize = true;
  answer.sequence = 5000;
  FromTarget(agent, answer, kStart);
  auto data = Data();
  data.acknowledged = 5001;
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, data, kStart)));
  data.acknowledged = 9000;
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, data, kStart)));
}

BOOST_AUTO_TEST_CASE(balancers_are_told_now_and_then_where_a_flow_is_that_came_by_way_of_others) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  auto answer = Reply(0);
  answer.synchronize = true;
  answer.sequence = 5000;
  FromTarget(agent, answer, kStart);
  auto data = Data();
  data.acknowledged = 5001;
  BOOST_TEST(!std::get<DeliverToTarget>(FromPeer(agent, data, kStart)).located);
  data.stamp.hops = 2;
  BOOST_TEST(std::get<DeliverToTarget>(FromPeer(agent, data, kStart)).located);
  BOOST_TEST(!std::get<DeliverToTarget>(FromPeer(agent, data, kStart)).located);
  const auto later = kStart + agent.policy.tell_every;
  BOOST_TEST(std::get<DeliverToTarget>(FromPeer(agent, data, later)).located);
}

// After an outage all clients come at once. Queued at the target, each of them waits for all before
// it, and all are late; the first in line could have been in time, and the others elsewhere.
BOOST_AUTO_TEST_CASE(openings_over_the_limit_are_passed_on_and_refused_in_the_end) {
  auto agent = MakeAgent();
  for (auto port = std::uint16_t{1}; port <= 8; ++port) {
    BOOST_TEST(
        std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(port, 0), kStart)));
  }
  auto ninth = OpeningOf(9, 0);
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, ninth, kStart)));
  ninth.stamp.hops = 1;
  BOOST_TEST(std::holds_alternative<RefuseOpening>(FromPeer(agent, ninth, kStart)));
}

BOOST_AUTO_TEST_CASE(a_copy_takes_a_free_slot_but_waits_for_none) {
  auto agent = MakeAgent();
  for (auto port = std::uint16_t{1}; port <= 4; ++port) {
    BOOST_TEST(
        std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(port, 1), kStart)));
  }
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, OpeningOf(5, 1), kStart)));
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(6, 0), kStart)));
}

// A rush of copies: each opening is answered by two targets, and its client goes on with one. Here
// nobody goes on; counted as load for as long as the target holds them, these flows would keep a
// target without any work closed for openings.
BOOST_AUTO_TEST_CASE(openings_that_nobody_goes_on_with_make_room_again) {
  auto agent = MakeAgent();
  for (auto port = std::uint16_t{1}; port <= 8; ++port) {
    FromPeer(agent, OpeningOf(port, 0), kStart);
  }
  BOOST_TEST(std::holds_alternative<ForwardToAgent>(FromPeer(agent, OpeningOf(9, 0), kStart)));
  const auto later = kStart + agent.policy.opening_for;
  BOOST_TEST(MakeReport(agent, kBalancer, later).in_flight == 0U);
  BOOST_TEST(std::holds_alternative<DeliverToTarget>(FromPeer(agent, OpeningOf(9, 0), later)));
}

BOOST_AUTO_TEST_CASE(the_first_data_of_an_answer_tells_how_long_it_took) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  FromPeer(agent, Data(), kStart);
  const auto at = kStart + milliseconds{40};
  const auto first = FromTarget(agent, Reply(1200), at);
  BOOST_TEST((std::get<SendToClient>(first).answered_after == milliseconds{40}));
  const auto second = FromTarget(agent, Reply(800), at);
  BOOST_TEST(!std::get<SendToClient>(second).answered_after);
}

BOOST_AUTO_TEST_CASE(a_request_at_work_stays_load_however_long_it_takes) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  auto answer = Reply(0);
  answer.synchronize = true;
  FromTarget(agent, answer, kStart);
  auto data = Data();
  data.acknowledged = 1;
  FromPeer(agent, data, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart + seconds{3}).in_flight == 1U);
}

BOOST_AUTO_TEST_CASE(requests_in_flight_are_those_without_an_answer_yet) {
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 1U);
  FromPeer(agent, Data(), kStart);
  FromTarget(agent, Reply(600), kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 0U);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).held == 1U);
  auto second = Data();
  second.sequence = second.payload;
  FromPeer(agent, second, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 1U);
  auto finish = Reply(0);
  finish.finish = true;
  FromTarget(agent, finish, kStart);
  BOOST_TEST(MakeReport(agent, kBalancer, kStart).held == 0U);
}

// An answer is late, so that the client sends its request again; the copy reaches the target after
// the answer has gone, and is acknowledged without data. On a flow that stays open, and on one that
// the target has closed: nothing is at work, and the target would otherwise be full while it is
// idle.
BOOST_AUTO_TEST_CASE(a_request_that_is_repeated_after_its_answer_is_no_load) {
  for (const auto closes : {false, true}) {
    auto agent = MakeAgent();
    FromPeer(agent, Opening(), kStart);
    FromPeer(agent, Data(), kStart);
    auto answer = Reply(600);
    answer.finish = closes;
    FromTarget(agent, answer, kStart);
    FromPeer(agent, Data(), kStart);
    FromTarget(agent, Reply(0), kStart);
    BOOST_TEST(MakeReport(agent, kBalancer, kStart).in_flight == 0U);
    BOOST_TEST(MakeReport(agent, kBalancer, kStart).held == (closes ? 0U : 1U));
  }
}

// Both ends have closed the flow, in either order, or one of them is never heard of again: nothing
// is remembered of it.
BOOST_AUTO_TEST_CASE(a_flow_that_both_ends_closed_is_forgotten) {
  auto last = Data();
  last.payload = 0;
  last.finish = true;
  auto finish = Reply(0);
  finish.finish = true;
  for (const auto client_first : {false, true}) {
    auto agent = MakeAgent();
    FromPeer(agent, Opening(), kStart);
    FromPeer(agent, Data(), kStart);
    if (client_first) FromPeer(agent, last, kStart);
    FromTarget(agent, finish, kStart);
    if (!client_first) FromPeer(agent, last, kStart);
    BOOST_TEST(agent.flows.empty());
    BOOST_TEST(agent.ended == 0U);
  }
  auto agent = MakeAgent();
  FromPeer(agent, Opening(), kStart);
  FromTarget(agent, finish, kStart);
  BOOST_TEST(agent.flows.size() == 1U);
  ForgetQuiet(agent, kStart + agent.policy.ended_idle + milliseconds{1});
  BOOST_TEST(agent.flows.empty());
  BOOST_TEST(agent.ended == 0U);
}

}  // namespace
}  // namespace anvildrum::packets
