#include <boost/test/unit_test.hpp>

#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

// GET /hold with Observe 0 or 1.
auto ObserveGet(std::uint16_t message_id, bool cancel) -> Bytes {
  auto bytes = Bytes{0x41, 1, static_cast<std::uint8_t>(message_id >> 8),
                     static_cast<std::uint8_t>(message_id), 5};
  if (cancel) {
    bytes.insert(bytes.end(), {0x61, 1});
  } else {
    bytes.push_back(0x60);
  }
  bytes.insert(bytes.end(), {0x54, 'h', 'o', 'l', 'd'});
  return bytes;
}

auto Notification(MessageType type, std::uint16_t message_id, const Token& token,
                  std::uint8_t sequence) -> Bytes {
  auto bytes =
      Bytes{static_cast<std::uint8_t>(0x40 | static_cast<int>(type) << 4 | token.size), 0x45,
            static_cast<std::uint8_t>(message_id >> 8), static_cast<std::uint8_t>(message_id)};
  bytes.insert(bytes.end(), token.bytes.begin(), token.bytes.begin() + token.size);
  bytes.insert(bytes.end(), {0x61, sequence, 0xff, 'x'});
  return bytes;
}

// Opens a stream and returns its token towards the target.
auto OpenStream(Rig& rig) -> Token {
  FromClient(rig, ObserveGet(1, false));
  auto request = ParseMessage(rig.to_target.at(0)).value();
  auto token = request.token;
  Feed(rig, TargetDatagram{
                kFlow, Notification(MessageType::kAcknowledgement, request.message_id, token, 10)});
  return token;
}

// A price feed holds a connection for hours and a slot for its first answer only.
BOOST_AUTO_TEST_CASE(stream_gives_its_slot_back) {
  auto rig = MakeRig(Alone());
  OpenStream(rig);
  BOOST_TEST(Sent(rig).message_id == 1);
  auto busy = RequestLoadOf(*rig.core, rig.now);
  BOOST_TEST(busy.running == 0U);
  BOOST_TEST(busy.streams == 1U);
}

// A client that opens streams without end is refused, typed and counted.
BOOST_AUTO_TEST_CASE(streams_of_a_flow_are_bounded) {
  auto parameters = Alone();
  parameters.flow_streams = 1;
  auto rig = MakeRig(parameters);
  OpenStream(rig);
  auto second = WithIdentity(ObserveGet(9, false), MessageType::kConfirmable, 9, TokenOf(77));
  FromClient(rig, second);
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_CHECK(rig.counts == std::vector{Counter::kRefusedStreams});
}

// A stream, a request or a transfer keeps the flow's socket; nothing else does.
BOOST_AUTO_TEST_CASE(flow_with_a_stream_is_not_idle) {
  auto rig = MakeRig(Alone());
  BOOST_TEST(IsIdle(*rig.core, kFlow, rig.now));
  auto token = OpenStream(rig);
  BOOST_TEST(!IsIdle(*rig.core, kFlow, rig.now));
  Feed(rig, TargetDatagram{kFlow, Notification(MessageType::kNonConfirmable, 500, token, 11)});
  FromClient(rig, BuildReset(Sent(rig).message_id));
  BOOST_TEST(IsIdle(*rig.core, kFlow, rig.now));
}

// The target dies under a stream: its client is told at once and under the stream's token, instead
// of watching a frozen screen.
BOOST_AUTO_TEST_CASE(stream_of_a_dead_target_is_ended_aloud) {
  auto rig = MakeRig(Alone());
  OpenStream(rig);
  Feed(rig, TargetUnreachable{kFlow});
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_CHECK(Sent(rig).token == TokenOf(5));
  BOOST_CHECK(Sent(rig).type == MessageType::kConfirmable);
}

// A ping (an empty CON) is answered by the agent (RFC 7252, 4.3).
BOOST_AUTO_TEST_CASE(ping_is_answered_by_a_reset) {
  auto rig = MakeRig(Alone());
  FromClient(rig, Bytes{0x40, 0, 0, 9});
  BOOST_TEST(rig.to_client.at(0) == BuildReset(9));
  BOOST_TEST(rig.to_target.empty());
}

// Notifications reach the client under its own token; one that was overtaken is dropped, or the
// screen would show an older price after a newer one.
BOOST_AUTO_TEST_CASE(overtaken_notification_is_dropped) {
  auto rig = MakeRig(Alone());
  auto token = OpenStream(rig);
  rig.now += base::hours(1);
  Feed(rig, TargetDatagram{kFlow, Notification(MessageType::kNonConfirmable, 101, token, 12)});
  BOOST_CHECK(Sent(rig).token == TokenOf(5));
  Feed(rig, TargetDatagram{kFlow, Notification(MessageType::kNonConfirmable, 100, token, 11)});
  BOOST_TEST(rig.to_client.empty());
  BOOST_CHECK(rig.counts == std::vector{Counter::kStaleNotification});
}

