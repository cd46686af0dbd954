#include "requests/hand_over.h"

#include <boost/test/unit_test.hpp>

#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

constexpr auto kNon = MessageType::kNonConfirmable;
constexpr auto kAck = MessageType::kAcknowledgement;

// GET /hold with Observe 0, token 5.
const auto kObserveGet = Bytes{0x41, 1, 0, 1, 5, 0x60, 0x54, 'h', 'o', 'l', 'd'};

auto Notification(MessageType type, std::uint16_t message_id, const Token& token,
                  std::uint8_t sequence) -> Bytes {
  auto bytes =
      Bytes{static_cast<std::uint8_t>(0x40 | static_cast<int>(type) << 4 | token.size), 0x45,
            static_cast<std::uint8_t>(message_id >> 8), static_cast<std::uint8_t>(message_id)};
  bytes.insert(bytes.end(), token.bytes.begin(), token.bytes.begin() + token.size);
  bytes.insert(bytes.end(), {0x61, sequence, 0xff, 'x'});
  return bytes;
}

auto Export(const Rig& rig) -> std::optional<FlowRecord> {
  return ExportFlow(*rig.core, IndexLedger(*rig.core), kFlow, rig.now);
}

struct Pair {
  Rig old_owner = MakeRig(WithoutHandOn());
  Rig new_owner = MakeRig(WithoutHandOn());
  Pair() { Restart(this->new_owner); }  // another incarnation and secret
};

auto Move(Pair& pair) -> void {
  auto record = Export(pair.old_owner);
  BOOST_REQUIRE(record.has_value());
  pair.new_owner.now = pair.old_owner.now;
  Feed(pair.new_owner, FlowAdopted{kFlow, &*record});
  Feed(pair.old_owner, FlowClosed{kFlow});
}

// Opens a stream and sends a notification with `sequence`, which is returned.
auto OpenStream(Rig& rig, std::uint8_t sequence) -> Message {
  FromClient(rig, kObserveGet);
  auto request = ParseMessage(rig.to_target.at(0)).value();
  Feed(rig, TargetDatagram{kFlow, Notification(kAck, request.message_id, request.token, 10)});
  Feed(rig, TargetDatagram{kFlow, Notification(kNon, 300, request.token, sequence)});
  return Sent(rig);
}

// A trader's feed moves when its target drains. The next price has to have the client's token, the
// next sequence number and a new message ID. The new target counts from 2 again, and if its numbers
// were forwarded unchanged, the client would drop every price for two minutes.
BOOST_AUTO_TEST_CASE(moved_stream_continues_with_rising_sequence_numbers) {
  auto pair = Pair{};
  auto before = OpenStream(pair.old_owner, 200);
  auto before_id = before.message_id;
  Move(pair);
  auto request = Forwarded(pair.new_owner);
  BOOST_CHECK(request.observe == 0U);
  auto token = request.token;
  Feed(pair.new_owner, TargetDatagram{kFlow, Notification(kAck, request.message_id, token, 2)});
  auto first = Sent(pair.new_owner);
  BOOST_CHECK(first.token == TokenOf(5));
  BOOST_CHECK(first.type == kNon);
  BOOST_CHECK(first.observe == 201U);
  BOOST_TEST(first.message_id == static_cast<std::uint16_t>(before_id + 1));
  Feed(pair.new_owner, TargetDatagram{kFlow, Notification(kNon, 301, token, 3)});
  BOOST_CHECK(Sent(pair.new_owner).observe == 202U);
  BOOST_TEST(RequestLoadOf(*pair.new_owner.core, pair.new_owner.now).streams == 1U);
}

// A second drain moves the stream to a third target. The numbers have to continue from the last one
// sent to the client, not from the second target's own.
BOOST_AUTO_TEST_CASE(stream_moves_twice) {
  auto pair = Pair{};
  OpenStream(pair.old_owner, 200);
  Move(pair);
  auto request = Forwarded(pair.new_owner);
  Feed(pair.new_owner,
       TargetDatagram{kFlow, Notification(kAck, request.message_id, request.token, 9)});
  auto third = Pair{};
  third.old_owner = std::move(pair.new_owner);
  Move(third);
  request = Forwarded(third.new_owner);
  Feed(third.new_owner,
       TargetDatagram{kFlow, Notification(kAck, request.message_id, request.token, 1)});
  BOOST_CHECK(Sent(third.new_owner).observe == 202U);
}

// Sequence numbers have 24 bits and wrap to 0.
BOOST_AUTO_TEST_CASE(moved_sequence_number_wraps) {
  auto pair = Pair{};
  auto record = FlowRecord{};
  record.streams.push_back({kObserveGet, 0xffffff});
  Feed(pair.new_owner, FlowAdopted{kFlow, &record});
  auto request = Forwarded(pair.new_owner);
  Feed(pair.new_owner,
       TargetDatagram{kFlow, Notification(kAck, request.message_id, request.token, 9)});
  BOOST_CHECK(Sent(pair.new_owner).observe == 0U);
}

