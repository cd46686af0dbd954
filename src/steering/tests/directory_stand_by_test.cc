#include "steering/tests/directory_fixture.h"

namespace anvildrum::steering {
namespace {

constexpr auto kSecond = base::seconds(1);

auto WriteTo(wire::pb::TargetRef& message, std::uint16_t number) -> void {
  message.set_target(MakeRecord(number).id.value);
  message.set_incarnation(1);
}

// A batch of desk-`owner` for desk-1 with one flow; an empty record removes its copy.
auto MakeBatch(std::uint16_t owner, const wire::pb::TunnelHeader& packet, std::uint64_t sequence,
               const std::string& record, std::uint32_t hand_overs = 0) -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  auto* batch = header.mutable_stand_by();
  batch->set_service(kDesk.value);
  WriteTo(*batch->mutable_owner(), owner);
  WriteTo(*batch->mutable_keeper(), 1);
  batch->set_sequence(sequence);
  auto* flow = batch->add_flows();
  *flow->mutable_client() = packet.packet().flow().client();
  flow->set_record(record);
  WriteTo(*flow->mutable_lineage()->mutable_opener(), 2);
  flow->mutable_lineage()->set_stamp(1);
  flow->mutable_lineage()->set_hand_overs(hand_overs);
  return header;
}

auto Query(const wire::pb::TunnelHeader& packet, std::uint16_t asker, bool stands_by)
    -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  auto* query = header.mutable_owner_query();
  *query->mutable_flow() = packet.packet().flow();
  WriteTo(*query->mutable_asker(), asker);
  query->set_sequence(1);
  query->set_stands_by(stands_by);
  return header;
}

auto AnswerIn(const DirectoryEffects& effects) -> wire::pb::OwnerAnswer {
  for (const auto& send : effects.sends) {
    if (send.header.has_owner_answer()) return send.header.owner_answer();
  }
  return {};
}

auto Suspect(Directory& directory, membership::View& view, std::uint16_t number) -> void {
  membership::SetSuspect(view, MakeRecord(number).id, true);
  Step(directory, ViewArrived{&view}, kStart);
}

// desk-1 of three keeps a copy of a flow of desk-2.
struct Keeper {
  membership::View view = MakeView(3);
  Directory directory = MakeDirectory(this->view);
  wire::pb::TunnelHeader packet = MakePacket(ClientOf(this->view, 2));
  base::FlowKey flow = FlowOf(this->packet);
  Keeper() { Send(this->directory, MakeBatch(2, this->packet, 1, "copy")); }
};

// A duplicate of an earlier batch arrives after the flow has ended. If it restored the copy, the
// client would receive notifications of an ended feed when the owner dies.
BOOST_AUTO_TEST_CASE(late_duplicate_does_not_restore_a_copy) {
  auto keeper = Keeper{};
  BOOST_TEST(keeper.directory.copies.contains(keeper.flow));
  auto effects = Send(keeper.directory, MakeBatch(2, keeper.packet, 2, ""));
  BOOST_TEST(CountOf(effects, TunnelHeader::kStandByAck) == 1);
  BOOST_TEST(keeper.directory.copies.empty());
  effects = Send(keeper.directory, MakeBatch(2, keeper.packet, 1, "copy"));
  BOOST_TEST(CountOf(effects, TunnelHeader::kStandByAck) == 1);
  BOOST_TEST(keeper.directory.copies.empty());
  BOOST_TEST(keeper.directory.copied_owners.empty());
  BOOST_TEST(keeper.directory.copied_bytes == 0U);
}

// desk-2 has handed the flow over to desk-3, whose copy arrived first. A late copy or removal from
// the old owner must not replace or remove the copy of the new one.
BOOST_AUTO_TEST_CASE(copy_of_the_former_owner_does_not_replace_the_new_one) {
  auto keeper = Keeper{};
  Send(keeper.directory, MakeBatch(3, keeper.packet, 1, "newer", 1));
  Send(keeper.directory, MakeBatch(2, keeper.packet, 2, "older"));
  Send(keeper.directory, MakeBatch(2, keeper.packet, 3, ""));
  BOOST_TEST(keeper.directory.copies.at(keeper.flow).owner.target.value == MakeRecord(3).id.value);
  BOOST_TEST(keeper.directory.copied_owners.size() == 1U);
}

