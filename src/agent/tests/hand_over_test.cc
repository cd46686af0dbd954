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

// Opens a stream at one of two desks and returns the desk.
auto OpenFeed(DrainWorld& world, const base::FlowKey& flow) -> std::size_t {
  RunFor(world, base::seconds(1));
  FromClient(world, flow, ObserveGet());
  RunFor(world, base::seconds(1));
  return OwnerOf(world, flow);
}

// A client observes a feed and sends nothing while its desk drains. Within seconds the
// notifications have to come from the other desk, under the same token, with rising sequence
// numbers and no gap longer than half a second, and the draining agent has to end. Waiting for the
// client to end the feed would take hours.
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

// A POST is challenged, its desk drains, and the client's answer to the challenge arrives after the
// flow has moved. The POST must not run at either desk without the client receiving its outcome.
// The flow has to wait for the answer, the POST has to run once, and a copy that arrives after the
// move has to get the same answer.
BOOST_AUTO_TEST_CASE(post_that_crosses_with_a_drain_runs_once) {
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

// A desk has no free slot and refuses to open a feed as long as other work runs, while the other
// desk is idle. When the client returns a second later, as told, its flow has to be at the other
// desk, where the feed opens. If flows stayed, it would be refused again and again.
BOOST_AUTO_TEST_CASE(refused_flow_has_a_free_slot_when_its_client_returns) {
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

// The only other desk is draining too, so nobody accepts the flow. Its owner has to serve it until
// the time limit of the drain.
BOOST_AUTO_TEST_CASE(flow_that_nobody_accepts_continues_to_be_served) {
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

// The flow has moved, but a balancer that does not know about the drain yet sends the client's
// packet to the old desk. If the agent had ended at once, the packet would be lost; it has to
// forward packets until every balancer has learnt of the drain.
BOOST_AUTO_TEST_CASE(drained_agent_forwards_packets_for_a_while) {
  auto world = MakeDrainWorld(2, kOffers);
  auto old_owner = OpenFeed(world, FlowOfClient(kClient));
  BeginDrain(world, old_owner);
  RunFor(world, base::seconds(3));
  BOOST_TEST(OwnerOf(world, FlowOfClient(kClient)) == 1 - old_owner);
  BOOST_TEST(!world.desks[old_owner].drained);
  RunFor(world, base::seconds(4));
  BOOST_TEST(world.desks[old_owner].drained);
}

// The new owner is disconnected from the old one right after it accepted the flow, so the old owner
// does not know whether the flow is registered. Its agent must not end, although it serves nothing
// any more.
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

// A datagram of another version of the system or a faulty one must not become a flow's state.
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
