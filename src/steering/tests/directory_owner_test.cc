#include "steering/tests/directory_fixture.h"

namespace anvildrum::steering {
namespace {

auto MakeAnswer(const wire::pb::Flow& flow, std::uint16_t responder, std::uint64_t sequence)
    -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  auto* answer = header.mutable_owner_answer();
  *answer->mutable_flow() = flow;
  answer->mutable_responder()->set_target(MakeRecord(responder).id.value);
  answer->mutable_responder()->set_incarnation(1);
  answer->set_sequence(sequence);
  return header;
}

// An answer "not mine" to an earlier query of the home arrives late, after the peer has opened the
// flow. If it counted as an answer to the present query, the flow would have two owners.
BOOST_AUTO_TEST_CASE(an_answer_to_an_earlier_query_does_not_count) {
  auto view = MakeView(2);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  auto asked = Send(directory, packet);
  BOOST_REQUIRE(CountOf(asked, TunnelHeader::kOwnerQuery) == 1);
  auto sequence = directory.pending.at(FlowOf(packet)).sequence;
  auto late = MakeAnswer(packet.packet().flow(), 2, sequence - 1);
  BOOST_TEST(Send(directory, late).deliveries.empty());
  auto answer = MakeAnswer(packet.packet().flow(), 2, sequence);
  BOOST_TEST(Send(directory, answer).deliveries.size() == 1u);
}

// A target queries the owner of a flow and waits for a peer that has died. Meanwhile a desk joins,
// is the flow's home and opens it. If the new desk were not queried, the first one would open the
// flow as well as soon as it suspects the dead peer, and the client's feed would move.
BOOST_AUTO_TEST_CASE(a_target_that_joins_during_a_query_is_queried_too) {
  auto directory = MakeDirectory(MakeView(2));
  auto view = MakeView(3);
  auto packet = MakePacket(ClientOf(view, 1));
  Send(directory, packet);
  auto sequence = directory.pending.at(FlowOf(packet)).sequence;
  Step(directory, ViewArrived{&view}, kStart);
  auto answer = MakeAnswer(packet.packet().flow(), 2, sequence);
  BOOST_TEST(Send(directory, answer).deliveries.empty());
  BOOST_TEST(CountOf(Step(directory, DirectoryTimer{}, kStart), TunnelHeader::kOwnerQuery) == 1);
  answer = MakeAnswer(packet.packet().flow(), 3, sequence);
  BOOST_TEST(Send(directory, answer).deliveries.size() == 1u);
}

auto MakeRegister(const wire::pb::TunnelHeader& packet, std::uint64_t sequence, bool ended)
    -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  auto* message = header.mutable_register_();
  message->set_service(kDesk.value);
  message->set_sequence(sequence);
  message->mutable_owner()->set_target(MakeRecord(2).id.value);
  message->mutable_owner()->set_incarnation(1);
  message->mutable_home()->set_target(MakeRecord(1).id.value);
  message->mutable_home()->set_incarnation(1);
  auto* flow = message->add_flows();
  *flow->mutable_client() = packet.packet().flow().client();
  flow->set_stamp(1);
  flow->set_ended(ended);
  return header;
}

// An owner registers a flow and later ends it; then the network delivers the registration again. If
// the home applied it, it would continue to send the client's packets to a target that has dropped
// the flow.
BOOST_AUTO_TEST_CASE(a_batch_of_registrations_is_applied_once) {
  auto view = MakeView(2);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  Send(directory, MakeRegister(packet, 1, false));
  BOOST_TEST(directory.known.contains(FlowOf(packet)));
  Send(directory, MakeRegister(packet, 2, true));
  BOOST_TEST(!directory.known.contains(FlowOf(packet)));
  auto repeated = Send(directory, MakeRegister(packet, 1, false));
  BOOST_TEST(!directory.known.contains(FlowOf(packet)));
  BOOST_TEST(CountOf(repeated, TunnelHeader::kRegisterAck) == 1);
}

// A request to open a flow waits in the socket of a process that dies, and the next process at the
// same address reads it. By then the home has placed the flow at another target.
BOOST_AUTO_TEST_CASE(a_request_to_an_earlier_process_opens_nothing) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 2));
  packet.set_sender(MakeRecord(2).instance.value);
  packet.mutable_packet()->set_opening(true);
  packet.mutable_packet()->set_opening_incarnation(9);
  BOOST_TEST(Send(directory, packet).deliveries.empty());
}

