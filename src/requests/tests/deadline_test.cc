#include <boost/test/unit_test.hpp>

#include "requests/hand_over.h"
#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

using base::milliseconds;

constexpr auto kThere = base::TargetId{5};

auto Slow(base::Duration service_time) -> Parameters {
  auto parameters = Alone();
  parameters.initial_service_time = service_time;
  return parameters;
}

auto Counted(const Rig& rig, Counter counter) -> bool {
  return std::find(rig.counts.begin(), rig.counts.end(), counter) != rig.counts.end();
}

auto Pass(Rig& rig, base::Duration time) -> void {
  rig.now += time;
  Feed(rig, Timer{});
}

// A POST that its client sends with a deadline, first without and then with the Echo value, which
// is returned; the deadline option is the same in both, as stock libcoap sends it.
auto ChallengedWithin(Rig& rig, std::uint32_t deadline) -> Bytes {
  auto post = [&](std::uint16_t message_id) {
    return Within(world::MakeRequest(world::kPost, message_id, TokenOf(7), 7), deadline);
  };
  FromClient(rig, post(1));
  auto challenge = rig.to_client.at(0);
  return WithEcho(ParseMessage(post(2)).value(), *ParseMessage(challenge).value().echo);
}

// Part of the client's time goes by in the agent's queue; the target is told what is left.
BOOST_AUTO_TEST_CASE(target_is_told_what_is_left) {
  auto parameters = Alone();
  parameters.slots = 1;
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1));
  auto first = Forwarded(rig);
  BOOST_TEST(!first.deadline.has_value());
  auto copy = rig.to_target.at(0);
  FromClient(rig, Within(Get(2, 2), 200));
  rig.now += milliseconds(30);
  Answer(rig, ParseMessage(copy).value(), 1);
  BOOST_TEST(Forwarded(rig).deadline.value() == 170U);
}

// The target needs 100 ms; a client that waits for 50 ms is told "not run" at once, though slots
// are free, in place of an answer that it does not wait for.
BOOST_AUTO_TEST_CASE(nothing_is_run_that_would_be_late) {
  auto rig = MakeRig(Slow(milliseconds(100)));
  FromClient(rig, Get(1, 1));
  FromClient(rig, Within(Get(2, 2), 50));
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_TEST(Sent(rig).max_age.has_value());
  BOOST_TEST(rig.to_target.empty());
  BOOST_TEST(Counted(rig, Counter::kRefusedDeadline));
  FromClient(rig, Within(Get(3, 3), 150));
  BOOST_TEST(rig.to_target.size() == 1U);
  FromClient(rig, Within(world::MakeRequest(world::kPost, 4, TokenOf(4), 4), 50));
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);  // without a challenge first
  BOOST_TEST(Counted(rig, Counter::kRefusedDeadline));
}

// The time is up before the request arrives: it does not run, whoever is idle.
BOOST_AUTO_TEST_CASE(no_time_left_at_all) {
  auto rig = MakeRig(Alone());
  FromClient(rig, Within(Get(1, 1), 0));
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_TEST(rig.to_target.empty());
}

// The target was slow for a while and all clients have deadlines. It is fast again: were nothing
// sent to it any more, nobody would see that, and the refusals would never end.
BOOST_AUTO_TEST_CASE(target_that_is_fast_again_is_found_out) {
  auto rig = MakeRig(Slow(base::seconds(1)));
  auto admitted_beside_another = false;
  for (auto i = std::uint16_t{0}; i < 60 && !admitted_beside_another; ++i) {
    auto number = static_cast<std::uint16_t>(2 * i);
    FromClient(rig, Within(Get(number, 1), 200));
    BOOST_REQUIRE(rig.to_target.size() == 1U);
    auto probe = rig.to_target.at(0);
    FromClient(rig, Within(Get(number + 1, 2), 200));
    admitted_beside_another = !rig.to_target.empty();
    rig.now += milliseconds(10);
    Answer(rig, ParseMessage(probe).value(), 1);
    rig.now += milliseconds(250);
  }
  BOOST_TEST(admitted_beside_another);
}

// A target that stays slow has all its runs cut at 100 ms. What was seen of them must not make the
// agent believe that 100 ms suffice: whoever waits a little longer would be let in for nothing.
BOOST_AUTO_TEST_CASE(cut_runs_do_not_look_like_fast_ones) {
  auto rig = MakeRig(Alone());
  for (auto i = std::uint16_t{0}; i < 200; ++i) {
    FromClient(rig, Within(Get(i, 1), 100));
    Pass(rig, milliseconds(100));
    Pass(rig, milliseconds(300));
  }
  FromClient(rig, Within(Get(300, 1), 100));
  BOOST_TEST(rig.to_target.size() == 1U);
  FromClient(rig, Within(Get(301, 2), 150));
  BOOST_TEST(rig.to_target.empty());
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
}

