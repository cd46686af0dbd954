#include <boost/test/unit_test.hpp>

#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

constexpr auto kThere = base::TargetId{5};
constexpr auto kOrigin = base::InstanceId{3};

auto FullAgent() -> Rig {
  auto parameters = Parameters{};
  parameters.slots = 1;
  parameters.queue_size = 0;
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1), kOtherFlow);
  return rig;
}

// The agent is full and offers a POST elsewhere. The other agent challenges the offer as it would
// a client, takes it with its own Echo value, and the client sees one answer to its own request.
BOOST_AUTO_TEST_CASE(post_runs_at_another_agent) {
  auto here = FullAgent();
  auto there = MakeRig(Alone());
  FromClient(here, ChallengedPost(here, 1, 7));
  auto offer = here.offers.at(0);
  Feed(there, HandOnRequested{kFlow, kOrigin, offer.request, offer.bytes, base::milliseconds(200)});
  BOOST_TEST(there.to_target.empty());
  auto challenge = there.offer_answers.at(0);
  Feed(here, HandOnAnswered{kFlow, offer.request, kThere, challenge.not_run, challenge.bytes});
  auto again = here.offers.at(0);
  BOOST_CHECK(again.only_to == kThere);
  Feed(there, HandOnRequested{kFlow, kOrigin, again.request, again.bytes, base::milliseconds(200)});
  auto request = ParseMessage(there.to_target.at(0)).value();
  BOOST_CHECK(!request.echo.has_value());
  Answer(there, request, 7);
  auto answer = there.offer_answers.at(0);
  Feed(here, HandOnAnswered{kFlow, again.request, kThere, answer.not_run, answer.bytes});
  BOOST_TEST(Sent(here).message_id == 2);
  BOOST_TEST(here.to_client.at(0).back() == 7);
}

// The network doubled the first offer. One copy was challenged, and the POST offered again runs
// there; the other copy was refused, and that refusal arrives only now. It must not be passed on:
// the client would be told "not run" of a POST that runs.
BOOST_AUTO_TEST_CASE(refusal_of_a_copy_comes_after_the_challenge) {
  auto here = FullAgent();
  auto there = MakeRig(Alone());
  FromClient(here, ChallengedPost(here, 1, 7));
  auto offer = here.offers.at(0);
  Feed(there, HandOnRequested{kFlow, kOrigin, offer.request, offer.bytes, base::milliseconds(200)});
  auto challenge = there.offer_answers.at(0);
  Feed(here, HandOnAnswered{kFlow, offer.request, kThere, challenge.not_run, challenge.bytes});
  BOOST_REQUIRE(here.offers.size() == 1U);
  Feed(here, HandOnAnswered{kFlow, offer.request, kThere, true, {}});
  BOOST_TEST(here.to_client.empty());
}

// The origin's second offer was seconds on its way; the origin has told its client "unknown". It
// must not start now.
BOOST_AUTO_TEST_CASE(late_second_offer_does_not_run) {
  auto there = MakeRig(Alone());
  auto post = world::MakeRequest(world::kPost, 2, TokenOf(7), 7);
  Feed(there, HandOnRequested{kFlow, kOrigin, 10, post, base::milliseconds(200)});
  auto challenge = there.offer_answers.at(0).bytes;
  auto echo = *ParseMessage(challenge).value().echo;
  there.now += base::seconds(3);
  auto again = WithEcho(ParseMessage(post).value(), echo);
  Feed(there, HandOnRequested{kFlow, kOrigin, 11, again, base::milliseconds(200)});
  BOOST_TEST(there.to_target.empty());
  BOOST_TEST(there.offer_answers.at(0).not_run);
}

