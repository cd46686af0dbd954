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

// Opens a stream and returns its token at the target.
auto OpenStream(Rig& rig) -> Token {
  FromClient(rig, ObserveGet(1, false));
  auto request = ParseMessage(rig.to_target.at(0)).value();
  auto token = request.token;
  Feed(rig, TargetDatagram{
                kFlow, Notification(MessageType::kAcknowledgement, request.message_id, token, 10)});
  return token;
}

// A price feed lasts for hours. It may occupy a slot only until its first answer.
BOOST_AUTO_TEST_CASE(stream_releases_its_slot) {
  auto rig = MakeRig(WithoutHandOn());
  OpenStream(rig);
  BOOST_TEST(Sent(rig).message_id == 1);
  auto load = RequestLoadOf(*rig.core, rig.now);
  BOOST_TEST(load.running == 0U);
  BOOST_TEST(load.streams == 1U);
}

// A client that opens streams without limit has to be refused and counted.
BOOST_AUTO_TEST_CASE(streams_of_a_flow_are_bounded) {
  auto parameters = WithoutHandOn();
  parameters.flow_streams = 1;
  auto rig = MakeRig(parameters);
  OpenStream(rig);
  auto second = WithIdentity(ObserveGet(9, false), MessageType::kConfirmable, 9, TokenOf(77));
  FromClient(rig, second);
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_CHECK(rig.counts == std::vector{Counter::kRefusedStreams});
}

// The flow's socket is needed for a stream, a request or a transfer, and only for these.
BOOST_AUTO_TEST_CASE(flow_with_a_stream_is_not_idle) {
  auto rig = MakeRig(WithoutHandOn());
  BOOST_TEST(IsIdle(*rig.core, kFlow, rig.now));
  auto token = OpenStream(rig);
  BOOST_TEST(!IsIdle(*rig.core, kFlow, rig.now));
  Feed(rig, TargetDatagram{kFlow, Notification(MessageType::kNonConfirmable, 500, token, 11)});
  FromClient(rig, BuildReset(Sent(rig).message_id));
  BOOST_TEST(IsIdle(*rig.core, kFlow, rig.now));
}

// The target of a stream dies. The client has to get an error at once under the stream's token, or
// its display would silently stop updating.
BOOST_AUTO_TEST_CASE(client_of_a_dead_targets_stream_is_notified) {
  auto rig = MakeRig(WithoutHandOn());
  OpenStream(rig);
  Feed(rig, TargetUnreachable{kFlow});
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_CHECK(Sent(rig).token == TokenOf(5));
  BOOST_CHECK(Sent(rig).type == MessageType::kConfirmable);
}

// The agent has to answer a ping (an empty CON, RFC 7252, 4.3).
BOOST_AUTO_TEST_CASE(ping_is_answered_by_a_reset) {
  auto rig = MakeRig(WithoutHandOn());
  FromClient(rig, Bytes{0x40, 0, 0, 9});
  BOOST_TEST(rig.to_client.at(0) == BuildReset(9));
  BOOST_TEST(rig.to_target.empty());
}

// Notifications have to reach the client under its own token. A reordered one has to be dropped, or
// the client would show an older price after a newer one.
BOOST_AUTO_TEST_CASE(overtaken_notification_is_dropped) {
  auto rig = MakeRig(WithoutHandOn());
  auto token = OpenStream(rig);
  rig.now += base::hours(1);
  Feed(rig, TargetDatagram{kFlow, Notification(MessageType::kNonConfirmable, 101, token, 12)});
  BOOST_CHECK(Sent(rig).token == TokenOf(5));
  Feed(rig, TargetDatagram{kFlow, Notification(MessageType::kNonConfirmable, 100, token, 11)});
  BOOST_TEST(rig.to_client.empty());
  BOOST_CHECK(rig.counts == std::vector{Counter::kStaleNotification});
}

// The client's ACK and RST have to be returned under the target's message ID. An RST has to end the
// stream.
BOOST_AUTO_TEST_CASE(reset_of_the_client_frees_the_stream) {
  auto rig = MakeRig(WithoutHandOn());
  auto token = OpenStream(rig);
  Feed(rig, TargetDatagram{kFlow, Notification(MessageType::kConfirmable, 500, token, 11)});
  auto message_id = Sent(rig).message_id;
  FromClient(rig, BuildEmptyAck(message_id));
  BOOST_TEST(rig.to_target.at(0) == BuildEmptyAck(500));
  FromClient(rig, BuildReset(message_id));
  BOOST_TEST(rig.to_target.at(0) == BuildReset(500));
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).streams == 0U);
}

