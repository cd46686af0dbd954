#include <boost/test/unit_test.hpp>

#include "agent/tests/drain_world.h"
#include "requests/coap_message.h"

namespace anvildrum::agent {
namespace {

constexpr auto kClients = std::uint32_t{20};
constexpr auto kMany = std::uint32_t{1800};
constexpr auto kServiceUnavailable = std::uint8_t{0xa3};  // 5.03
constexpr auto kSequenceRange = std::uint32_t{1} << 24;   // RFC 7641, 3.4
constexpr auto kCopied = base::seconds(8);                // age, look and way of a copy

auto MessageOf(const Received& received) -> requests::Message {
  return requests::ParseMessage(received.bytes).value();
}

// Returns `desks` desks with feeds whose copies have been sent.
auto OpenFeeds(std::size_t desks, std::uint32_t clients = kClients) -> DrainWorld {
  auto world = MakeDrainWorld(desks, 0);
  RunFor(world, base::seconds(1));
  for (auto client = std::uint32_t{1}; client <= clients; ++client) {
    FromClient(world, FlowOfClient(client), ObserveGet());
  }
  RunFor(world, kCopied);
  return world;
}

// Returns the desk that has a copy of the flow's observations; the number of desks if there is
// none.
auto KeeperOf(const DrainWorld& world, const base::FlowKey& flow) -> std::size_t {
  auto keeps = [&](const Desk& desk) { return desk.agent.directory.copies.contains(flow); };
  auto found = std::ranges::find_if(world.desks, keeps);
  return static_cast<std::size_t>(found - world.desks.begin());
}

auto OwnersOf(const DrainWorld& world, const base::FlowKey& flow) -> std::ptrdiff_t {
  return std::ranges::count_if(world.desks, [&](const Desk& desk) {
    auto owned = desk.agent.directory.owned.find(flow);
    auto has = owned != desk.agent.directory.owned.end() && !owned->second.closing;
    return !desk.drained && has;
  });
}

auto BytesOf(const DrainWorld& world) -> std::uint64_t {
  auto bytes = std::uint64_t{0};
  for (const auto& desk : world.desks) bytes += desk.agent.counters.copy_bytes;
  return bytes;
}

auto FlowsOf(const DrainWorld& world, std::size_t desk) -> std::vector<base::FlowKey> {
  auto flows = std::vector<base::FlowKey>{};
  for (auto client = std::uint32_t{1}; client <= kClients; ++client) {
    if (OwnerOf(world, FlowOfClient(client)) == desk) flows.push_back(FlowOfClient(client));
  }
  BOOST_REQUIRE(!flows.empty());
  return flows;
}

auto CheckRises(const std::vector<Received>& received) -> void {
  for (auto i = std::size_t{1}; i < received.size(); ++i) {
    auto before = MessageOf(received[i - 1]).observe.value();
    auto step = (MessageOf(received[i]).observe.value() - before) % kSequenceRange;
    BOOST_TEST(step > 0U);
    BOOST_TEST(step < kSequenceRange / 2);
    BOOST_CHECK(received[i].at - received[i - 1].at < base::seconds(3));
    BOOST_CHECK(MessageOf(received[i]).message_id != MessageOf(received[i - 1]).message_id);
    BOOST_CHECK(MessageOf(received[i]).token == MessageOf(received[0]).token);
  }
}

// Clients observe feeds and send nothing, and their desk's target and agent die together. Within
// three seconds the notifications have to come from another desk, under the same token and with
// rising sequence numbers. Without the copies nobody would know these clients any more.
BOOST_AUTO_TEST_CASE(observation_continues_when_target_and_agent_die) {
  auto world = OpenFeeds(3);
  auto flows = FlowsOf(world, 0);
  Kill(world, 0);
  RunFor(world, base::seconds(5));
  for (const auto& flow : flows) {
    BOOST_TEST(OwnersOf(world, flow) == 1);
    BOOST_TEST(world.received[flow].back().from != 0U);
    CheckRises(world.received[flow]);
  }
}

// A second desk is lost right after the first. The first stand-by has to have sent copies of the
// flows that it took over.
BOOST_AUTO_TEST_CASE(observation_continues_after_a_second_loss) {
  auto world = OpenFeeds(4);
  auto flows = FlowsOf(world, 0);
  Kill(world, 0);
  RunFor(world, kCopied);
  Kill(world, 1);
  RunFor(world, base::seconds(5));
  for (const auto& flow : flows) {
    BOOST_TEST(world.received[flow].back().from > 1U);
    CheckRises(world.received[flow]);
  }
}

// A desk is disconnected from all others, which are alive and serve. It considers all of them dead;
// if it took their flows over, it would notify their clients besides their owners.
BOOST_AUTO_TEST_CASE(disconnected_stand_by_takes_nothing_over) {
  auto world = OpenFeeds(3);
  auto flows = FlowsOf(world, 0);
  Cut(world, 1, 0);
  Cut(world, 1, 2);
  RunFor(world, base::seconds(10));
  for (const auto& flow : flows) BOOST_TEST(OwnersOf(world, flow) == 1);
  BOOST_TEST(world.desks[1].agent.directory.counters.copies_taken == 0U);
}

// Two desks are disconnected from each other, and a third reaches both. Nothing is lost, so nothing
// may be taken over.
BOOST_AUTO_TEST_CASE(stand_by_does_not_take_over_from_an_owner_that_a_peer_reaches) {
  auto world = OpenFeeds(3);
  Cut(world, 1, 0);
  RunFor(world, base::seconds(10));
  for (const auto& desk : world.desks) {
    BOOST_TEST(desk.agent.directory.counters.copies_taken == 0U);
  }
}

// With two desks, no peer can tell whether the other one is alive. The removal of its record
// confirms the loss.
BOOST_AUTO_TEST_CASE(stand_by_without_another_peer_waits_for_the_removed_record) {
  auto world = OpenFeeds(2);
  auto flows = FlowsOf(world, 0);
  Kill(world, 0);
  RunFor(world, base::seconds(10));
  for (const auto& flow : flows) BOOST_TEST(OwnersOf(world, flow) == 0);
  RemoveRecord(world, 0);
  RunFor(world, base::seconds(2));
  for (const auto& flow : flows) BOOST_TEST(world.received[flow].back().from == 1U);
}

// The stand-by's own target has died as well, or is at its connection limit. The clients have to be
// told at once by a confirmable message that is retransmitted; otherwise they would continue to
// show old values.
BOOST_AUTO_TEST_CASE(client_is_told_when_its_stand_by_cannot_serve) {
  for (auto full : {false, true}) {
    auto world = OpenFeeds(3);
    auto flows = FlowsOf(world, 0);
    for (auto& desk : world.desks) {
      if (full) desk.agent.directory.load.connections = 1;
      if (full) desk.agent.record.connections = 1;
      if (!full) desk.agent.target.unanswered = 1000;
    }
    Kill(world, 0);
    world.notification_period = base::hours(1);
    for (auto i = 0; i < 100; ++i) {
      for (auto& desk : world.desks) {
        if (!full) desk.agent.target.unanswered = 1000;
      }
      RunFor(world, base::milliseconds(20));
    }
    RunFor(world, base::seconds(3));
    for (const auto& flow : flows) {
      auto last = MessageOf(world.received[flow].back());
      BOOST_TEST(last.code == kServiceUnavailable);
      BOOST_CHECK(last.type == requests::MessageType::kConfirmable);
      BOOST_CHECK(last.token == MessageOf(world.received[flow].front()).token);
      BOOST_TEST(last.max_age.has_value());
      auto told = std::ranges::count_if(world.received[flow], [&](const Received& received) {
        return MessageOf(received).code == kServiceUnavailable;
      });
      BOOST_TEST(told >= 2);
      BOOST_TEST(OwnersOf(world, flow) == 0);
    }
  }
}

// Most flows are short. An observation of two seconds must not cost a copy; a longer one costs one,
// which is removed when the client ends the observation.
BOOST_AUTO_TEST_CASE(copy_lasts_as_long_as_its_observation) {
  auto world = MakeDrainWorld(3, 0);
  auto flow = FlowOfClient(1);
  RunFor(world, base::seconds(1));
  FromClient(world, flow, ObserveGet());
  RunFor(world, base::seconds(2));
  BOOST_TEST(KeeperOf(world, flow) == 3U);
  RunFor(world, kCopied);
  auto keeper = KeeperOf(world, flow);
  BOOST_REQUIRE(keeper < 3U);
  BOOST_TEST(keeper != OwnerOf(world, flow));
  auto& owner = world.desks[OwnerOf(world, flow)].agent;
  BOOST_TEST(owner.counters.copies_sent == 1U);
  FromClient(world, flow, requests::BuildReset(MessageOf(world.received[flow].back()).message_id));
  RunFor(world, base::seconds(5));
  BOOST_TEST(KeeperOf(world, flow) == 3U);
}

// The owner does not reach its stand-by for a while and knows no other. The copy has to stay, also
// right afterwards; otherwise the clients would get no notification after the owner's death.
BOOST_AUTO_TEST_CASE(copy_stays_where_it_is_while_no_other_can_keep_it) {
  auto world = OpenFeeds(2);
  auto flow = FlowsOf(world, 0).front();
  BOOST_REQUIRE(KeeperOf(world, flow) == 1U);
  Cut(world, 0, 1);
  RunFor(world, base::seconds(8));
  world.cuts.clear();
  for (auto i = 0; i < 600; ++i) {
    RunFor(world, base::milliseconds(20));
    BOOST_REQUIRE(KeeperOf(world, flow) == 1U);
  }
}

// The stand-by is unreachable for the owner, and another one gets the copy. When the first one is
// reachable again, it has to get the copy back, and the other one has to remove it.
BOOST_AUTO_TEST_CASE(copy_follows_the_stand_by) {
  auto world = OpenFeeds(3);
  auto flow = FlowsOf(world, 0).front();
  auto first = KeeperOf(world, flow);
  Cut(world, 0, first);
  RunFor(world, base::seconds(8));
  BOOST_TEST(world.desks[3 - first].agent.directory.copies.contains(flow));
  world.cuts.clear();
  RunFor(world, base::seconds(30));
  BOOST_TEST(world.desks[first].agent.directory.copies.contains(flow));
  BOOST_TEST(!world.desks[3 - first].agent.directory.copies.contains(flow));
}

// Many feeds open at once. Their copies have to stay within the budget, and all of them have to be
// sent in the end.
BOOST_AUTO_TEST_CASE(copies_stay_within_their_byte_budget) {
  auto world = OpenFeeds(3, kMany);
  const auto policy = StandByPolicy{};
  auto check = [&](double seconds) {
    for (const auto& desk : world.desks) {
      auto most = policy.burst_bytes + policy.bytes_per_second * seconds + 1200;
      BOOST_TEST(static_cast<double>(desk.agent.counters.copy_bytes) <= most);
    }
  };
  check(9);
  RunFor(world, base::seconds(60));
  check(69);
  auto copies = std::size_t{0};
  for (const auto& desk : world.desks) copies += desk.agent.directory.copies.size();
  BOOST_TEST(copies == kMany);
  BOOST_TEST_MESSAGE("bytes a copy: " << BytesOf(world) / kMany);
}

}  // namespace
}  // namespace anvildrum::agent
