#include <boost/test/unit_test.hpp>

#include "requests/hand_over.h"
#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

using base::milliseconds;

constexpr auto kOtherTarget = base::TargetId{5};

auto WithServiceTime(base::Duration service_time) -> Parameters {
  auto parameters = WithoutHandOn();
  parameters.initial_service_time = service_time;
  return parameters;
}

auto Counted(const Rig& rig, Counter counter) -> bool {
  return std::find(rig.counts.begin(), rig.counts.end(), counter) != rig.counts.end();
}

auto AdvanceTime(Rig& rig, base::Duration time) -> void {
  rig.now += time;
  Feed(rig, Timer{});
}

// Sends a POST with a deadline and returns the client's answer to the challenge. The Deadline
// option is the same in both, as stock libcoap sends it.
auto ChallengedWithDeadline(Rig& rig, std::uint32_t deadline) -> Bytes {
  auto post = [&](std::uint16_t message_id) {
    return WithDeadline(world::MakeRequest(world::kPost, message_id, TokenOf(7), 7), deadline);
  };
  FromClient(rig, post(1));
  auto challenge = rig.to_client.at(0);
  return WithEcho(ParseMessage(post(2)).value(), *ParseMessage(challenge).value().echo);
}

// Part of the client's time passes in the agent's queue. The target has to get the remaining time.
BOOST_AUTO_TEST_CASE(target_receives_the_remaining_deadline) {
  auto parameters = WithoutHandOn();
  parameters.slots = 1;
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1));
  auto first = Forwarded(rig);
  BOOST_TEST(!first.deadline.has_value());
  auto copy = rig.to_target.at(0);
  FromClient(rig, WithDeadline(Get(2, 2), 200));
  rig.now += milliseconds(30);
  Answer(rig, ParseMessage(copy).value(), 1);
  BOOST_TEST(Forwarded(rig).deadline.value() == 170U);
}

// The target needs 100 ms. A client that waits for 50 ms has to be told "not run" at once although
// slots are free, since it would not wait for the answer.
BOOST_AUTO_TEST_CASE(nothing_is_run_that_would_be_late) {
  auto rig = MakeRig(WithServiceTime(milliseconds(100)));
  FromClient(rig, Get(1, 1));
  FromClient(rig, WithDeadline(Get(2, 2), 50));
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_TEST(Sent(rig).max_age.has_value());
  BOOST_TEST(rig.to_target.empty());
  BOOST_TEST(Counted(rig, Counter::kRefusedDeadline));
  FromClient(rig, WithDeadline(Get(3, 3), 150));
  BOOST_TEST(rig.to_target.size() == 1U);
  FromClient(rig, WithDeadline(world::MakeRequest(world::kPost, 4, TokenOf(4), 4), 50));
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);  // without a challenge
  BOOST_TEST(Counted(rig, Counter::kRefusedDeadline));
}

// The deadline has passed before the request arrives. The request must not run, even on an idle
// target.
BOOST_AUTO_TEST_CASE(expired_deadline_is_refused) {
  auto rig = MakeRig(WithoutHandOn());
  FromClient(rig, WithDeadline(Get(1, 1), 0));
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_TEST(rig.to_target.empty());
}

// The target was slow for a while and has recovered, and all clients have deadlines. If no request
// were sent to it, the recovery would not be noticed and the refusals would never end.
BOOST_AUTO_TEST_CASE(recovered_target_is_detected) {
  auto rig = MakeRig(WithServiceTime(base::seconds(1)));
  auto admitted_beside_another = false;
  for (auto i = std::uint16_t{0}; i < 60 && !admitted_beside_another; ++i) {
    auto number = static_cast<std::uint16_t>(2 * i);
    FromClient(rig, WithDeadline(Get(number, 1), 200));
    BOOST_REQUIRE(rig.to_target.size() == 1U);
    auto probe = rig.to_target.at(0);
    FromClient(rig, WithDeadline(Get(number + 1, 2), 200));
    admitted_beside_another = !rig.to_target.empty();
    rig.now += milliseconds(10);
    Answer(rig, ParseMessage(probe).value(), 1);
    rig.now += milliseconds(250);
  }
  BOOST_TEST(admitted_beside_another);
}

// All runs of a slow target are aborted at 100 ms. The agent must not conclude that a run takes 100
// ms, or it would admit requests that wait a little longer in vain.
BOOST_AUTO_TEST_CASE(cut_runs_do_not_look_like_fast_ones) {
  auto rig = MakeRig(WithoutHandOn());
  for (auto i = std::uint16_t{0}; i < 200; ++i) {
    FromClient(rig, WithDeadline(Get(i, 1), 100));
    AdvanceTime(rig, milliseconds(100));
    AdvanceTime(rig, milliseconds(300));
  }
  FromClient(rig, WithDeadline(Get(300, 1), 100));
  BOOST_TEST(rig.to_target.size() == 1U);
  FromClient(rig, WithDeadline(Get(301, 2), 150));
  BOOST_TEST(rig.to_target.empty());
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
}