// The client is gone and acknowledges nothing. The target has to get an RST and the stream has to
// end. All copies of a notification need the same message ID, so that a live client would see no
// duplicate.
BOOST_AUTO_TEST_CASE(stream_of_a_vanished_client_is_freed) {
  auto rig = MakeRig(WithoutHandOn());
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

// The client cancels with the token of its observation. The target has to get the token under which
// it knows the observation, or the observation would never end.
BOOST_AUTO_TEST_CASE(cancellation_reaches_the_target_under_the_same_token) {
  auto rig = MakeRig(WithoutHandOn());
  auto token = OpenStream(rig);
  FromClient(rig, ObserveGet(2, true));
  auto request = ParseMessage(rig.to_target.at(0)).value();
  BOOST_CHECK(request.token == token);
  Answer(rig, request, 1);
  BOOST_TEST(Sent(rig).message_id == 2);
  auto load = RequestLoadOf(*rig.core, rig.now);
  BOOST_TEST(load.streams == 0U);
  BOOST_TEST(load.ledger_entries == 0U);
}

// The target acknowledges a POST and answers it seconds later. A retransmission in between has to
// get the ACK, and the target's retransmissions of the answer have to be forwarded under one
// message ID.
BOOST_AUTO_TEST_CASE(separate_response) {
  auto rig = MakeRig(WithoutHandOn());
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

// A read was answered, and its client reuses the token, when a late copy of the read gets a
// separate answer from the target. Forwarded as a message of its own, it would be taken for the
// answer to the next request. In the ACK of the old message ID it is harmless.
BOOST_AUTO_TEST_CASE(late_copy_of_a_read_is_answered_in_its_ack) {
  auto rig = MakeRig(WithoutHandOn());
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

// A copy of an answered NON read has to be dropped (RFC 7252, 4.3), since a second answer would be
// matched by its token alone.
BOOST_AUTO_TEST_CASE(copy_of_an_answered_non_is_dropped) {
  auto rig = MakeRig(WithoutHandOn());
  auto read = WithIdentity(Get(1, 7), MessageType::kNonConfirmable, 1, TokenOf(7));
  FromClient(rig, read);
  auto token = Forwarded(rig).token;
  Feed(rig, TargetDatagram{kFlow, world::MakeResponse(MessageType::kNonConfirmable, 3, token, 7)});
  BOOST_TEST(rig.to_client.size() == 1U);
  FromClient(rig, read);
  BOOST_TEST(rig.to_target.empty());
}

// A NON read was refused, and a copy of it arrives when a slot is free. The client was told "not
// run" and may reuse the token, so the copy has to get the same refusal.
BOOST_AUTO_TEST_CASE(copy_of_a_refused_non_gets_the_same_refusal) {
  auto parameters = WithoutHandOn();
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

// An answer received on the socket of another flow has to be dropped.
BOOST_AUTO_TEST_CASE(answer_on_the_wrong_flow_is_dropped) {
  auto rig = MakeRig(WithoutHandOn());
  FromClient(rig, Get(1, 7));
  auto sent = rig.to_target.at(0);
  Answer(rig, ParseMessage(sent).value(), 7, kOtherFlow);
  BOOST_TEST(rig.to_client.empty());
  BOOST_CHECK(rig.counts == std::vector{Counter::kLateAnswer});
}

// The client has ended its observation, and a late copy of the registration arrives. It must not
// open a stream that nobody reads.
BOOST_AUTO_TEST_CASE(late_copy_of_a_registration_opens_no_stream) {
  auto rig = MakeRig(WithoutHandOn());
  auto token = OpenStream(rig);
  Feed(rig, TargetDatagram{kFlow, Notification(MessageType::kNonConfirmable, 500, token, 11)});
  FromClient(rig, BuildReset(Sent(rig).message_id));
  FromClient(rig, ObserveGet(1, false));
  BOOST_TEST(rig.to_target.empty());
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).streams == 0U);
}

// A client requests a feed and cancels it by Observe 1 before the target's first answer. The target
// has to be told under the token of the registration, and the answer must not open a stream.
BOOST_AUTO_TEST_CASE(registration_is_cancelled_before_its_answer) {
  auto rig = MakeRig(WithoutHandOn());
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

// The target hangs after the client has got the ACK and stopped retransmitting. The 5.04 has to be
// a CON of the agent, retransmitted until the client acknowledges it.
BOOST_AUTO_TEST_CASE(outcome_after_an_ack_is_sent_until_acknowledged) {
  auto rig = MakeRig(WithoutHandOn());
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