// The home of a flow dies while the platform is down, so its record stays and balancers send to the
// acting home. If the owner had not registered there too, two owners could not be told apart.
BOOST_AUTO_TEST_CASE(a_flow_is_registered_with_the_acting_home_of_a_suspect_one) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto acting = [&](std::uint32_t client) {
    auto set = MakeCandidates(view.services.front());
    auto index = FindActingHome(set, base::HashFlow(FlowOf(MakePacket(client))));
    return set.candidates[index].target;
  };
  membership::SetSuspect(view, MakeRecord(2).id, true);
  auto client = ClientOf(view, 2);
  while (acting(client) != MakeRecord(3).id || HomeNumber(view, client) != 2) ++client;
  directory.owned[FlowOf(MakePacket(client))].balancer = kBalancer;
  for (auto& stream : directory.streams) stream.awaiting_ack = false;
  auto effects = Step(directory, ViewArrived{&view}, kStart);
  auto registered = [](const SendTunnel& send) {
    return send.to == MakeRecord(3).tunnel && send.header.register_().flows_size() == 1;
  };
  BOOST_TEST(std::ranges::count_if(effects.sends, registered) == 1);
}

auto MakeOpening(const wire::pb::TunnelHeader& packet, std::uint16_t home)
    -> wire::pb::TunnelHeader {
  auto header = packet;
  header.set_sender(MakeRecord(home).instance.value);
  header.mutable_packet()->set_opening(true);
  header.mutable_packet()->set_opening_incarnation(1);
  return header;
}

// The home does not know yet that this target is draining or was removed, and places a new flow
// there. The target returns the packet, so that the client is served elsewhere without a
// retransmission.
BOOST_AUTO_TEST_CASE(a_draining_or_removed_target_declines_a_new_flow) {
  auto draining = MakeView(3);
  membership::ApplyDrain(draining, MakeRecord(1).id, 1);
  auto removed = MakeView(3);
  membership::RemoveRecord(removed, MakeRecord(1).id, 1, 9);
  for (const auto& view : {draining, removed}) {
    auto directory = MakeDirectory(view);
    auto effects = Send(directory, MakeOpening(MakePacket(ClientOf(view, 2)), 2));
    BOOST_TEST(effects.deliveries.empty());
    BOOST_REQUIRE(CountOf(effects, TunnelHeader::kPacket) == 1);
    BOOST_TEST(effects.sends[0].header.packet().declined());
  }
}

// A flow ends, and its home, which does not know yet, requests this agent to open it for the
// client's next packet. Another packet of the client reaches the home after it has learnt of the
// end, and the flow is opened elsewhere. To avoid two owners, nothing is opened here before the
// home has acknowledged the end.
BOOST_AUTO_TEST_CASE(an_ended_flow_is_not_opened_again_before_the_home_knows) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto opening = MakeOpening(MakePacket(ClientOf(view, 2)), 2);
  BOOST_TEST(Send(directory, opening).deliveries.size() == 1u);
  Step(directory, FlowEnded{FlowOf(opening)}, kStart);
  BOOST_TEST(Send(directory, opening).deliveries.empty());
  // The batches up to the one that carries the end.
  for (auto& stream : directory.streams) {
    for (auto rounds = 0; rounds < 3 && stream.home.target == MakeRecord(2).id; ++rounds) {
      auto ack = wire::pb::TunnelHeader{};
      ack.mutable_register_ack()->set_sequence(stream.sequence);
      ack.mutable_register_ack()->mutable_home()->set_target(stream.home.target.value);
      ack.mutable_register_ack()->mutable_home()->set_incarnation(1);
      Send(directory, ack);
    }
  }
  BOOST_TEST(Send(directory, opening).deliveries.size() == 1u);
}

auto MakeQuery(const wire::pb::TunnelHeader& packet, std::uint16_t asker)
    -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  *header.mutable_owner_query()->mutable_flow() = packet.packet().flow();
  header.mutable_owner_query()->mutable_asker()->set_target(MakeRecord(asker).id.value);
  header.mutable_owner_query()->mutable_asker()->set_incarnation(1);
  return header;
}

// A flow ends at its desk, which then drains, so another desk is the home. That one deferred the
// flow to the first desk seconds ago and sends the client's next packet there. If the first desk
// sent it back as an ordinary packet, the packet would be dropped at the hop limit, and the client
// would have to retransmit it. The first desk has to decline it, and the home has to query its
// peers.
BOOST_AUTO_TEST_CASE(an_ended_flow_is_declined_to_the_home_that_deferred_it) {
  auto view = MakeView(3);
  auto packet = MakePacket(ClientOf(view, 1));
  auto home = MakeDirectory(view);
  auto query = MakeQuery(packet, 2);
  Step(home, TunnelArrived{MakeRecord(2).tunnel, &query, {}}, kStart);
  auto passed = Send(home, packet);
  BOOST_REQUIRE(CountOf(passed, TunnelHeader::kPacket) == 1);
  auto first = DirectoryBuilder{}.WithTarget(MakeRecord(2)).Build();
  Step(first, ViewArrived{&view}, kStart);
  auto returned = Send(first, passed.sends[0].header);
  BOOST_REQUIRE(CountOf(returned, TunnelHeader::kPacket) == 1);
  auto asked = Send(home, returned.sends[0].header);
  BOOST_TEST(CountOf(asked, TunnelHeader::kPacket) == 0);
  BOOST_TEST(CountOf(asked, TunnelHeader::kOwnerQuery) == 2);
}