// The target enforces deadlines itself: it refuses requests that it cannot finish, and aborts
// others. If these counted as fast runs, a slow target would look like the fastest one and attract
// flows.
BOOST_AUTO_TEST_CASE(refusals_of_the_target_do_not_look_like_fast_runs) {
  auto rig = MakeRig(WithServiceTime(milliseconds(100)));
  for (auto code : {kCodeServiceUnavailable, kCodeGatewayTimeout}) {
    FromClient(rig, WithDeadline(Get(code, 1), 150));
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

// The client's deadline passes while a hold runs. The client has to be told "unknown" then and not
// after the run limit of 60 s. A later answer has to be dropped, and a late copy has to get the
// same outcome.
BOOST_AUTO_TEST_CASE(deadline_ends_the_wait_for_a_run) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedWithDeadline(rig, 100);
  FromClient(rig, post);
  auto request = rig.to_target.at(0);
  AdvanceTime(rig, milliseconds(99));
  BOOST_TEST(rig.to_client.empty());
  AdvanceTime(rig, milliseconds(1));
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(Counted(rig, Counter::kUnknownDeadline));
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).running == 0U);
  Answer(rig, ParseMessage(request).value(), 7);
  BOOST_TEST(rig.to_client.empty());
  FromClient(rig, post);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// Stock clients answer the challenge with the option unchanged. The time of the challenge has to
// count against the client's deadline.
BOOST_AUTO_TEST_CASE(deadline_counts_from_the_first_message) {
  auto rig = MakeRig(WithoutHandOn());
  auto post = ChallengedWithDeadline(rig, 100);
  rig.now += milliseconds(40);
  FromClient(rig, post);
  BOOST_TEST(Forwarded(rig).deadline.value() == 60U);
  BOOST_TEST(!Forwarded(rig).echo.has_value());
}

// A client that answers the challenge with its remaining time sends the same request, which has to
// run.
BOOST_AUTO_TEST_CASE(second_message_may_carry_the_remaining_deadline) {
  auto rig = MakeRig(WithoutHandOn());
  auto datagram = ChallengedWithDeadline(rig, 100);
  auto post = ParseMessage(datagram).value();
  auto bytes = ForTarget(post, post.message_id, post.token, 30);
  FromClient(rig, WithEcho(ParseMessage(bytes).value(), *post.echo));
  BOOST_TEST(Forwarded(rig).deadline.value() == 30U);
}

// A client repeats a read while it runs, and again after its 5.04. Neither copy may get a later
// deadline than the first.
BOOST_AUTO_TEST_CASE(retransmission_has_the_deadline_of_the_first_copy) {
  auto rig = MakeRig(WithoutHandOn());
  auto get = WithDeadline(Get(1, 1), 1500);
  FromClient(rig, get);
  AdvanceTime(rig, milliseconds(1200));
  FromClient(rig, get);  // it may be lost at the target, which gets the read again
  BOOST_TEST(Forwarded(rig).deadline.value() == 300U);
  AdvanceTime(rig, milliseconds(300));
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  FromClient(rig, get);
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  BOOST_TEST(rig.to_target.empty());
}

// A client requests a feed, and its deadline passes before the target answers. The target has to
// get Observe 1, or it would open a stream that nobody reads.
BOOST_AUTO_TEST_CASE(registration_is_cancelled_at_the_target) {
  auto rig = MakeRig(WithoutHandOn());
  // CON GET /hold with Observe 0 and 100 ms.
  auto observe = Bytes{0x41, 1, 0, 1, 1, 0x60, 0x54, 'h', 'o', 'l', 'd', 0xe1, 0xfc, 0xe4, 100};
  FromClient(rig, observe);
  auto request = rig.to_target.at(0);
  AdvanceTime(rig, milliseconds(100));
  BOOST_TEST(Sent(rig).code == kCodeGatewayTimeout);
  auto cancelled = Forwarded(rig);
  BOOST_TEST(cancelled.observe.value() == 1U);
  BOOST_CHECK(cancelled.token == ParseMessage(request).value().token);
  BOOST_TEST(!cancelled.has_deadline_option);
}

// The flow of an open feed is handed over. The client got its first answer long ago, so the new
// target must not get the deadline that was set for it.
BOOST_AUTO_TEST_CASE(handed_over_stream_has_no_deadline) {
  auto successor = MakeRig(WithoutHandOn());
  auto record = FlowRecord{};
  auto observe = Bytes{0x41, 1, 0, 1, 1, 0x60, 0x54, 'h', 'o', 'l', 'd', 0xe1, 0xfc, 0xe4, 100};
  record.streams.push_back({observe, 7});
  Feed(successor, FlowAdopted{kFlow, &record});
  BOOST_TEST(Forwarded(successor).observe.value() == 0U);
  BOOST_TEST(!Forwarded(successor).has_deadline_option);
  AdvanceTime(successor, base::seconds(1));
  BOOST_TEST(successor.to_client.empty());
}

