#include <boost/test/unit_test.hpp>

#include "requests/hand_over.h"
#include "requests/tests/rig.h"

namespace anvildrum::requests {
namespace {

// GET /hold with Observe 0, token 5.
const auto kObserveGet = Bytes{0x41, 1, 0, 1, 5, 0x60, 0x54, 'h', 'o', 'l', 'd'};
constexpr auto kSequenceRange = std::uint32_t{1} << 24;

auto Notification(std::uint16_t message_id, const Token& token, std::uint32_t sequence) -> Bytes {
  auto bytes = Bytes{0x58, 0x45, static_cast<std::uint8_t>(message_id >> 8),
                     static_cast<std::uint8_t>(message_id)};
  bytes.insert(bytes.end(), token.bytes.begin(), token.bytes.end());
  bytes.insert(bytes.end(), {0x63, static_cast<std::uint8_t>(sequence >> 16),
                             static_cast<std::uint8_t>(sequence >> 8),
                             static_cast<std::uint8_t>(sequence), 0xff, 'x'});
  return bytes;
}

// An observation at a target that has sent `sequence` last; returns the target's token.
auto Observe(Rig& rig, std::uint32_t sequence) -> Token {
  FromClient(rig, kObserveGet);
  auto token = Forwarded(rig).token;
  Feed(rig, TargetDatagram{kFlow, Notification(300, token, sequence)});
  return token;
}

auto Version(const Rig& rig) -> std::uint64_t { return StreamsVersion(*rig.core, kFlow, rig.now); }

// A trader's price feed is taken over from a lost owner, whose copy is a million notifications old.
// The first price from the new target must count as newer than all of them, also over the end of
// the 24 bits, and must not have a message ID that the client has just seen.
BOOST_AUTO_TEST_CASE(numbers_go_on_above_all_that_the_lost_owner_can_have_sent) {
  for (auto reported : {100U, kSequenceRange - 100}) {
    auto owner = MakeRig(Alone());
    Observe(owner, reported);
    auto record = ExportStreams(*owner.core, kFlow, owner.now);
    auto reported_id = record.next_client_message_id;
    ResumeAfterLoss(record, kExchangeLifetime);
    auto stand_by = MakeRig(Alone());
    Feed(stand_by, FlowAdopted{kFlow, &record});
    auto token = Forwarded(stand_by).token;
    Feed(stand_by, TargetDatagram{kFlow, Notification(1, token, 7)});
    auto first = Sent(stand_by);
    for (auto sent_since : {0U, 1U << 20U}) {
      auto step = (first.observe.value() - reported - sent_since) % kSequenceRange;
      BOOST_TEST(step > 0U);
      BOOST_TEST(step < kSequenceRange / 2);
    }
    auto ids = static_cast<std::uint16_t>(first.message_id - reported_id);
    BOOST_TEST(ids > 1U << 14U);
    BOOST_CHECK(first.token == TokenOf(5));
  }
}

// The copy must not fall further behind than the step in the numbers allows for.
BOOST_AUTO_TEST_CASE(copy_is_out_of_date_after_many_notifications_and_a_refresh) {
  auto rig = MakeRig(Alone());
  BOOST_TEST(Version(rig) == 0U);
  auto token = Observe(rig, 10);
  auto version = Version(rig);
  BOOST_TEST(version != 0U);
  BOOST_TEST(StreamsVersion(*rig.core, kFlow, rig.now - base::seconds(1)) == 0U);
  Feed(rig, TargetDatagram{kFlow, Notification(301, token, 11)});
  BOOST_TEST(Version(rig) == version);
  Feed(rig, TargetDatagram{kFlow, Notification(302, token, (1U << 20U) + 1)});
  BOOST_TEST(Version(rig) != version);
  version = Version(rig);
  auto refresh = kObserveGet;
  refresh[3] = 9;
  FromClient(rig, refresh);
  BOOST_TEST(Version(rig) != version);
}

// The stand-by cannot serve the feed. Its client is told so under the feed's token until it has
// acknowledged it, and a POST of the lost owner's time is not run.
BOOST_AUTO_TEST_CASE(client_of_a_feed_that_is_not_served_on_is_told) {
  auto owner = MakeRig(Alone());
  Observe(owner, 10);
  auto record = ExportStreams(*owner.core, kFlow, owner.now);
  ResumeAfterLoss(record, kExchangeLifetime);
  auto stand_by = MakeRig(Alone());
  Feed(stand_by, FlowAdopted{kFlow, &record, false});
  BOOST_TEST(stand_by.to_target.empty());
  auto told = Sent(stand_by);
  BOOST_TEST(told.code == kCodeServiceUnavailable);
  BOOST_CHECK(told.type == MessageType::kConfirmable);
  BOOST_CHECK(told.token == TokenOf(5));
  BOOST_TEST(told.max_age.has_value());
  stand_by.now += base::seconds(3);
  Feed(stand_by, Timer{});
  BOOST_TEST(Sent(stand_by).message_id == told.message_id);
  FromClient(stand_by, BuildEmptyAck(told.message_id));
  stand_by.now += base::seconds(10);
  Feed(stand_by, Timer{});
  BOOST_TEST(stand_by.to_client.empty());
  FromClient(stand_by, world::MakeRequest(world::kPost, 77, TokenOf(9), 9));
  BOOST_TEST(Sent(stand_by).code == kCodeGatewayTimeout);
}

}  // namespace
}  // namespace anvildrum::requests
