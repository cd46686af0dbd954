#include <boost/test/unit_test.hpp>

#include "agent/internal/hand_over_codec.h"
#include "agent/tests/drain_world.h"
#include "requests/coap_message.h"

namespace anvildrum::agent {
namespace {

constexpr auto kOffers = std::size_t{128};
constexpr auto kClient = std::uint32_t{7};

auto SequenceOf(const Received& received) -> std::uint32_t {
  return requests::ParseMessage(received.bytes).value().observe.value();
}

auto LastOf(DrainWorld& world, const base::FlowKey& flow) -> requests::Message {
  return requests::ParseMessage(world.received[flow].back().bytes).value();
}

// A stream that runs at one of two desks; returns the desk.
auto OpenFeed(DrainWorld& world, const base::FlowKey& flow) -> std::size_t {
  RunFor(world, base::seconds(1));
  FromClient(world, flow, ObserveGet());
  RunFor(world, base::seconds(1));
  return OwnerOf(world, flow);
}

// A trader watches a feed and sends nothing. Its desk drains: within seconds the prices come from
// the other desk, under the same token and with rising numbers, no gap longer than half a second,
// and the desk's agent ends. Waiting for the trader to go home would take hours.
BOOST_AUTO_TEST_CASE(stream_moves_when_its_target_drains) {
  auto world = MakeDrainWorld(2, kOffers);
  auto flow = FlowOfClient(kClient);
  auto old_owner = OpenFeed(world, flow);
  BeginDrain(world, old_owner);
  RunFor(world, base::seconds(10));
  BOOST_TEST(world.desks[old_owner].drained);
  BOOST_TEST(OwnerOf(world, flow) == 1 - old_owner);
  const auto& received = world.received[flow];
  BOOST_TEST(received.back().from == 1 - old_owner);
  for (auto i = std::size_t{1}; i < received.size(); ++i) {
    BOOST_TEST(SequenceOf(received[i]) > SequenceOf(received[i - 1]));
    BOOST_CHECK(received[i].at - received[i - 1].at < base::milliseconds(500));
    BOOST_CHECK(requests::ParseMessage(received[i].bytes).value().token ==
                requests::ParseMessage(received[0].bytes).value().token);
  }
}

// The trader's hold is challenged; its desk drains, and the trader's answer comes when its flow has
// moved. It must not run at either desk without the trader hearing of it: here the flow waits for
// the answer, the hold runs once, and a copy that comes after the move gets the same answer.
BOOST_AUTO_TEST_CASE(hold_that_crosses_with_a_drain_runs_once) {
  auto world = MakeDrainWorld(2, kOffers);
  auto flow = FlowOfClient(kClient);
  auto old_owner = OpenFeed(world, flow);
  world.notification_period = base::hours(1);
  RunFor(world, base::seconds(1));
  FromClient(world, flow, PostHold(20, 9));
  RunFor(world, base::milliseconds(40));
  auto challenge = LastOf(world, flow);
  BOOST_REQUIRE(challenge.echo.has_value());
  BeginDrain(world, old_owner);
  RunFor(world, base::seconds(2));
  auto again =
      requests::WithEcho(requests::ParseMessage(PostHold(21, 10)).value(), *challenge.echo);
  FromClient(world, flow, again);
  RunFor(world, base::seconds(10));
  BOOST_TEST(OwnerOf(world, flow) == 1 - old_owner);
  BOOST_TEST(world.desks[old_owner].drained);
  FromClient(world, flow, again);
  RunFor(world, base::seconds(1));
  BOOST_TEST(world.desks[0].posts + world.desks[1].posts == 1U);
  auto answer = LastOf(world, flow);
  BOOST_TEST(answer.message_id == 21);
  BOOST_TEST(answer.code == 0x45);
}

// A trader's desk has no slot left and refuses to open its feed, for as long as others' work runs;
// the other desk is idle. When the trader comes back, as it was told to, a second later, its flow
// is at the other desk and the feed opens. Flows that stayed would see it refused again and again.
BOOST_AUTO_TEST_CASE(flow_whose_target_refused_finds_room_when_its_client_is_back) {
  auto world = MakeDrainWorld(2, kOffers);
  auto flow = FlowOfClient(kClient);
  RunFor(world, base::seconds(1));
  for (auto& desk : world.desks) desk.refuses = true;
  FromClient(world, flow, ObserveGet());
  RunFor(world, base::milliseconds(10));
  auto full = OwnerOf(world, flow);
  BOOST_TEST(LastOf(world, flow).code == requests::kCodeServiceUnavailable);
  world.desks[1 - full].refuses = false;
  RunFor(world, base::seconds(1));
  BOOST_TEST(OwnerOf(world, flow) == 1 - full);
  auto again = ObserveGet();
  again[3] = 2;
  FromClient(world, flow, again);
  RunFor(world, base::seconds(1));
  BOOST_TEST(LastOf(world, flow).observe.has_value());
}

// The only other desk drains as well: nobody takes the flow, and its owner serves it on until the
// time allowed for the drain has passed.
BOOST_AUTO_TEST_CASE(flow_that_nobody_takes_is_served_on) {
  auto world = MakeDrainWorld(2, kOffers);
  auto flow = FlowOfClient(kClient);
  auto owner = OpenFeed(world, flow);
  FromClient(world, FlowOfClient(kClient + 1), ObserveGet());
  BeginDrain(world, owner);
  BeginDrain(world, 1 - owner);
  RunFor(world, base::seconds(20));
  auto before = world.received[flow].size();
  RunFor(world, base::seconds(1));
  BOOST_TEST(world.received[flow].size() > before);
}

// The flow has moved, but some balancer has not heard yet that the desk drains, and sends the
// client's packet there. Ended at once, the agent would lose it; it passes packets on until every
// balancer has heard.
BOOST_AUTO_TEST_CASE(drained_agent_passes_packets_on_for_a_while) {
  auto world = MakeDrainWorld(2, kOffers);
  auto old_owner = OpenFeed(world, FlowOfClient(kClient));
  BeginDrain(world, old_owner);
  RunFor(world, base::seconds(3));
  BOOST_TEST(OwnerOf(world, FlowOfClient(kClient)) == 1 - old_owner);
  BOOST_TEST(!world.desks[old_owner].drained);
  RunFor(world, base::seconds(4));
  BOOST_TEST(world.desks[old_owner].drained);
}

// The new owner is cut off from the old one right after it took the flow: whether it is registered
// is not known, and the agent does not end although it serves nothing any more.
BOOST_AUTO_TEST_CASE(agent_stays_until_the_new_owner_is_registered) {
  auto world = MakeDrainWorld(2, kOffers);
  auto flow = FlowOfClient(kClient);
  auto& agent = world.desks[OpenFeed(world, flow)].agent;
  agent.directory.outgoing[flow].accepted = true;
  agent.directory.owned.clear();
  agent.directory.counters.handed_over = 1;
  Step(agent, DrainRequested{}, world.now);
  auto later = world.now + agent.policy.drain_linger;
  Step(agent, Timer{}, later);
  BOOST_CHECK(agent.phase == Phase::kDraining);
  agent.directory.outgoing.clear();
  Step(agent, Timer{}, later);
  BOOST_CHECK(agent.phase == Phase::kDrained);
}

// A datagram of another version of the system, or of a fault, must not become a flow's state.
BOOST_AUTO_TEST_CASE(malformed_record_is_refused) {
  auto record = requests::FlowRecord{};
  record.next_client_message_id = 9;
  record.streams.push_back({ObserveGet(), 77});
  record.requests.push_back({});
  record.requests.back().stage = requests::Stage::kAnswered;
  record.requests.back().left = base::seconds(9);
  auto read = ReadRecord(WriteRecord(record));
  BOOST_REQUIRE(read.has_value());
  BOOST_TEST(read->streams.at(0).sequence == 77U);
  BOOST_CHECK(read->requests.at(0).left == base::seconds(9));
  record.requests.back().stage = requests::Stage::kRunning;
  BOOST_TEST(!ReadRecord(WriteRecord(record)).has_value());
  BOOST_TEST(!ReadRecord(wire::Bytes{0xff, 0xff}).has_value());
}

}  // namespace
}  // namespace anvildrum::agent
