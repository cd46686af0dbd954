#include <boost/test/unit_test.hpp>

#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

// The client has its challenge when the agent dies, and answers it to the new incarnation: 5.04.
// The new one cannot know whether the POST ran under the old one's value, so it must not run it.
BOOST_AUTO_TEST_CASE(agent_dies_before_admission) {
  auto rig = MakeRig(Alone());
  auto post = ChallengedPost(rig, 1, 7);
  Restart(rig);
  FromClient(rig, post);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// The POST waits in the queue, admitted but not sent, when the agent dies. The client's
// retransmission reaches the new incarnation and is told 5.04 at once; nothing runs it.
BOOST_AUTO_TEST_CASE(agent_dies_before_the_target_has_it) {
  auto parameters = Alone();
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

// The target has the POST when the agent dies. Its answer comes to the new incarnation, which has
// no such request and drops it; the retransmission is told 5.04 and does not run again.
BOOST_AUTO_TEST_CASE(agent_dies_while_the_target_runs_it) {
  auto rig = MakeRig(Alone());
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
// retransmission must not run it again: 5.04.
BOOST_AUTO_TEST_CASE(agent_dies_after_the_run) {
  auto rig = MakeRig(Alone());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  auto sent = rig.to_target.at(0);
  Answer(rig, ParseMessage(sent).value(), 7);
  Restart(rig);
  FromClient(rig, post);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// The answer left and was lost; the agent lives. Each retransmission gets the same bytes, whichever
// balancer it came through, and the target sees one request.
BOOST_AUTO_TEST_CASE(answer_is_lost_after_it_left) {
  auto rig = MakeRig(Alone());
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

// A copy of a POST that ran comes when the ledger has forgotten it: the Echo value is older than
// anything that may still run, so the client is told 5.04 and the target sees nothing.
BOOST_AUTO_TEST_CASE(copy_comes_after_the_ledger_forgot) {
  auto rig = MakeRig(Alone());
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

// The POST on a challenge was minutes on its way and its sender may have given up: it is refused as
// not run, and a further copy gets the same refusal instead of a run.
BOOST_AUTO_TEST_CASE(challenge_is_answered_too_late) {
  auto rig = MakeRig(Alone());
  auto post = ChallengedPost(rig, 1, 7);
  rig.now += base::seconds(180);
  for (auto copy = 0; copy < 2; ++copy) {
    FromClient(rig, post);
    BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
    BOOST_TEST(rig.to_target.empty());
  }
}

// The network doubles the challenge and the client answers both copies, under two message IDs and
// tokens. One runs; the other is told 5.04, since with the same value it may be the same hold.
BOOST_AUTO_TEST_CASE(challenge_is_answered_twice) {
  auto rig = MakeRig(Alone());
  auto post = ChallengedPost(rig, 1, 7);
  auto again = WithIdentity(post, MessageType::kConfirmable, 9, TokenOf(200));
  FromClient(rig, post);
  auto sent = rig.to_target.at(0);
  FromClient(rig, again);
  BOOST_TEST(rig.to_target.empty());
  BOOST_TEST(rig.to_client.empty());  // the first is not settled yet
  Answer(rig, ParseMessage(sent).value(), 7);
  BOOST_TEST(Sent(rig).message_id == 2);
  FromClient(rig, again);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// The client answered the challenge; the flow was elsewhere for a while, where that POST was
// foreign and the client was told 5.04; now it is here again. A copy that was on its way must not
// run.
BOOST_AUTO_TEST_CASE(copy_comes_when_the_flow_is_back) {
  auto rig = MakeRig(Alone());
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

// A repeated first POST gets the same challenge, not a second value that could run a second time.
BOOST_AUTO_TEST_CASE(repeated_request_gets_the_same_challenge) {
  auto rig = MakeRig(Alone());
  auto first = world::MakeRequest(world::kPost, 1, TokenOf(1), 7);
  FromClient(rig, first);
  auto challenge = rig.to_client.at(0);
  rig.now += base::seconds(45);
  FromClient(rig, first);
  BOOST_TEST(rig.to_client.at(0) == challenge);
}

// Another POST with a value the client has cached is new: it is challenged, not called unknown.
BOOST_AUTO_TEST_CASE(cached_echo_on_another_request) {
  auto rig = MakeRig(Alone());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  auto echo = *ParseMessage(post).value().echo;
  auto other = world::MakeRequest(world::kPost, 5, TokenOf(5), 8);
  FromClient(rig, WithEcho(ParseMessage(other).value(), echo));
  BOOST_TEST(Sent(rig).code == kCodeUnauthorized);
  BOOST_TEST(rig.to_target.empty());
}

// The client's address changed on its way (a NAT's timeout) and its retransmission comes as another
// flow. The POST has run under the old one, so the value must not run it, nor get a new one: 5.04.
BOOST_AUTO_TEST_CASE(echo_of_another_flow) {
  auto rig = MakeRig(Alone());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  FromClient(rig, post, kOtherFlow);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// The network doubles a POST that carries a cached value: both copies get the same challenge.
BOOST_AUTO_TEST_CASE(cached_echo_on_a_doubled_request) {
  auto rig = MakeRig(Alone());
  auto post = ChallengedPost(rig, 1, 7);
  auto echo = *ParseMessage(post).value().echo;
  auto other = world::MakeRequest(world::kPost, 5, TokenOf(5), 8);
  auto cached = WithEcho(ParseMessage(other).value(), echo);
  FromClient(rig, cached);
  auto challenge = rig.to_client.at(0);
  FromClient(rig, cached);
  BOOST_TEST(rig.to_client.at(0) == challenge);
}

// The flow's agent died and this one took the flow over. A late copy of the client's first,
// unchallenged POST must not be challenged here: a client that answers would have it run again.
BOOST_AUTO_TEST_CASE(late_copy_reaches_the_agent_that_took_over) {
  auto rig = MakeRig(Alone());
  Feed(rig, FlowOpened{kFlow, true});
  auto first = world::MakeRequest(world::kPost, 1, TokenOf(1), 7);
  FromClient(rig, first);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  rig.now += kExchangeLifetime;
  FromClient(rig, first);
  BOOST_TEST(Sent(rig).code == kCodeUnauthorized);
}

// The target dies with a POST and a GET running and another POST waiting. All three clients are
// told at once: unknown for what it had, not run for what it never had.
BOOST_AUTO_TEST_CASE(target_dies_with_requests_in_hand) {
  auto parameters = Alone();
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

// The target froze: the client is told unknown at the run limit, and the answer that comes when the
// target wakes is dropped, so that the client hears one outcome.
BOOST_AUTO_TEST_CASE(frozen_target_answers_after_the_run_limit) {
  auto rig = MakeRig(Alone());
  FromClient(rig, ChallengedPost(rig, 1, 7));
  auto sent = rig.to_target.at(0);
  rig.now += rig.parameters.run_limit;
  Feed(rig, Timer{});
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  Answer(rig, ParseMessage(sent).value(), 7);
  BOOST_TEST(rig.to_client.empty());
  BOOST_CHECK(rig.counts == std::vector{Counter::kLateAnswer});
}

// The client restarted on the same port and uses a message ID and token again: the kept answer is
// another request's, so the client gets 5.04 instead.
BOOST_AUTO_TEST_CASE(identity_of_another_request) {
  auto rig = MakeRig(Alone());
  auto post = ChallengedPost(rig, 1, 7);
  FromClient(rig, post);
  auto sent = rig.to_target.at(0);
  Answer(rig, ParseMessage(sent).value(), 7);
  FromClient(rig, world::MakeRequest(world::kPost, 2, TokenOf(7), 8));
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
}

// A full ledger refuses as not run and forgets nothing: the POST it knows still gets its answer.
BOOST_AUTO_TEST_CASE(full_ledger_refuses_and_remembers) {
  auto parameters = Alone();
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

// The agent restarted in the middle of an upload. Its last block may already have completed the
// upload at the old incarnation: 5.04, and not 4.08, on which a client would begin again.
BOOST_AUTO_TEST_CASE(later_block_of_an_upload_begun_elsewhere) {
  auto rig = MakeRig(Alone());
  // CON POST /hold with Block1 1/0/64 (option 27: delta 16).
  auto block = Bytes{0x41, 2, 0, 9, 5, 0xb4, 'h', 'o', 'l', 'd', 0xd1, 3, 0x12, 0xff, 'x'};
  BOOST_REQUIRE(ParseMessage(block).value().block1->number == 1U);
  FromClient(rig, block);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// A client uploads in three blocks; only the first carries an Echo value, as stock libcoap does.
// Every block runs once, also when it is repeated, and a block of another body is not mixed in.
BOOST_AUTO_TEST_CASE(upload_in_blocks) {
  auto rig = MakeRig(Alone());
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

// Malformed datagrams of strangers are counted, and a confirmable one is reset; nothing else.
BOOST_AUTO_TEST_CASE(malformed_datagrams) {
  auto rig = MakeRig(Alone());
  FromClient(rig, Bytes{0x4f, 1, 0, 7});
  BOOST_TEST(rig.to_client.at(0) == (Bytes{0x70, 0, 0, 7}));
  BOOST_CHECK(rig.counts == std::vector{Counter::kClientMalformed});
  Feed(rig, TargetDatagram{kFlow, rig.to_client.at(0)});
  BOOST_TEST(rig.to_client.empty());
}

}  // namespace
}  // namespace anvildrum::requests