// The client's ACK and RST go back under the target's message ID; on RST the stream is freed.
BOOST_AUTO_TEST_CASE(reset_of_the_client_frees_the_stream) {
  auto rig = MakeRig(Alone());
  auto token = OpenStream(rig);
  Feed(rig, TargetDatagram{kFlow, Notification(MessageType::kConfirmable, 500, token, 11)});
  auto message_id = Sent(rig).message_id;
  FromClient(rig, BuildEmptyAck(message_id));
  BOOST_TEST(rig.to_target.at(0) == BuildEmptyAck(500));
  FromClient(rig, BuildReset(message_id));
  BOOST_TEST(rig.to_target.at(0) == BuildReset(500));
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).streams == 0U);
}

// The client is gone and acknowledges nothing: the target is told by an RST and the stream freed,
// while its copies keep one message ID, so that a client that is there sees no duplicate.
BOOST_AUTO_TEST_CASE(stream_of_a_vanished_client_is_freed) {
  auto rig = MakeRig(Alone());
  auto token = OpenStream(rig);
  auto notification = Notification(MessageType::kConfirmable, 500, token, 11);
  Feed(rig, TargetDatagram{kFlow, notification});
  auto first = rig.to_client.at(0);
  rig.now += base::seconds(30);
  Feed(rig, TargetDatagram{kFlow, notification});
  BOOST_TEST(rig.to_client.at(0) == first);
  rig.now += base::seconds(63);
  Feed(rig, Timer{});
  BOOST_TEST(rig.to_target.at(0) == BuildReset(500));
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).streams == 0U);
}

// The client cancels with the token of its observation; the target must see the token it knows the
// observation by, or it would go on for ever.
BOOST_AUTO_TEST_CASE(cancellation_reaches_the_target_under_the_same_token) {
  auto rig = MakeRig(Alone());
  auto token = OpenStream(rig);
  FromClient(rig, ObserveGet(2, true));
  auto request = ParseMessage(rig.to_target.at(0)).value();
  BOOST_CHECK(request.token == token);
  Answer(rig, request, 1);
  BOOST_TEST(Sent(rig).message_id == 2);
  auto busy = RequestLoadOf(*rig.core, rig.now);
  BOOST_TEST(busy.streams == 0U);
  BOOST_TEST(busy.ledger_entries == 0U);
}

// The target acknowledges a POST and answers it seconds later. A retransmission in between gets
// the ACK; the answer is passed on with the target's retransmissions under one message ID.
BOOST_AUTO_TEST_CASE(separate_response) {
  auto rig = MakeRig(Alone());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  auto sent = rig.to_target.at(0);
  auto request = ParseMessage(sent).value();
  Feed(rig, TargetDatagram{kFlow, BuildEmptyAck(request.message_id)});
  BOOST_TEST(rig.to_client.at(0) == BuildEmptyAck(2));
  FromClient(rig, post);
  BOOST_TEST(rig.to_client.at(0) == BuildEmptyAck(2));
  BOOST_TEST(rig.to_target.empty());
  auto response = world::MakeResponse(MessageType::kConfirmable, 900, request.token, 7);
  Feed(rig, TargetDatagram{kFlow, response});
  auto answer = rig.to_client.at(0);
  Feed(rig, TargetDatagram{kFlow, response});
  BOOST_TEST(rig.to_client.at(0) == answer);
  FromClient(rig, BuildEmptyAck(ParseMessage(answer).value().message_id));
  BOOST_TEST(rig.to_target.at(0) == BuildEmptyAck(900));
}

// A read was answered and its client uses the token for the next request, when a copy of the read
// comes late and the target answers it separately. Passed on as a message of its own, the answer
// would be taken for that of the next request; in the ACK of the old message ID it does no harm.
BOOST_AUTO_TEST_CASE(late_copy_of_a_read_is_answered_in_its_ack) {
  auto rig = MakeRig(Alone());
  FromClient(rig, Get(1, 7));
  auto request = ParseMessage(rig.to_target.at(0)).value();
  auto token = request.token;
  Feed(rig, TargetDatagram{kFlow, BuildEmptyAck(request.message_id)});
  BOOST_TEST(rig.to_client.empty());
  auto response = world::MakeResponse(MessageType::kConfirmable, 900, token, 7);
  Feed(rig, TargetDatagram{kFlow, response});
  BOOST_CHECK(Sent(rig).type == MessageType::kAcknowledgement);
  BOOST_TEST(Sent(rig).message_id == 1);
  BOOST_TEST(rig.to_target.at(0) == BuildEmptyAck(900));
}

