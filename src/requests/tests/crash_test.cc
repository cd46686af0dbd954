#include <boost/test/unit_test.hpp>

#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

// The agent dies after it has challenged a client, which answers the challenge to the new
// incarnation. That one cannot know whether the POST ran under the old value, so it has to answer
// 5.04 and not run it.
BOOST_AUTO_TEST_CASE(agent_dies_before_admission) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  Restart(rig);
  FromClient(rig, post);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// The agent dies while the POST is admitted and queued, but not sent. The new incarnation has to
// answer the client's retransmission with 5.04 at once and not run it.
BOOST_AUTO_TEST_CASE(agent_dies_before_the_target_has_it) {
  auto parameters = WithoutHandOn();
  parameters.slots = 1;
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1), kOtherFlow);
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  BOOST_REQUIRE(rig.to_target.empty());
  Restart(rig);
  FromClient(rig, post);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// The agent dies while the target runs the POST. The new incarnation does not know the request, so
// it has to drop the answer, and answer the retransmission with 5.04 without running it again.
BOOST_AUTO_TEST_CASE(agent_dies_while_the_target_runs_it) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  auto request = ParseMessage(rig.to_target.at(0)).value();
  Restart(rig);
  Answer(rig, request, 7);
  BOOST_TEST(rig.to_client.empty());
  FromClient(rig, post);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// The POST ran, its answer was lost on the way to the client, and the agent died. The
// retransmission has to get 5.04 and must not run again.
BOOST_AUTO_TEST_CASE(agent_dies_after_the_run) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  auto sent = rig.to_target.at(0);
  Answer(rig, ParseMessage(sent).value(), 7);
  Restart(rig);
  FromClient(rig, post);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// The answer was lost on the way to the client. Each retransmission, through whichever balancer,
// has to get the same bytes, and the target may see one request only.
BOOST_AUTO_TEST_CASE(answer_is_lost_after_it_left) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  auto sent = rig.to_target.at(0);
  Answer(rig, ParseMessage(sent).value(), 7);
  auto answer = rig.to_client.at(0);
  rig.now += base::seconds(200);
  FromClient(rig, post);
  BOOST_TEST(rig.to_client.at(0) == answer);
  BOOST_TEST(rig.to_target.empty());
}

// A copy of a POST that ran arrives after its ledger entry has expired. The Echo value is too old
// to run anything, so the client gets 5.04 and the target must not see the copy.
BOOST_AUTO_TEST_CASE(copy_arrives_after_its_ledger_entry_expired) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  auto sent = rig.to_target.at(0);
  Answer(rig, ParseMessage(sent).value(), 7);
  rig.now += base::seconds(600);
  FromClient(rig, post);
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).ledger_entries == 0U);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// The answer to a challenge was delayed by minutes, and its client may have stopped waiting. It has
// to be refused as not run, and a further copy has to get the same refusal.
BOOST_AUTO_TEST_CASE(challenge_is_answered_too_late) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  rig.now += base::seconds(180);
  for (auto copy = 0; copy < 2; ++copy) {
    FromClient(rig, post);
    BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
    BOOST_TEST(rig.to_target.empty());
  }
}

// The network duplicates a challenge, and the client answers both copies under two message IDs and
// tokens. One runs. The other has to get 5.04, since with the same value it may be the same hold.
BOOST_AUTO_TEST_CASE(challenge_is_answered_twice) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  auto again = WithIdentity(post, MessageType::kConfirmable, 9, TokenOf(200));
  FromClient(rig, post);
  auto sent = rig.to_target.at(0);
  FromClient(rig, again);
  BOOST_TEST(rig.to_target.empty());
  BOOST_TEST(rig.to_client.empty());  // the first has no outcome yet
  Answer(rig, ParseMessage(sent).value(), 7);
  BOOST_TEST(Sent(rig).message_id == 2);
  FromClient(rig, again);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// The client answered its challenge while the flow was at another agent, where the POST was foreign
// and got 5.04. The flow has returned here, and a delayed copy of the answer must not run.
BOOST_AUTO_TEST_CASE(copy_arrives_after_the_flow_has_returned) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  Feed(rig, FlowClosed{kFlow});
  FromClient(rig, post);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
  auto other = ChallengedPost(rig, 11, 8, kOtherFlow);
  Feed(rig, FlowOpened{kOtherFlow});
  FromClient(rig, other, kOtherFlow);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// A repeated first POST has to get the same challenge, not a second value that could run it again.
