#include "steering/tests/hand_over_fixture.h"

namespace anvildrum::steering {
namespace {

// desk-1 of three is the home of a flow and serves it. It is not draining, but its target sheds
// load.
struct Shedding {
  membership::View view = MakeView(3);
  Directory directory = MakeDirectory(this->view);
  wire::pb::TunnelHeader packet = MakePacket(ClientOf(this->view, 1));
  base::FlowKey flow = FlowOf(this->packet);

  Shedding() {
    SettlePeers(this->directory);
    Send(this->directory, this->packet, kLater);
  }
  auto Offer() -> DirectoryEffects {
    return Step(this->directory, FlowOffered{this->flow, {1}, HandOverReason::kShed}, kLater);
  }
  // Hands the flow over and returns the new owner's number.
  auto HandOver() -> std::uint16_t {
    auto offer = Last(this->Offer(), TunnelHeader::kHandOver);
    Send(this->directory, AckOf(offer, true, true), kLater);
    return offer.hand_over().to().target() == MakeRecord(2).id.value ? 2 : 3;
  }
};

// All slots of a report server are taken, and its target refuses one more request. The flow has to
// move to a server with a free slot; at another full one the request would be refused again.
BOOST_AUTO_TEST_CASE(shed_flow_moves_to_a_target_with_a_free_slot) {
  auto world = Shedding{};
  world.directory.peers[0].load.in_flight = 1;
  auto to = Last(world.Offer(), TunnelHeader::kHandOver).hand_over().to().target();
  BOOST_TEST(to == world.directory.peers[1].ref.target.value);
}

// All servers are full, so the flow stays, and its client's packets are delivered here.
BOOST_AUTO_TEST_CASE(shed_flow_stays_when_all_targets_are_full) {
  auto world = Shedding{};
  for (auto& peer : world.directory.peers) peer.load.in_flight = 1;
  BOOST_TEST(CountOf(world.Offer(), TunnelHeader::kHandOver) == 0);
  BOOST_TEST(Send(world.directory, world.packet, kLater).deliveries.size() == 1U);
}

// The home itself served the flow and handed it over. It is the first to know the new owner and has
// to forward the client's packets, also those from before the new owner's registration.
BOOST_AUTO_TEST_CASE(home_that_handed_its_own_flow_over_forwards_packets) {
  auto world = Shedding{};
  world.HandOver();
  auto effects = Send(world.directory, world.packet, kLater);
  BOOST_TEST(effects.deliveries.empty());
  BOOST_TEST(CountOf(effects, TunnelHeader::kPacket) == 1);
}

// Two targets shed load in turns: the new owner has accepted the flow and offers it back before its
// acceptance has arrived here. If the offer were accepted, both would drop the flow when the
// acceptance arrives, each assuming that the other one has it, and nobody would serve the client.
BOOST_AUTO_TEST_CASE(flow_that_is_offered_back_too_soon_is_refused) {
  auto world = Shedding{};
  auto offer = Last(world.Offer(), TunnelHeader::kHandOver);
  auto back = MakeHandOver(world.packet, 1);
  *back.mutable_hand_over()->mutable_from() = offer.hand_over().to();
  auto answer = Last(Arrive(world.directory, back), TunnelHeader::kHandOverAck);
  BOOST_TEST(!answer.hand_over_ack().accepted());
}

// The new owner has accepted the flow and its client has gone since. The end of the flow reaches
// the home before the acceptance does. If the home still named the other target, which has dropped
// the flow, the client's next packet would go back and forth instead of opening the flow.
BOOST_AUTO_TEST_CASE(flow_that_ended_at_its_new_owner_can_be_opened_again) {
  auto world = Shedding{};
  auto offer = Last(world.Offer(), TunnelHeader::kHandOver);
  auto header = wire::pb::TunnelHeader{};
  auto* ended = header.mutable_register_();
  ended->set_service(kDesk.value);
  ended->set_sequence(1);
  *ended->mutable_owner() = offer.hand_over().to();
  WriteTo(*ended->mutable_home(), 1);
  *ended->add_flows()->mutable_client() = world.packet.packet().flow().client();
  ended->mutable_flows(0)->set_stamp(1);
  ended->mutable_flows(0)->set_ended(true);
  Send(world.directory, header, kLater);
  Send(world.directory, AckOf(offer, true, true), kLater);
  BOOST_TEST(Send(world.directory, world.packet, kLater).deliveries.size() == 1U);
}

// desk-1 handed a flow over, which has ended since, and another home with another view places it
// here again. If the packet were forwarded to the former successor, it would come back; if it were
// opened here, a late copy of the flow's first opening would create a second owner. The packet has
// to be returned to the home, which then queries all peers.
BOOST_AUTO_TEST_CASE(former_owner_declines_a_flow_that_is_placed_again) {
  auto world = Shedding{};
  world.HandOver();
  auto opening = world.packet;
  opening.set_sender(MakeRecord(2).instance.value);
  opening.mutable_packet()->set_opening(true);
  opening.mutable_packet()->set_opening_incarnation(1);
  opening.mutable_packet()->set_hops(1);
  auto effects = Send(world.directory, opening, kLater);
  BOOST_TEST(effects.deliveries.empty());
  BOOST_TEST(Last(effects, TunnelHeader::kPacket).packet().declined());
}

// desk-1 queries a flow's owner. A former owner names its successor, desk-3, which has answered
// "not mine": it may have taken the flow since, or have dropped it long ago. If the former owner's
// entry were believed, the client's packets would go back and forth between the two indefinitely.
// desk-3 has to be queried once more, and the flow is opened if it denies again.
BOOST_AUTO_TEST_CASE(successor_that_denies_twice_does_not_have_the_flow) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  Send(directory, packet, kLater);
  auto answer = [&](std::uint16_t responder) {
    auto header = wire::pb::TunnelHeader{};
    auto* message = header.mutable_owner_answer();
    *message->mutable_flow() = packet.packet().flow();
    WriteTo(*message->mutable_responder(), responder);
    message->set_sequence(directory.pending.at(FlowOf(packet)).sequence);
    return header;
  };
  Send(directory, answer(3), kLater);
  auto named = answer(2);
  named.mutable_owner_answer()->set_owned(true);
  WriteTo(*named.mutable_owner_answer()->mutable_owner(), 3);
  named.mutable_owner_answer()->mutable_lineage()->set_hand_overs(1);
  auto asked = Send(directory, named, kLater);
  BOOST_TEST(CountOf(asked, TunnelHeader::kOwnerQuery) == 1);
  BOOST_TEST(Send(directory, answer(3), kLater).deliveries.size() == 1U);
}

}  // namespace
}  // namespace anvildrum::steering