// A copy of the offer comes to the other agent long after it has forgotten the first. Without the
// origin's answer to a new challenge it does not run.
BOOST_AUTO_TEST_CASE(late_copy_of_an_offer_does_not_run) {
  auto here = FullAgent();
  auto there = MakeRig(Alone());
  FromClient(here, ChallengedPost(here, 1, 7));
  auto offer = here.offers.at(0);
  there.now += base::minutes(20);
  Feed(there, HandOnRequested{kFlow, kOrigin, offer.request, offer.bytes, base::milliseconds(200)});
  auto challenge = there.offer_answers.at(0);
  here.now += base::minutes(20);
  Feed(here, Timer{});
  BOOST_TEST(Sent(here).code == kCodeGatewayTimeout);
  Feed(here, HandOnAnswered{kFlow, offer.request, kThere, challenge.not_run, challenge.bytes});
  BOOST_TEST(here.offers.empty());
  BOOST_TEST(here.to_client.empty());
}

// The other agent is full too: the client is told not run once, and nobody asks a third.
BOOST_AUTO_TEST_CASE(refused_there_too) {
  auto here = FullAgent();
  FromClient(here, Get(10, 7));
  auto offer = here.offers.at(0);
  Feed(here, HandOnAnswered{kFlow, offer.request, kThere, true, {}});
  BOOST_TEST(Sent(here).code == kCodeServiceUnavailable);
  BOOST_TEST(here.offers.empty());
}

// No answer from there: the POST may have run, so the client is told unknown.
BOOST_AUTO_TEST_CASE(no_answer_from_there) {
  auto here = FullAgent();
  FromClient(here, ChallengedPost(here, 1, 7));
  here.now += base::seconds(2);
  Feed(here, Timer{});
  BOOST_TEST(Sent(here).code == kCodeGatewayTimeout);
}

// An unchallenged POST may be a late copy of one that ran, so it is never offered: only its client
// can say, by answering the challenge, that it still wants it.
BOOST_AUTO_TEST_CASE(unchallenged_post_is_not_offered) {
  auto here = FullAgent();
  FromClient(here, world::MakeRequest(world::kPost, 1, TokenOf(1), 7));
  BOOST_TEST(here.offers.empty());
  BOOST_TEST(Sent(here).code == kCodeUnauthorized);
}

// The target dies with a POST and a GET running. The GET may go elsewhere; the POST may have run,
// so it is unknown and no other target gets it.
BOOST_AUTO_TEST_CASE(running_post_of_a_dead_target_is_not_offered) {
  auto here = MakeRig(Parameters{});
  FromClient(here, ChallengedPost(here, 1, 7));
  FromClient(here, Get(10, 8));
  Feed(here, TargetUnreachable{kFlow});
  BOOST_TEST(here.offers.size() == 1U);
  BOOST_TEST(here.offers.at(0).bytes == Get(10, 8));
  BOOST_TEST(Sent(here).code == kCodeGatewayTimeout);
  // Refused there: the GET may still have run here, so this is not "not run".
  auto offer = here.offers.at(0);
  Feed(here, HandOnAnswered{kFlow, offer.request, kThere, true, {}});
  BOOST_TEST(Sent(here).code == kCodeGatewayTimeout);
}

// All targets shed: after the budget is spent refusals stay refusals, and the other targets are
// not loaded with the retries of this one.
BOOST_AUTO_TEST_CASE(retry_budget_bounds_the_offers) {
  auto here = FullAgent();
  auto offers = std::size_t{0};
  for (auto i = std::uint16_t{0}; i < 200; ++i) {
    FromClient(here, Get(i, 7));
    offers += here.offers.size();
  }
  BOOST_TEST(offers == 10U);  // the burst; one request was admitted
}

// A draining agent takes nothing from others.
BOOST_AUTO_TEST_CASE(draining_agent_takes_no_offers) {
  auto there = MakeRig(Alone());
  Feed(there, Drain{});
  Feed(there, HandOnRequested{kFlow, kOrigin, 1, Get(1, 7), base::milliseconds(200)});
  BOOST_TEST(there.offer_answers.at(0).not_run);
  BOOST_TEST(there.to_target.empty());
}

}  // namespace
}  // namespace anvildrum::requests