BOOST_AUTO_TEST_CASE(repeated_request_gets_the_same_challenge) {
  auto rig = MakeRig(WithoutHandOn());
  auto first = world::MakeRequest(world::kPost, 1, TokenOf(1), 7);
  FromClient(rig, first);
  auto challenge = rig.to_client.at(0);
  rig.now += base::seconds(45);
  FromClient(rig, first);
  BOOST_TEST(rig.to_client.at(0) == challenge);
}

// Another POST with a value that the client has cached is a new request. It has to be challenged
// and not answered "unknown".
BOOST_AUTO_TEST_CASE(cached_echo_on_another_request) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  auto echo = *ParseMessage(post).value().echo;
  auto other = world::MakeRequest(world::kPost, 5, TokenOf(5), 8);
  FromClient(rig, WithEcho(ParseMessage(other).value(), echo));
  BOOST_TEST(Sent(rig).code == kCodeUnauthorized);
  BOOST_TEST(rig.to_target.empty());
}

// A NAT timeout changes the client's address, and its retransmission arrives as another flow. The
// POST has run in the old flow, so its value must neither run it nor get a new challenge, but 5.04.
BOOST_AUTO_TEST_CASE(echo_of_another_flow) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  FromClient(rig, post, kOtherFlow);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// The network duplicates a POST with a cached value. Both copies have to get the same challenge.
BOOST_AUTO_TEST_CASE(cached_echo_on_a_doubled_request) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  auto echo = *ParseMessage(post).value().echo;
  auto other = world::MakeRequest(world::kPost, 5, TokenOf(5), 8);
  auto cached = WithEcho(ParseMessage(other).value(), echo);
  FromClient(rig, cached);
  auto challenge = rig.to_client.at(0);
  FromClient(rig, cached);
  BOOST_TEST(rig.to_client.at(0) == challenge);
}

// The flow's agent died and this one took the flow over. A late copy of the client's first POST
// must not be challenged here, because a client that answered would have it run again.
BOOST_AUTO_TEST_CASE(late_copy_reaches_the_agent_that_took_over) {
  auto rig = MakeRig(WithoutHandOn());
  Feed(rig, FlowOpened{kFlow, true});
  auto first = world::MakeRequest(world::kPost, 1, TokenOf(1), 7);
  FromClient(rig, first);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  rig.now += kExchangeLifetime;
  FromClient(rig, first);
  BOOST_TEST(Sent(rig).code == kCodeUnauthorized);
}

// The target dies with a POST and a GET running and another POST queued. All three clients have to
// be told at once: unknown for the requests that were running, not run for the queued one.
BOOST_AUTO_TEST_CASE(target_dies_with_requests_in_progress) {
  auto parameters = WithoutHandOn();
  parameters.slots = 2;
  auto rig = MakeRig(parameters);
  FromClient(rig, ChallengedPost(rig, 1, 1));
  FromClient(rig, Get(10, 2));
  FromClient(rig, ChallengedPost(rig, 20, 3));
  Feed(rig, TargetUnreachable{kFlow});
  auto codes = std::vector<std::uint8_t>{};
  for (const auto& bytes : rig.to_client) codes.push_back(ParseMessage(bytes).value().code);
  auto expected =
      std::vector<std::uint8_t>{kCodeGatewayTimeout, kCodeGatewayTimeout, kCodeServiceUnavailable};
  BOOST_TEST(codes == expected);
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).running == 0U);
}

// The target hangs until the run limit, and its client is told unknown. The answer that arrives
// when the target resumes has to be dropped, so that the client gets one outcome only.
BOOST_AUTO_TEST_CASE(frozen_target_answers_after_the_run_limit) {
  auto rig = MakeRig(WithoutHandOn());
  FromClient(rig, ChallengedPost(rig, 1, 7));
  auto sent = rig.to_target.at(0);
  rig.now += rig.parameters.run_limit;
  Feed(rig, Timer{});
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  Answer(rig, ParseMessage(sent).value(), 7);
  BOOST_TEST(rig.to_client.empty());
  BOOST_CHECK(rig.counts == std::vector{Counter::kLateAnswer});
}