// A full agent offers a hold to another one, with the client's remaining time in both offers. If
// the time ends before the other agent's challenge arrives, the hold cannot have run: "not run".
// After the second offer it may have run.
BOOST_AUTO_TEST_CASE(offer_ends_at_the_clients_deadline) {
  for (auto confirmed : {false, true}) {
    auto parameters = Parameters{};
    parameters.slots = 1;
    parameters.queue_size = 0;
    auto rig = MakeRig(parameters);
    FromClient(rig, Get(1, 1), kOtherFlow);
    auto post = ChallengedWithDeadline(rig, 100);
    rig.now += milliseconds(10);
    FromClient(rig, post);
    auto offer = rig.offers.at(0);
    BOOST_TEST(ParseMessage(offer.bytes).value().deadline.value() == 90U);
    rig.now += milliseconds(10);
    if (confirmed) {
      auto challenge = BuildChallenge(MessageType::kAcknowledgement, 2, TokenOf(7), Echo{1});
      Feed(rig, HandOnAnswered{kFlow, offer.request, kOtherTarget, false, challenge});
      BOOST_TEST(ParseMessage(rig.offers.at(0).bytes).value().deadline.value() == 80U);
      BOOST_TEST(ParseMessage(rig.offers.at(0).bytes).value().echo.has_value());
    }
    AdvanceTime(rig, milliseconds(80));
    BOOST_TEST(Sent(rig).code == (confirmed ? kCodeGatewayTimeout : kCodeServiceUnavailable));
  }
}

// The agent of a slow target offers a read that it cannot run in time, and the other agent refuses
// it too. It has to count as refused for its deadline and not for a full queue, or the operator
// would look for the wrong cause.
BOOST_AUTO_TEST_CASE(refusal_elsewhere_keeps_its_cause) {
  auto parameters = Parameters{};
  parameters.initial_service_time = milliseconds(20);
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1));
  auto first = rig.to_target.at(0);
  rig.now += base::seconds(2);
  Answer(rig, ParseMessage(first).value(), 1);  // the estimate is 600 ms from here on
  FromClient(rig, WithDeadline(Get(2, 2), 100));
  auto offer = rig.offers.at(0);
  Feed(rig, HandOnAnswered{kFlow, offer.request, kOtherTarget, true, {}});
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_TEST(Counted(rig, Counter::kRefusedDeadline));
}

// 15 ms are too short for a run of 20 ms at any target, so no other agent may be asked.
BOOST_AUTO_TEST_CASE(nothing_is_offered_that_would_be_late) {
  auto parameters = Parameters{};
  parameters.slots = 1;
  parameters.queue_size = 0;
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1), kOtherFlow);
  FromClient(rig, WithDeadline(Get(2, 2), 15));
  BOOST_TEST(rig.offers.empty());
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  FromClient(rig, WithDeadline(Get(3, 3), 100));
  BOOST_TEST(rig.offers.size() == 1U);
}

// An option of five bytes is not a valid Deadline option. It has to be ignored, as RFC 7252, 5.4.3
// requires for elective options, and counted. The same holds for a second one.
BOOST_AUTO_TEST_CASE(bad_option_is_ignored_and_counted) {
  auto rig = MakeRig(WithoutHandOn());
  auto too_long = Get(1, 1);
  auto option = Bytes{0xe5, 0xfc, 0xe4, 0, 0, 0, 0, 0};
  too_long.insert(too_long.end() - 5, option.begin(), option.end());
  FromClient(rig, too_long);
  BOOST_TEST(Forwarded(rig).has_deadline_option == false);
  BOOST_TEST(Counted(rig, Counter::kBadDeadline));
  auto twice = WithDeadline(Get(2, 2), 100);
  auto second = Bytes{0x01, 200};
  twice.insert(twice.end() - 5, second.begin(), second.end());
  FromClient(rig, twice);
  BOOST_TEST(Forwarded(rig).deadline.value() == 100U);
  BOOST_TEST(!Forwarded(rig).bad_deadline);
  BOOST_TEST(Counted(rig, Counter::kBadDeadline));
}

// A client stops waiting after 93 s in any case, so no deadline may be later than that.
BOOST_AUTO_TEST_CASE(endless_deadline_is_clamped) {
  auto rig = MakeRig(WithoutHandOn());
  auto get = Get(1, 1);
  auto option = Bytes{0xe4, 0xfc, 0xe4, 0xff, 0xff, 0xff, 0xff};
  get.insert(get.end() - 5, option.begin(), option.end());
  FromClient(rig, get);
  BOOST_TEST(Forwarded(rig).deadline.value() == 93000U);
}

}  // namespace
}  // namespace anvildrum::requests