// After a network partition the home told one desk to drop a flow but could not reach it. Now that
// desk has received a client packet last and wins. If the first decision were still sent, both
// desks would drop the flow and nobody would serve the client.
BOOST_AUTO_TEST_CASE(a_decision_is_withdrawn_when_its_loser_wins) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  auto other = KnownOwner{};
  other.owner = {MakeRecord(3).id, 1};
  other.stamp = 1;
  directory.known[FlowOf(packet)] = other;
  directory.yields.push_back({FlowOf(packet), {MakeRecord(2).id, 1}, other.owner, 1, kStart, 1});
  Send(directory, MakeRegister(packet, 1, false));
  BOOST_REQUIRE(directory.yields.size() == 1u);
  BOOST_TEST((directory.yields[0].loser == other.owner));
}

// The entries of three desks form a forwarding loop, since none of them owns the flow any more. If
// the client's packets were forwarded by these entries, they would be dropped at the hop limit as
// long as the client sends.
BOOST_AUTO_TEST_CASE(a_packet_in_a_forwarding_loop_causes_a_query) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  auto known = KnownOwner{};
  known.owner = {MakeRecord(2).id, 1};
  directory.known[FlowOf(packet)] = known;
  packet.mutable_packet()->set_hops(directory.policy.query_hops);
  auto effects = Send(directory, packet);
  BOOST_TEST(CountOf(effects, TunnelHeader::kPacket) == 0);
  BOOST_TEST(CountOf(effects, TunnelHeader::kOwnerQuery) == 2);
}

// A peer names a later process of another target as owner, which this agent does not know yet. If
// that counted as "no owner", the flow would be opened twice.
BOOST_AUTO_TEST_CASE(a_claim_for_an_unknown_process_keeps_the_flow_from_being_opened) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  Send(directory, packet);
  auto sequence = directory.pending.at(FlowOf(packet)).sequence;
  auto claim = MakeAnswer(packet.packet().flow(), 2, sequence);
  claim.mutable_owner_answer()->set_owned(true);
  claim.mutable_owner_answer()->mutable_owner()->set_target(MakeRecord(3).id.value);
  claim.mutable_owner_answer()->mutable_owner()->set_incarnation(2);
  Send(directory, claim);
  auto denial = MakeAnswer(packet.packet().flow(), 3, sequence);
  BOOST_TEST(Send(directory, denial).deliveries.empty());
}

// This agent was the flow's home once and was not told of the flow's end. It must not continue to
// name the target that served it.
BOOST_AUTO_TEST_CASE(a_former_home_does_not_answer_from_an_old_entry) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 2));
  auto known = KnownOwner{};
  known.owner = {MakeRecord(3).id, 1};
  known.noted_at = kStart - directory.policy.claim_validity;
  directory.known[FlowOf(packet)] = known;
  auto query = MakeQuery(packet, 2);
  auto effects = Send(directory, query);
  BOOST_REQUIRE(CountOf(effects, TunnelHeader::kOwnerAnswer) == 1);
  BOOST_TEST(!effects.sends[0].header.owner_answer().owned());
}

// The agent that sends the query cannot reach the flow's owner, but this agent can, since only the
// link between those two has failed. If the flow were given up, the failure of one link would break
// it.
BOOST_AUTO_TEST_CASE(an_agent_that_reaches_a_lost_owner_names_it) {
  auto view = MakeView(3);
  auto packet = MakePacket(ClientOf(view, 2));
  auto query = MakeQuery(packet, 2);
  query.mutable_owner_query()->mutable_owner()->set_target(MakeRecord(3).id.value);
  query.mutable_owner_query()->mutable_owner()->set_incarnation(1);
  auto reaches = MakeDirectory(view);
  auto answer = Send(reaches, query);
  BOOST_REQUIRE(answer.sends.size() == 1);
  BOOST_TEST(answer.sends[0].header.owner_answer().owned());
  membership::SetSuspect(view, MakeRecord(3).id, true);
  auto cut_off = MakeDirectory(view);
  answer = Send(cut_off, query);
  BOOST_REQUIRE(answer.sends.size() == 1);
  BOOST_TEST(!answer.sends[0].header.owner_answer().owned());
}

}  // namespace
}  // namespace anvildrum::steering