// A hold ran at the old owner, and late copies of both its messages reach the new one. The copy
// with Echo has to get the answer again, and the one without Echo no answer, since its client has
// the challenge. A new challenge could make the client run the hold twice.
BOOST_AUTO_TEST_CASE(late_copies_of_a_hold_match_the_new_ledger) {
  auto pair = Pair{};
  auto confirmed = ChallengedPost(pair.old_owner, 20, 7);
  FromClient(pair.old_owner, confirmed);
  Answer(pair.old_owner, Forwarded(pair.old_owner), 7);
  auto answer = pair.old_owner.to_client.at(0);
  Move(pair);
  FromClient(pair.new_owner, confirmed);
  BOOST_TEST(pair.new_owner.to_client.at(0) == answer);
  BOOST_TEST(pair.new_owner.to_target.empty());
  FromClient(pair.new_owner, world::MakeRequest(world::kPost, 20, TokenOf(7), 7));
  BOOST_TEST(pair.new_owner.to_client.empty());
  BOOST_TEST(pair.new_owner.to_target.empty());
}

// A client answers its challenge after the flow has moved. The request must not run, and both of
// its messages have to get the outcome "unknown".
BOOST_AUTO_TEST_CASE(challenge_answered_after_the_move_is_unknown) {
  auto pair = Pair{};
  auto confirmed = ChallengedPost(pair.old_owner, 20, 7);
  pair.old_owner.now += base::seconds(6);
  Move(pair);
  FromClient(pair.new_owner, confirmed);
  BOOST_TEST(Sent(pair.new_owner).code == kCodeGatewayTimeout);
  FromClient(pair.new_owner, world::MakeRequest(world::kPost, 20, TokenOf(7), 7));
  BOOST_TEST(Sent(pair.new_owner).code == kCodeGatewayTimeout);
  BOOST_TEST(pair.new_owner.to_target.empty());
}

// A new hold arrives after a move. It has to be challenged as on any flow, and not answered
// "unknown" for four minutes as on a flow whose owner died with its ledger.
BOOST_AUTO_TEST_CASE(new_hold_after_a_move_runs) {
  auto pair = Pair{};
  OpenStream(pair.old_owner, 11);
  Move(pair);
  FromClient(pair.new_owner, ChallengedPost(pair.new_owner, 30, 8));
  BOOST_TEST(pair.new_owner.to_target.size() == 1U);
}

// The old owner had taken the flow over from an agent that died with its ledger. The rest of that
// quarantine has to apply at the new owner.
BOOST_AUTO_TEST_CASE(quarantine_moves_with_the_flow) {
  auto pair = Pair{};
  Feed(pair.old_owner, FlowOpened{kFlow, true});
  pair.old_owner.now += base::seconds(100);
  Move(pair);
  FromClient(pair.new_owner, world::MakeRequest(world::kPost, 20, TokenOf(7), 7));
  BOOST_TEST(Sent(pair.new_owner).code == kCodeGatewayTimeout);
  pair.new_owner.now += base::seconds(148);
  FromClient(pair.new_owner, world::MakeRequest(world::kPost, 21, TokenOf(8), 8));
  BOOST_TEST(Sent(pair.new_owner).code == kCodeUnauthorized);
}

// A flow must not move while a request runs, a challenge may be answered, or an answer may not have
// reached the client.
BOOST_AUTO_TEST_CASE(busy_flow_does_not_move) {
  auto rig = MakeRig(WithoutHandOn());
  auto confirmed = ChallengedPost(rig, 20, 7);
  BOOST_TEST(!Export(rig).has_value());
  FromClient(rig, confirmed);
  auto request = Forwarded(rig);
  BOOST_TEST(!Export(rig).has_value());
  auto token = request.token;
  Feed(rig, TargetDatagram{kFlow, BuildEmptyAck(request.message_id)});
  Feed(rig, TargetDatagram{kFlow, world::MakeResponse(MessageType::kConfirmable, 900, token, 7)});
  BOOST_TEST(!Export(rig).has_value());
  FromClient(rig, BuildEmptyAck(Sent(rig).message_id));
  BOOST_TEST(Export(rig).has_value());
}

// A full ledger cannot import a flow without losing requests of its own, so it has to report no
// room.
BOOST_AUTO_TEST_CASE(full_ledger_has_no_room_for_a_record) {
  auto parameters = WithoutHandOn();
  parameters.ledger_bytes = kLedgerEntryBytes;
  auto rig = MakeRig(parameters);
  auto record = FlowRecord{};
  record.requests.push_back({});
  BOOST_TEST(HasRoomFor(*rig.core, record));
  record.requests.push_back({});
  BOOST_TEST(!HasRoomFor(*rig.core, record));
}

}  // namespace
}  // namespace anvildrum::requests
