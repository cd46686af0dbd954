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

// Opens an observation whose last notification had `sequence`, and returns the target's token.
auto Observe(Rig& rig, std::uint32_t sequence) -> Token {
  FromClient(rig, kObserveGet);
  auto token = Forwarded(rig).token;
  Feed(rig, TargetDatagram{kFlow, Notification(300, token, sequence)});
  return token;
}

auto Version(const Rig& rig) -> std::uint64_t { return StreamsVersion(*rig.core, kFlow, rig.now); }

// A price feed is taken over from a lost owner whose copy is a million notifications old. The first
// price from the new target has to be newer than all of them, also across the end of the 24 bits,
// and must not reuse a recent message ID.
BOOST_AUTO_TEST_CASE(sequence_numbers_resume_above_those_of_the_lost_owner) {
  for (auto reported : {100U, kSequenceRange - 100}) {
    auto owner = MakeRig(WithoutHandOn());
    Observe(owner, reported);
    auto record = ExportStreams(*owner.core, kFlow, owner.now);
    auto reported_id = record.next_client_message_id;
    ResumeAfterLoss(record, kExchangeLifetime);
    auto stand_by = MakeRig(WithoutHandOn());
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

// The copy must not lag further behind than the gap in the resumed numbers allows.
BOOST_AUTO_TEST_CASE(copy_is_out_of_date_after_many_notifications_and_a_refresh) {
  auto rig = MakeRig(WithoutHandOn());
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

// The stand-by cannot serve the feed. Its client has to get an error under the feed's token until
// it acknowledges it, and a POST sent to the lost owner must not run.
BOOST_AUTO_TEST_CASE(client_is_notified_when_its_stream_cannot_be_resumed) {
  auto owner = MakeRig(WithoutHandOn());
  Observe(owner, 10);
  auto record = ExportStreams(*owner.core, kFlow, owner.now);
  ResumeAfterLoss(record, kExchangeLifetime);
  auto stand_by = MakeRig(WithoutHandOn());
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