// A copy of a NON read that was answered is dropped (RFC 7252, 4.3): a second answer would be
// matched by its token alone.
BOOST_AUTO_TEST_CASE(copy_of_an_answered_non_is_dropped) {
  auto rig = MakeRig(Alone());
  auto read = WithIdentity(Get(1, 7), MessageType::kNonConfirmable, 1, TokenOf(7));
  FromClient(rig, read);
  auto token = Forwarded(rig).token;
  Feed(rig, TargetDatagram{kFlow, world::MakeResponse(MessageType::kNonConfirmable, 3, token, 7)});
  BOOST_TEST(rig.to_client.size() == 1U);
  FromClient(rig, read);
  BOOST_TEST(rig.to_target.empty());
}

// A NON read was refused; when a slot is free again a copy of it comes. It gets the same refusal:
// the client was told "not run" and may use the token for its next request.
BOOST_AUTO_TEST_CASE(copy_of_a_refused_non_gets_the_same_refusal) {
  auto parameters = Alone();
  parameters.slots = 1;
  parameters.queue_size = 0;
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1), kOtherFlow);
  auto sent = rig.to_target.at(0);
  auto read = WithIdentity(Get(1, 7), MessageType::kNonConfirmable, 1, TokenOf(7));
  FromClient(rig, read);
  auto refusal = rig.to_client.at(0);
  Answer(rig, ParseMessage(sent).value(), 1, kOtherFlow);
  FromClient(rig, read);
  BOOST_TEST(rig.to_target.empty());
  BOOST_TEST(rig.to_client.at(0) == refusal);
}

// An answer that comes in on the socket of another flow is nobody's.
BOOST_AUTO_TEST_CASE(answer_on_the_wrong_flow_is_dropped) {
  auto rig = MakeRig(Alone());
  FromClient(rig, Get(1, 7));
  auto sent = rig.to_target.at(0);
  Answer(rig, ParseMessage(sent).value(), 7, kOtherFlow);
  BOOST_TEST(rig.to_client.empty());
  BOOST_CHECK(rig.counts == std::vector{Counter::kLateAnswer});
}

// The client has ended its observation when a copy of the registration comes late: it opens no
// stream that nobody reads.
BOOST_AUTO_TEST_CASE(late_copy_of_a_registration_opens_no_stream) {
  auto rig = MakeRig(Alone());
  auto token = OpenStream(rig);
  Feed(rig, TargetDatagram{kFlow, Notification(MessageType::kNonConfirmable, 500, token, 11)});
  FromClient(rig, BuildReset(Sent(rig).message_id));
  FromClient(rig, ObserveGet(1, false));
  BOOST_TEST(rig.to_target.empty());
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).streams == 0U);
}

// A screen asks for a feed and closes at once: its Observe 1 overtakes the target's first answer.
// The target is told under the token of the registration; the answer opens no stream.
BOOST_AUTO_TEST_CASE(registration_is_given_up_before_its_answer) {
  auto rig = MakeRig(Alone());
  FromClient(rig, ObserveGet(1, false));
  auto sent = rig.to_target.at(0);
  auto request = ParseMessage(sent).value();
  FromClient(rig, ObserveGet(2, true));
  BOOST_REQUIRE(rig.to_target.size() == 2U);
  BOOST_TEST(Forwarded(rig).observe.value() == 1U);
  BOOST_CHECK(Forwarded(rig).token == request.token);
  Feed(rig, TargetDatagram{kFlow, Notification(MessageType::kAcknowledgement, request.message_id,
                                               request.token, 10)});
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).streams == 0U);
}

// The client has the ACK when the target freezes, so it no longer asks: its 5.04 is a CON of the
// agent's, sent again until the client acknowledges it.
BOOST_AUTO_TEST_CASE(outcome_after_an_ack_is_sent_until_acknowledged) {
  auto rig = MakeRig(Alone());
  FromClient(rig, ChallengedPost(rig, 1, 7));
  auto sent = rig.to_target.at(0);
  Feed(rig, TargetDatagram{kFlow, BuildEmptyAck(ParseMessage(sent).value().message_id)});
  rig.now += rig.parameters.run_limit;
  Feed(rig, Timer{});
  auto outcome = rig.to_client.at(0);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_CHECK(Sent(rig).type == MessageType::kConfirmable);
  rig.now += base::seconds(2);
  Feed(rig, Timer{});
  BOOST_TEST(rig.to_client.at(0) == outcome);
  FromClient(rig, BuildEmptyAck(ParseMessage(outcome).value().message_id));
  rig.now += base::seconds(60);
  Feed(rig, Timer{});
  BOOST_TEST(rig.to_client.empty());
}

}  // namespace
}  // namespace anvildrum::requests
