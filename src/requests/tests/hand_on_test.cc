#include <boost/test/unit_test.hpp>

#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

constexpr auto kOtherTarget = base::TargetId{5};
constexpr auto kOrigin = base::InstanceId{3};

auto FullAgent() -> Rig {
  auto parameters = Parameters{};
  parameters.slots = 1;
  parameters.queue_size = 0;
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1), kOtherFlow);
  return rig;
}

// A full agent offers a POST to another one, which challenges the offer like a client's request and
// runs it with its own Echo value. The client has to see one answer to its own request.
BOOST_AUTO_TEST_CASE(post_runs_at_another_agent) {
  auto origin = FullAgent();
  auto other = MakeRig(WithoutHandOn());
  FromClient(origin, ChallengedPost(origin, 1, 7));
  auto offer = origin.offers.at(0);
  Feed(other, HandOnRequested{kFlow, kOrigin, offer.request, offer.bytes, base::milliseconds(200)});
  BOOST_TEST(other.to_target.empty());
  auto challenge = other.offer_answers.at(0);
  Feed(origin,
       HandOnAnswered{kFlow, offer.request, kOtherTarget, challenge.not_run, challenge.bytes});
  auto again = origin.offers.at(0);
  BOOST_CHECK(again.only_to == kOtherTarget);
  Feed(other, HandOnRequested{kFlow, kOrigin, again.request, again.bytes, base::milliseconds(200)});
  auto request = ParseMessage(other.to_target.at(0)).value();
  BOOST_CHECK(!request.echo.has_value());
  Answer(other, request, 7);
  auto answer = other.offer_answers.at(0);
  Feed(origin, HandOnAnswered{kFlow, again.request, kOtherTarget, answer.not_run, answer.bytes});
  BOOST_TEST(Sent(origin).message_id == 2);
  BOOST_TEST(origin.to_client.at(0).back() == 7);
}

// The network duplicated the first offer. One copy was challenged, and the POST runs after the
// second offer. The other copy was refused, and that refusal arrives late. If it were forwarded,
// the client would be told "not run" of a POST that runs.
BOOST_AUTO_TEST_CASE(refusal_of_a_copy_comes_after_the_challenge) {
  auto origin = FullAgent();
  auto other = MakeRig(WithoutHandOn());
  FromClient(origin, ChallengedPost(origin, 1, 7));
  auto offer = origin.offers.at(0);
  Feed(other, HandOnRequested{kFlow, kOrigin, offer.request, offer.bytes, base::milliseconds(200)});
  auto challenge = other.offer_answers.at(0);
  Feed(origin,
       HandOnAnswered{kFlow, offer.request, kOtherTarget, challenge.not_run, challenge.bytes});
  BOOST_REQUIRE(origin.offers.size() == 1U);
  Feed(origin, HandOnAnswered{kFlow, offer.request, kOtherTarget, true, {}});
  BOOST_TEST(origin.to_client.empty());
}

// The second offer was delayed by seconds, and the origin has told its client "unknown". The
// request must not start now.
BOOST_AUTO_TEST_CASE(late_second_offer_does_not_run) {
  auto other = MakeRig(WithoutHandOn());
  auto post = world::MakeRequest(world::kPost, 2, TokenOf(7), 7);
  Feed(other, HandOnRequested{kFlow, kOrigin, 10, post, base::milliseconds(200)});
  auto challenge = other.offer_answers.at(0).bytes;
  auto echo = *ParseMessage(challenge).value().echo;
  other.now += base::seconds(3);
  auto again = WithEcho(ParseMessage(post).value(), echo);
  Feed(other, HandOnRequested{kFlow, kOrigin, 11, again, base::milliseconds(200)});
  BOOST_TEST(other.to_target.empty());
  BOOST_TEST(other.offer_answers.at(0).not_run);
}