// The target honours deadlines itself: it refuses at once what it cannot finish, and stops what it
// could not. Neither is a fast run: taken for one, a slow target would look like the fastest of all
// and draw the flows.
BOOST_AUTO_TEST_CASE(refusals_of_the_target_do_not_look_like_fast_runs) {
  auto rig = MakeRig(Slow(milliseconds(100)));
  for (auto code : {kCodeServiceUnavailable, kCodeGatewayTimeout}) {
    FromClient(rig, Within(Get(code, 1), 150));
    auto request = Forwarded(rig);
    auto answer =
        world::MakeResponse(MessageType::kAcknowledgement, request.message_id, request.token, 1);
    answer[1] = code;
    rig.now += milliseconds(1);
    Feed(rig, TargetDatagram{kFlow, answer});
    BOOST_TEST(Sent(rig).code == code);
    rig.now += milliseconds(300);
  }
  BOOST_CHECK(RequestLoadOf(*rig.core, rig.now).service_time >= milliseconds(100));
}

// A hold runs, and its client's time is up: the client is told "unknown" then and not after the run
// limit of 60 s. The answer that comes later is dropped, and a late copy is told the same.
BOOST_AUTO_TEST_CASE(deadline_ends_the_wait_for_a_run) {
  auto rig = MakeRig(Alone());
  auto post = ChallengedWithin(rig, 100);
  FromClient(rig, post);
  auto request = rig.to_target.at(0);
  Pass(rig, milliseconds(99));
  BOOST_TEST(rig.to_client.empty());
  Pass(rig, milliseconds(1));
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(Counted(rig, Counter::kUnknownDeadline));
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).running == 0U);
  Answer(rig, ParseMessage(request).value(), 7);
  BOOST_TEST(rig.to_client.empty());
  FromClient(rig, post);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// Stock clients answer the challenge with the option as it was. The time that the challenge took is
// the client's time too.
BOOST_AUTO_TEST_CASE(time_runs_from_the_first_message) {
  auto rig = MakeRig(Alone());
  auto post = ChallengedWithin(rig, 100);
  rig.now += milliseconds(40);
  FromClient(rig, post);
  BOOST_TEST(Forwarded(rig).deadline.value() == 60U);
  BOOST_TEST(!Forwarded(rig).echo.has_value());
}

// A client that answers the challenge with what is left of its time sends the same request.
BOOST_AUTO_TEST_CASE(second_message_may_say_what_is_left) {
  auto rig = MakeRig(Alone());
  auto datagram = ChallengedWithin(rig, 100);
  auto post = ParseMessage(datagram).value();
  auto bytes = ForTarget(post, post.message_id, post.token, 30);
  FromClient(rig, WithEcho(ParseMessage(bytes).value(), *post.echo));
  BOOST_TEST(Forwarded(rig).deadline.value() == 30U);
}

