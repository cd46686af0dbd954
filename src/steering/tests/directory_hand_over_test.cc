#include "steering/tests/hand_over_fixture.h"

namespace anvildrum::steering {
namespace {

// Acknowledges the batch that is under way to each peer.
auto AckRegistrations(Directory& directory) -> void {
  auto streams = directory.streams;
  for (const auto& stream : streams) {
    if (!stream.awaiting_ack) continue;
    auto header = wire::pb::TunnelHeader{};
    auto* ack = header.mutable_register_ack();
    ack->set_service(kDesk.value);
    ack->set_sequence(stream.sequence);
    ack->mutable_home()->set_target(stream.home.target.value);
    ack->mutable_home()->set_incarnation(stream.home.incarnation);
    Send(directory, header, kLater);
  }
}

// desk-1 of three drains and serves one flow, which its home knows.
struct Draining {
  membership::View view = MakeView(3);
  Directory directory = MakeDirectory(this->view);
  wire::pb::TunnelHeader packet = MakePacket(ClientOf(this->view, 1));
  base::FlowKey flow = FlowOf(this->packet);

  explicit Draining(bool home_knows = true) {
    Arrive(this->directory, MakeHandOver(this->packet, 1));
    membership::ApplyDrain(this->view, MakeRecord(1).id, 1);
    Step(this->directory, ViewArrived{&this->view}, kLater);
    SettlePeers(this->directory);
    // The first batches were sent before the flow was here.
    AckRegistrations(this->directory);
    if (home_knows) AckRegistrations(this->directory);
  }
  auto Offer() -> DirectoryEffects {
    return Step(this->directory, FlowOffered{this->flow, {1, 2, 3}}, kLater);
  }
};

// A desk drains and offers its flow to another one. From then on it may neither deliver the
// client's packets nor send replies: the other desk may be serving the flow already, and the client
// would receive replies from two desks. After the acceptance the held packets are forwarded.
BOOST_AUTO_TEST_CASE(offered_flow_is_no_longer_served) {
  auto world = Draining{};
  auto offer = Last(world.Offer(), TunnelHeader::kHandOver);
  BOOST_TEST(Send(world.directory, world.packet, kLater).deliveries.empty());
  BOOST_TEST(!ReplyRoute(world.directory, world.flow, kLater).has_value());
  auto effects = Send(world.directory, AckOf(offer, true, true), kLater);
  BOOST_TEST(effects.dropped.size() == 1U);
  BOOST_TEST(CountOf(effects, TunnelHeader::kPacket) == 1);
  BOOST_TEST(world.directory.outgoing.empty());
}

// A home that does not know the flow would open it again beside its new owner once the drained desk
// is gone. The flow must not be offered before the home has acknowledged it.
BOOST_AUTO_TEST_CASE(flow_that_its_home_does_not_know_is_not_offered) {
  auto world = Draining{false};
  BOOST_TEST(!CanHandOver(world.directory, world.flow, kLater));
  BOOST_TEST(CountOf(world.Offer(), TunnelHeader::kHandOver) == 0);
}

// If one desk refuses the flow, the other one gets the offer. If both refuse, the flow continues to
// be served here, and the packets held in the meantime are delivered.
BOOST_AUTO_TEST_CASE(refused_flow_is_offered_to_another_and_kept_when_all_refuse) {
  auto world = Draining{};
  auto first = Last(world.Offer(), TunnelHeader::kHandOver);
  Send(world.directory, world.packet, kLater);
  auto asked = Send(world.directory, AckOf(first, false, false), kLater);
  auto second = Last(asked, TunnelHeader::kHandOver);
  BOOST_TEST(second.hand_over().to().target() != first.hand_over().to().target());
  auto effects = Send(world.directory, AckOf(second, false, false), kLater);
  BOOST_TEST(effects.deliveries.size() == 1U);
  BOOST_TEST(!CanHandOver(world.directory, world.flow, kLater));
  BOOST_TEST(CanHandOver(world.directory, world.flow, kLater + base::seconds(2)));
}

// The new owner has accepted the flow, but its home does not know it yet. If the hand-over ended
// now, the old owner would discard the only entry by which the home's packets reach the flow. It
// has to repeat its message until the home knows the new owner.
BOOST_AUTO_TEST_CASE(hand_over_ends_when_the_home_knows_the_new_owner) {
  auto world = Draining{};
  auto offer = Last(world.Offer(), TunnelHeader::kHandOver);
  Send(world.directory, AckOf(offer, true, false), kLater);
  BOOST_TEST(world.directory.outgoing.size() == 1U);
  auto effects = Step(world.directory, DirectoryTimer{}, kLater + base::milliseconds(200));
  BOOST_TEST(Last(effects, TunnelHeader::kHandOver).hand_over().settled());
  Send(world.directory, AckOf(offer, true, true), kLater);
  BOOST_TEST(world.directory.outgoing.empty());
}

// The flow was taken over and has ended since; then the network delivers the offer again. If it
// were accepted a second time, a flow without a client would be served beside its next opening
// elsewhere.
BOOST_AUTO_TEST_CASE(repeated_offer_opens_nothing) {
  auto view = MakeView(2);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  auto offer = MakeHandOver(packet, 5);
  BOOST_TEST(Arrive(directory, offer).taken.size() == 1U);
  Step(directory, FlowEnded{FlowOf(packet)}, kLater);
  auto effects = Arrive(directory, offer);
  BOOST_TEST(effects.taken.empty());
  BOOST_TEST(Last(effects, TunnelHeader::kHandOverAck).hand_over_ack().accepted());
  BOOST_TEST(Arrive(directory, MakeHandOver(packet, 4)).taken.empty());
}

// A desk that has no room in its ledger or is draining must refuse the offer.
BOOST_AUTO_TEST_CASE(target_that_cannot_take_a_flow_refuses) {
  auto view = MakeView(2);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  auto effects = Arrive(directory, MakeHandOver(packet, 1), false);
  BOOST_TEST(effects.taken.empty());
  BOOST_TEST(!Last(effects, TunnelHeader::kHandOverAck).hand_over_ack().accepted());
  membership::ApplyDrain(view, MakeRecord(1).id, 1);
  Step(directory, ViewArrived{&view}, kLater);
  BOOST_TEST(Arrive(directory, MakeHandOver(packet, 2)).taken.empty());
}

// A paused process resumes and finds an offer in its socket that its sender may have withdrawn long
// ago. If it accepted, two desks would serve the flow.
BOOST_AUTO_TEST_CASE(paused_process_takes_nothing_over) {
  auto view = MakeView(2);
  auto directory = MakeDirectory(view);
  auto offer = MakeHandOver(MakePacket(ClientOf(view, 1)), 1);
  auto effects =
      Step(directory, HandOverArrived{kBalancer, &offer, {}, true}, kStart + base::seconds(5));
  BOOST_TEST(effects.taken.empty());
}

// A home placed a flow at desk-2 and knows nothing more about it; meanwhile desk-2 has handed it
// over to desk-3 under another view. If the two were judged as competing owners, desk-3, which
// received its last client packet earlier, would be told to drop the flow, and nobody would serve
// it.
BOOST_AUTO_TEST_CASE(registration_of_the_new_owner_supersedes_the_old_one) {
  auto view = MakeView(3);
  auto directory = MakeDirectory(view);
  auto packet = MakePacket(ClientOf(view, 1));
  auto& known = directory.known[FlowOf(packet)];
  known.owner = {MakeRecord(2).id, 1};
  known.opened = kLater;
  known.last_packet = kLater;
  auto header = wire::pb::TunnelHeader{};
  auto* message = header.mutable_register_();
  message->set_service(kDesk.value);
  message->set_sequence(1);
  WriteTo(*message->mutable_owner(), 3);
  WriteTo(*message->mutable_home(), 1);
  auto* flow = message->add_flows();
  *flow->mutable_client() = packet.packet().flow().client();
  flow->set_idle_ms(5000);
  flow->set_stamp(1);
  flow->mutable_lineage()->set_stamp(7);
  flow->mutable_lineage()->set_hand_overs(1);
  WriteTo(*flow->mutable_lineage()->add_previous(), 2);
  Send(directory, header, kLater);
  BOOST_CHECK(directory.known.at(FlowOf(packet)).owner == (TargetRef{MakeRecord(3).id, 1}));
}

// The target that received the offer is gone from the platform. It cannot have the flow, which has
// to be served here again.
BOOST_AUTO_TEST_CASE(offer_to_a_target_that_is_gone_is_withdrawn) {
  auto world = Draining{};
  auto offer = Last(world.Offer(), TunnelHeader::kHandOver);
  auto to = base::TargetId{offer.hand_over().to().target()};
  membership::RemoveRecord(world.view, to, 1, 100);
  Step(world.directory, ViewArrived{&world.view}, kLater);
  Step(world.directory, DirectoryTimer{}, kLater);
  BOOST_TEST(Send(world.directory, world.packet, kLater).deliveries.size() == 1U);
}

}  // namespace
}  // namespace anvildrum::steering