// A copy of the offer arrives after the other agent's entry has expired. It must not run without
// the origin's answer to a new challenge.
BOOST_AUTO_TEST_CASE(late_copy_of_an_offer_does_not_run) {
  auto origin = FullAgent();
  auto other = MakeRig(WithoutHandOn());
  FromClient(origin, ChallengedPost(origin, 1, 7));
  auto offer = origin.offers.at(0);
  other.now += base::minutes(20);
  Feed(other, HandOnRequested{kFlow, kOrigin, offer.request, offer.bytes, base::milliseconds(200)});
  auto challenge = other.offer_answers.at(0);
  origin.now += base::minutes(20);
  Feed(origin, Timer{});
  BOOST_TEST(Sent(origin).code == kCodeGatewayTimeout);
  Feed(origin,
       HandOnAnswered{kFlow, offer.request, kOtherTarget, challenge.not_run, challenge.bytes});
  BOOST_TEST(origin.offers.empty());
  BOOST_TEST(origin.to_client.empty());
}

// The other agent is full too. The client has to be told "not run" once, and no third agent may be
// asked.
BOOST_AUTO_TEST_CASE(refused_by_the_other_agent_too) {
  auto origin = FullAgent();
  FromClient(origin, Get(10, 7));
  auto offer = origin.offers.at(0);
  Feed(origin, HandOnAnswered{kFlow, offer.request, kOtherTarget, true, {}});
  BOOST_TEST(Sent(origin).code == kCodeServiceUnavailable);
  BOOST_TEST(origin.offers.empty());
}

// The other agent does not answer. The POST may have run, so the client has to be told "unknown".
BOOST_AUTO_TEST_CASE(no_answer_from_the_other_agent) {
  auto origin = FullAgent();
  FromClient(origin, ChallengedPost(origin, 1, 7));
  origin.now += base::seconds(2);
  Feed(origin, Timer{});
  BOOST_TEST(Sent(origin).code == kCodeGatewayTimeout);
}

// A POST without a challenge may be a late copy of one that ran. Only its client can confirm it by
// answering the challenge, so it must not be offered before.
BOOST_AUTO_TEST_CASE(unchallenged_post_is_not_offered) {
  auto origin = FullAgent();
  FromClient(origin, world::MakeRequest(world::kPost, 1, TokenOf(1), 7));
  BOOST_TEST(origin.offers.empty());
  BOOST_TEST(Sent(origin).code == kCodeUnauthorized);
}

// The target dies with a POST and a GET running. The GET may run elsewhere. The POST may have run,
// so its outcome is "unknown" and no other target may get it.
BOOST_AUTO_TEST_CASE(running_post_of_a_dead_target_is_not_offered) {
  auto origin = MakeRig(Parameters{});
  FromClient(origin, ChallengedPost(origin, 1, 7));
  FromClient(origin, Get(10, 8));
  Feed(origin, TargetUnreachable{kFlow});
  BOOST_TEST(origin.offers.size() == 1U);
  BOOST_TEST(origin.offers.at(0).bytes == Get(10, 8));
  BOOST_TEST(Sent(origin).code == kCodeGatewayTimeout);
  // The other agent refuses the GET, but it may have run here, so the outcome is not "not run".
  auto offer = origin.offers.at(0);
  Feed(origin, HandOnAnswered{kFlow, offer.request, kOtherTarget, true, {}});
  BOOST_TEST(Sent(origin).code == kCodeGatewayTimeout);
}

// All targets shed load. Once the retry budget is spent, requests have to be refused, so that the
// retries of this target do not load the others.
BOOST_AUTO_TEST_CASE(retry_budget_bounds_the_offers) {
  auto origin = FullAgent();
  auto offers = std::size_t{0};
  for (auto i = std::uint16_t{0}; i < 200; ++i) {
    FromClient(origin, Get(i, 7));
    offers += origin.offers.size();
  }
  BOOST_TEST(offers == 10U);  // the burst; one request was admitted
}

// A draining agent has to refuse offers of other agents.
BOOST_AUTO_TEST_CASE(draining_agent_takes_no_offers) {
  auto other = MakeRig(WithoutHandOn());
  Feed(other, Drain{});
  Feed(other, HandOnRequested{kFlow, kOrigin, 1, Get(1, 7), base::milliseconds(200)});
  BOOST_TEST(other.offer_answers.at(0).not_run);
  BOOST_TEST(other.to_target.empty());
}

}  // namespace
}  // namespace anvildrum::requests