BOOST_AUTO_TEST_CASE(copies_are_bounded_in_number_and_bytes) {
  auto policy = DirectoryPolicy{};
  policy.max_copies = 2;
  policy.max_copy_bytes = 10;
  auto view = MakeView(3);
  auto directory = MakeDirectory(view, policy);
  Send(directory, MakeBatch(2, MakePacket(1), 1, "12345678"));
  Send(directory, MakeBatch(2, MakePacket(2), 2, "123"));
  BOOST_TEST(directory.copies.size() == 1U);
  Send(directory, MakeBatch(2, MakePacket(3), 3, "12"));
  Send(directory, MakeBatch(2, MakePacket(4), 4, "1"));
  BOOST_TEST(directory.copies.size() == 2U);
  BOOST_TEST(directory.counters.copies_refused == 2U);
  Step(directory, DirectoryTimer{}, kStart + policy.copy_ttl + kSecond);
  BOOST_TEST(directory.copies.empty());
}

// The client's packet reaches another agent than the stand-by, and that agent sends a query before
// it opens the flow. If it opened the flow, the feeds would be lost. The stand-by has to claim the
// flow, but only while it does not reach the owner, and not against another stand-by with a lower
// id.
BOOST_AUTO_TEST_CASE(stand_by_claims_an_orphaned_flow_that_another_queries) {
  auto keeper = Keeper{};
  BOOST_TEST(!AnswerIn(Send(keeper.directory, Query(keeper.packet, 3, false))).owned());
  Suspect(keeper.directory, keeper.view, 2);
  auto effects = Send(keeper.directory, Query(keeper.packet, 3, false));
  BOOST_TEST(AnswerIn(effects).owned());
  BOOST_TEST(AnswerIn(effects).owner().target() == MakeRecord(1).id.value);
  BOOST_TEST(CountOf(effects, TunnelHeader::kOwnerQuery) == 2);
  auto other = Send(keeper.directory, Query(keeper.packet, 3, true));
  BOOST_TEST(AnswerIn(other).owned() == (MakeRecord(1).id < MakeRecord(3).id));
}

// A home with all registrations opens flows without a query. It must not do so for a flow whose
// observations it keeps.
BOOST_AUTO_TEST_CASE(settled_home_restores_its_copy_instead_of_opening_a_flow) {
  auto keeper = Keeper{};
  auto packet = MakePacket(ClientOf(keeper.view, 1));
  Send(keeper.directory, MakeBatch(2, packet, 2, "feeds"));
  for (auto& peer : keeper.directory.peers) peer.settled_view = keeper.directory.digest;
  Suspect(keeper.directory, keeper.view, 2);
  auto effects = Send(keeper.directory, packet);
  BOOST_TEST(effects.deliveries.empty());
  auto answer = wire::pb::TunnelHeader{};
  auto* message = answer.mutable_owner_answer();
  *message->mutable_flow() = packet.packet().flow();
  WriteTo(*message->mutable_responder(), 3);
  message->set_sequence(keeper.directory.pending.at(FlowOf(packet)).sequence);
  Send(keeper.directory, answer);
  effects = Step(keeper.directory, DirectoryTimer{}, kStart + base::milliseconds(200));
  BOOST_REQUIRE(effects.taken.size() == 1U);
  BOOST_TEST(effects.taken[0].lost);
  BOOST_TEST(effects.taken[0].record.size() == 5U);
  BOOST_REQUIRE(effects.deliveries.size() == 1U);
  BOOST_TEST(!effects.deliveries[0].opened);
  BOOST_TEST(keeper.directory.owned.at(FlowOf(packet)).lineage.hand_overs == 1U);
}

BOOST_AUTO_TEST_CASE(stand_by_is_in_another_failure_domain_than_the_owner) {
  auto view = MakeView(7);
  auto set = MakeCandidates(view.services.front());
  for (auto hash = std::uint64_t{1}; hash < 200; ++hash) {
    auto owner = set.candidates[hash % set.candidates.size()];
    auto index = FindStandBy(set, hash * 0x9e3779b97f4a7c15ULL, owner.target, owner.failure_domain);
    BOOST_REQUIRE(index != kNone);
    BOOST_TEST(set.candidates[index].failure_domain != owner.failure_domain);
  }
  for (auto& candidate : set.candidates) candidate.failure_domain = 1;
  auto owner = set.candidates[0].target;
  BOOST_CHECK(set.candidates[FindStandBy(set, 7, owner, 1)].target != owner);
  set.candidates.resize(1);
  BOOST_TEST(FindStandBy(set, 7, owner, 1) == kNone);
}

}  // namespace
}  // namespace anvildrum::steering
