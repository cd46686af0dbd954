#include <boost/test/unit_test.hpp>
#include <set>

#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

auto FlowOfClient(std::uint32_t client) -> base::FlowKey {
  return {base::EndpointFromV4(0x0a000000 + client, 40000), base::ServiceIdOf("desk")};
}

auto OneSlot() -> Parameters {
  auto parameters = WithoutHandOn();
  parameters.slots = 1;
  return parameters;
}

// All slots of the target are taken. The next request has to wait and start when an answer frees a
// slot.
BOOST_AUTO_TEST_CASE(request_waits_for_a_slot) {
  auto rig = MakeRig(OneSlot());
  FromClient(rig, Get(1, 1));
  auto sent = rig.to_target.at(0);
  FromClient(rig, Get(2, 2));
  BOOST_TEST(rig.to_target.empty());
  BOOST_TEST(rig.to_client.empty());
  rig.now += base::milliseconds(20);
  Answer(rig, ParseMessage(sent).value(), 1);
  BOOST_TEST(rig.to_target.size() == 1U);
}

// With 100 ms a request and 250 ms to the deadline, the third request would be answered late. It
// has to be refused at once with a Max-Age, instead of waiting for an answer that its client cannot
// use.
BOOST_AUTO_TEST_CASE(nothing_is_queued_that_would_be_late) {
  auto parameters = OneSlot();
  parameters.initial_service_time = base::milliseconds(100);
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1));
  FromClient(rig, Get(2, 2));
  BOOST_TEST(rig.to_client.empty());
  FromClient(rig, Get(3, 3));
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_TEST(Sent(rig).max_age.has_value());
}

// The target stalls after a request was queued. The client has to be told "not run" as soon as too
// little time is left for a run, before its deadline rather than after it.
BOOST_AUTO_TEST_CASE(queued_request_is_refused_before_its_deadline) {
  auto rig = MakeRig(OneSlot());
  FromClient(rig, Get(1, 1));
  FromClient(rig, Get(2, 2));
  rig.now += rig.parameters.queue_limit - rig.parameters.initial_service_time;
  Feed(rig, Timer{});
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).queued == 0U);
}

// One trader's burst fills the queue. Another trader's single request has to take the next slot and
// not wait behind the burst.
BOOST_AUTO_TEST_CASE(burst_of_one_client_does_not_starve_another) {
  auto parameters = OneSlot();
  parameters.queue_size = 4;
  parameters.initial_service_time = base::milliseconds(1);
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1), FlowOfClient(1));
  auto first = rig.to_target.at(0);
  for (auto i = std::uint16_t{2}; i < 8; ++i) FromClient(rig, Get(i, i), FlowOfClient(1));
  FromClient(rig, Get(1, 99), FlowOfClient(2));
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_TEST(Sent(rig).message_id == 5);  // the newest of the burst that was in the queue
  Answer(rig, ParseMessage(first).value(), 1, FlowOfClient(1));
  BOOST_TEST(rig.to_target.at(0).back() == 99);
}

// A client at its limit of requests is refused although slots are free.
BOOST_AUTO_TEST_CASE(client_limit) {
  auto parameters = WithoutHandOn();
  parameters.client_in_flight = 2;
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1));
  FromClient(rig, Get(2, 2));
  FromClient(rig, Get(3, 3));
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  FromClient(rig, Get(1, 4), kOtherFlow);
  BOOST_TEST(rig.to_target.size() == 1U);
}

// A source requests challenges and never answers one. It has to be refused at its limit, and other
// sources must not be.
BOOST_AUTO_TEST_CASE(open_challenges_of_one_client_are_bounded) {
  auto parameters = WithoutHandOn();
  parameters.client_challenges = 3;
  auto rig = MakeRig(parameters);
  for (auto i = std::uint16_t{0}; i < 3; ++i) ChallengedPost(rig, i, i);
  FromClient(rig, world::MakeRequest(world::kPost, 50, TokenOf(50), 50));
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
  BOOST_CHECK(rig.counts == std::vector{Counter::kRefusedChallenges});
  FromClient(rig, world::MakeRequest(world::kPost, 50, TokenOf(50), 50), kOtherFlow);
  BOOST_TEST(Sent(rig).code == kCodeUnauthorized);
}

// A flood of challenges from new addresses may take only its share of the ledger. A request
// challenged before has to run.
BOOST_AUTO_TEST_CASE(open_challenges_take_half_of_the_ledger) {
  auto parameters = WithoutHandOn();
  parameters.ledger_bytes = 20000;
  auto rig = MakeRig(parameters);
  auto post = ChallengedPost(rig, 1, 7);
  auto refused = false;
  for (auto client = std::uint32_t{1}; client < 100 && !refused; ++client) {
    FromClient(rig, world::MakeRequest(world::kPost, 1, TokenOf(1), 1), FlowOfClient(client));
    refused = Sent(rig).code == kCodeServiceUnavailable;
  }
  BOOST_TEST(refused);
  BOOST_TEST(RequestLoadOf(*rig.core, rig.now).ledger_bytes < 11000U);
  FromClient(rig, post);
  BOOST_TEST(rig.to_target.size() == 1U);
}

// Clients refused together would be refused together again if they returned at the same time, so
// their Max-Age values have to differ.
BOOST_AUTO_TEST_CASE(refusals_vary_in_max_age) {
  auto parameters = OneSlot();
  parameters.queue_size = 0;
  auto rig = MakeRig(parameters);
  FromClient(rig, Get(1, 1));
  auto ages = std::set<std::uint32_t>{};
  for (auto i = std::uint16_t{2}; i < 60; ++i) {
    FromClient(rig, Get(i, i));
    ages.insert(Sent(rig).max_age.value());
  }
  BOOST_TEST(*ages.begin() >= parameters.max_age_min);
  BOOST_TEST(ages.size() > parameters.max_age_spread);
}

// A report is transferred in blocks while the target is full. Refusing the next block would
// truncate the report, so only the first block of another report may be refused.
BOOST_AUTO_TEST_CASE(next_block_of_a_report_is_not_refused) {
  auto parameters = OneSlot();
  parameters.queue_size = 0;
  auto rig = MakeRig(parameters);
  auto block = [](std::uint8_t number) {  // GET /hold with Block2 number/0/1024
    return Bytes{0x41, 1,   0,   number, number, 0xb4,
                 'h',  'o', 'l', 'd',    0xc1,   static_cast<std::uint8_t>(number << 4 | 6)};
  };
  FromClient(rig, block(0));
  auto request = ParseMessage(rig.to_target.at(0)).value();
  auto answer = Bytes{0x68, 0x45, static_cast<std::uint8_t>(request.message_id >> 8),
                      static_cast<std::uint8_t>(request.message_id)};
  answer.insert(answer.end(), request.token.bytes.begin(), request.token.bytes.end());
  answer.insert(answer.end(), {0xd1, 10, 0x0e, 0xff, 'x'});  // Block2 0/more/1024
  Feed(rig, TargetDatagram{kFlow, answer});
  FromClient(rig, Get(50, 50), kOtherFlow);  // takes the only slot
  FromClient(rig, block(1));
  BOOST_TEST(rig.to_target.size() == 1U);
  FromClient(rig, block(1), kOtherFlow);
  BOOST_TEST(Sent(rig).code == kCodeServiceUnavailable);
}

}  // namespace
}  // namespace anvildrum::requests