// A read is sent again by its client while it runs, and once more after it was told 5.04. Neither
// copy gives it more time than the first.
BOOST_AUTO_TEST_CASE(retransmission_has_the_deadline_of_the_first_copy) {
  auto rig = MakeRig(Alone());
  auto get = Within(Get(1, 1), 1500);
  FromClient(rig, get);
  Pass(rig, milliseconds(1200));
  FromClient(rig, get);  // lost at the target, perhaps: it gets the read again
  BOOST_TEST(Forwarded(rig).deadline.value() == 300U);
  Pass(rig, milliseconds(300));
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  FromClient(rig, get);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// A screen asks for a feed and gives up before its target answers. The target is told by Observe 1:
// otherwise it would open a stream that nobody reads.
BOOST_AUTO_TEST_CASE(registration_is_cancelled_at_the_target) {
  auto rig = MakeRig(Alone());
  // CON GET /hold with Observe 0 and 100 ms.
  auto observe = Bytes{0x41, 1, 0, 1, 1, 0x60, 0x54, 'h', 'o', 'l', 'd', 0xe1, 0xfc, 0xe4, 100};
  FromClient(rig, observe);
  auto request = rig.to_target.at(0);
  Pass(rig, milliseconds(100));
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  auto cancelled = Forwarded(rig);
  BOOST_TEST(cancelled.observe.value() == 1U);
  BOOST_CHECK(cancelled.token == ParseMessage(request).value().token);
  BOOST_TEST(!cancelled.has_deadline_option);
}

// The flow of an open feed is handed over. The client has its first answer long since: the new
// target is not told of a deadline that was for that one.
BOOST_AUTO_TEST_CASE(feed_that_is_handed_over_has_no_deadline) {
  auto there = MakeRig(Alone());
  auto record = FlowRecord{};
  auto observe = Bytes{0x41, 1, 0, 1, 1, 0x60, 0x54, 'h', 'o', 'l', 'd', 0xe1, 0xfc, 0xe4, 100};
  record.streams.push_back({observe, 7});
  Feed(there, FlowAdopted{kFlow, &record});
  BOOST_TEST(Forwarded(there).observe.value() == 0U);
  BOOST_TEST(!Forwarded(there).has_deadline_option);
  Pass(there, base::seconds(1));
  BOOST_TEST(there.to_client.empty());
}

// A full agent offers a hold elsewhere, with what is left of its client's time in both offers. When
// that is up before the other agent's challenge came, the hold cannot have run: "not run". After
// the second offer it may have.
BOOST_AUTO_TEST_CASE(offer_ends_with_the_clients_time) {
  for (auto confirmed : {false, true}) {
    auto parameters = Parameters{};
    parameters.slots = 1;
    parameters.queue_size = 0;
    auto rig = MakeRig(parameters);
    FromClient(rig, Get(1, 1), kOtherFlow);
    auto post = ChallengedWithin(rig, 100);
    rig.now += milliseconds(10);
    FromClient(rig, post);
    auto offer = rig.offers.at(0);
    BOOST_TEST(ParseMessage(offer.bytes).value().deadline.value() == 90U);
    rig.now += milliseconds(10);
    if (confirmed) {
      auto challenge = BuildChallenge(MessageType::kAcknowledgement, 2, TokenOf(7), Echo{1});
      Feed(rig, HandOnAnswered{kFlow, offer.request, kThere, false, challenge});
      BOOST_TEST(ParseMessage(rig.offers.at(0).bytes).value().deadline.value() == 80U);
      BOOST_TEST(ParseMessage(rig.offers.at(0).bytes).value().echo.has_value());
    }
    Pass(rig, milliseconds(80));
    BOOST_TEST(Sent(rig).code == (confirmed ? kCodeGatewayTimeout : kCodeServiceUnavailable));
  }
}

// A slow target's agent offers a read that it cannot run in time; there it is refused too. It
// counts as refused for its deadline, not for a full queue: the operator is to look at the right
// thing.
BOOST_AUTO_TEST_CASE(refusal_elsewhere_keeps_its_cause) {
  auto parameters = Parameters{};
  parameters.initial_service_time = milliseconds(20);
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1));
  auto first = rig.to_target.at(0);
  rig.now += base::seconds(2);
  Answer(rig, ParseMessage(first).value(), 1);  // the estimate is 600 ms from here on
  FromClient(rig, Within(Get(2, 2), 100));
  auto offer = rig.offers.at(0);
  Feed(rig, HandOnAnswered{kFlow, offer.request, kThere, true, {}});
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_TEST(Counted(rig, Counter::kRefusedDeadline));
}

// 15 ms do not suffice for a run of 20 ms anywhere: no other agent is asked.
BOOST_AUTO_TEST_CASE(nothing_is_offered_that_would_be_late) {
  auto parameters = Parameters{};
  parameters.slots = 1;
  parameters.queue_size = 0;
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1), kOtherFlow);
  FromClient(rig, Within(Get(2, 2), 15));
  BOOST_TEST(rig.offers.empty());
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  FromClient(rig, Within(Get(3, 3), 100));
  BOOST_TEST(rig.offers.size() == 1U);
}

// An option of five bytes is no Deadline option: it is ignored, as RFC 7252, 5.4.3 has it for
// elective ones, and counted. So is a second one.
BOOST_AUTO_TEST_CASE(bad_option_is_ignored_and_counted) {
  auto rig = MakeRig(Alone());
  auto too_long = Get(1, 1);
  auto option = Bytes{0xe5, 0xfc, 0xe4, 0, 0, 0, 0, 0};
  too_long.insert(too_long.end() - 5, option.begin(), option.end());
  FromClient(rig, too_long);
  BOOST_TEST(Forwarded(rig).has_deadline_option == false);
  BOOST_TEST(Counted(rig, Counter::kBadDeadline));
  auto twice = Within(Get(2, 2), 100);
  auto second = Bytes{0x01, 200};
  twice.insert(twice.end() - 5, second.begin(), second.end());
  FromClient(rig, twice);
  BOOST_TEST(Forwarded(rig).deadline.value() == 100U);
  BOOST_TEST(!Forwarded(rig).bad_deadline);
  BOOST_TEST(Counted(rig, Counter::kBadDeadline));
}

// No deadline is later than the time after which a client has stopped waiting anyway.
BOOST_AUTO_TEST_CASE(endless_deadline_is_clamped) {
  auto rig = MakeRig(Alone());
  auto get = Get(1, 1);
  auto option = Bytes{0xe4, 0xfc, 0xe4, 0xff, 0xff, 0xff, 0xff};
  get.insert(get.end() - 5, option.begin(), option.end());
  FromClient(rig, get);
  BOOST_TEST(Forwarded(rig).deadline.value() == 93000U);
}

}  // namespace
}  // namespace anvildrum::requests