// The client restarted on the same port and reuses a message ID and token. The kept answer belongs
// to another request, so the client has to get 5.04 instead.
BOOST_AUTO_TEST_CASE(identity_of_another_request) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  auto sent = rig.to_target.at(0);
  Answer(rig, ParseMessage(sent).value(), 7);
  FromClient(rig, world::MakeRequest(world::kPost, 2, TokenOf(7), 8));
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
}

// A full ledger has to refuse new requests as not run and keep its entries: the POST that it knows
// still gets its answer.
BOOST_AUTO_TEST_CASE(full_ledger_keeps_known_requests) {
  auto parameters = WithoutHandOn();
  parameters.ledger_bytes = 2000;
  parameters.challenge_share = 1;
  auto rig = MakeRig(parameters);
  auto post = ChallengedPost(rig, 1, 1);
  FromClient(rig, post);
  auto sent = rig.to_target.at(0);
  Answer(rig, ParseMessage(sent).value(), 1);
  auto answer = rig.to_client.at(0);
  auto refused = false;
  for (auto number = std::uint16_t{2}; number < 20 && !refused; ++number) {
    FromClient(rig, world::MakeRequest(world::kPost, 100 * number, TokenOf(9), number));
    refused = Sent(rig).code == kCodeServiceUnavailable;
  }
  BOOST_TEST(refused);
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).ledger_bytes <= 2000U);
  FromClient(rig, post);
  BOOST_TEST(rig.to_client.at(0) == answer);
}

// The agent restarted during an upload, and the old incarnation may have received the block that
// completes it. The answer has to be 5.04 and not 4.08, on which a client would start the upload
// again.
BOOST_AUTO_TEST_CASE(later_block_of_an_upload_begun_elsewhere) {
  auto rig = MakeRig(WithoutHandOn());
  // CON POST /hold with Block1 1/0/64 (option 27: delta 16).
  auto block = Bytes{0x41, 2, 0, 9, 5, 0xb4, 'h', 'o', 'l', 'd', 0xd1, 3, 0x12, 0xff, 'x'};
  BOOST_REQUIRE(ParseMessage(block).value().block1->number == 1U);
  FromClient(rig, block);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// A client uploads in three blocks, and only the first has an Echo value, as stock libcoap sends
// them. Every block has to run once even if repeated, and a block of another body must not be mixed
// in.
BOOST_AUTO_TEST_CASE(upload_in_blocks) {
  auto rig = MakeRig(WithoutHandOn());
  auto block = [](std::uint8_t id, std::uint8_t number, bool more, std::uint8_t tag) {
    auto option = static_cast<std::uint8_t>(number << 4 | (more ? 0x08 : 0));
    return Bytes{
        0x41, 2,    0, id,     id,   0xb4, 'h', 'o',  'l',
        'd',  0xd1, 3, option, 0xd1, 0xfc, tag, 0xff, 'x'};  // Block1 number/more/16, Request-Tag
  };
  FromClient(rig, block(1, 0, true, 7));
  auto challenge = rig.to_client.at(0);
  auto echo = *ParseMessage(challenge).value().echo;
  FromClient(rig, WithEcho(ParseMessage(block(2, 0, true, 7)).value(), echo));
  BOOST_REQUIRE(rig.to_target.size() == 1U);
  FromClient(rig, block(3, 1, true, 8));
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  FromClient(rig, block(4, 1, true, 7));
  BOOST_TEST(rig.to_target.size() == 1U);
  FromClient(rig, block(4, 1, true, 7));
  BOOST_TEST(rig.to_target.empty());
  FromClient(rig, block(5, 2, false, 7));
  BOOST_TEST(rig.to_target.size() == 1U);
  FromClient(rig, block(6, 2, false, 7));
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
}

// Malformed datagrams of unknown senders have to be counted, and confirmable ones reset. Nothing
// else may happen.
BOOST_AUTO_TEST_CASE(malformed_datagrams) {
  auto rig = MakeRig(WithoutHandOn());
  FromClient(rig, Bytes{0x4f, 1, 0, 7});
  BOOST_TEST(rig.to_client.at(0) == (Bytes{0x70, 0, 0, 7}));
  BOOST_CHECK(rig.counts == std::vector{Counter::kClientMalformed});
  Feed(rig, TargetDatagram{kFlow, rig.to_client.at(0)});
  BOOST_TEST(rig.to_client.empty());
}

}  // namespace
}  // namespace anvildrum::requests
