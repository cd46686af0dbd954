#include "wire/datagram.h"

#include <boost/test/unit_test.hpp>

#include "wire/convert.h"

namespace anvildrum::wire {
namespace {

constexpr auto kOldKey = Key{1};
constexpr auto kNewKey = Key{2};

auto SealPacket(const KeyRing& ring, BytesView payload) -> Bytes {
  auto header = pb::TunnelHeader{};
  auto flow = base::FlowKey{base::EndpointFromV4(0x7f000001, 5683), base::ServiceIdOf("desk")};
  WriteFlow(flow, *header.mutable_packet()->mutable_flow());
  auto out = Bytes{};
  Seal(ring, header, payload, out).value();
  return out;
}

auto OpenError(const KeyRing& ring, BytesView datagram) -> std::optional<WireErrorCode> {
  auto opened = Opened{};
  auto error = base::ErrorOf<WireError>([&] { return Open(ring, datagram, opened); });
  if (!error) return std::nullopt;
  return error->code;
}

BOOST_AUTO_TEST_CASE(packet_survives_a_round_trip) {
  auto ring = KeyRing{{kOldKey}};
  auto payload = Bytes{1, 2, 3};
  auto datagram = SealPacket(ring, payload);
  auto opened = Opened{};
  BOOST_REQUIRE(Open(ring, datagram, opened));
  auto flow = ReadFlow(opened.header.packet().flow()).value();
  BOOST_TEST(base::FormatEndpoint(flow.client) == "127.0.0.1:5683");
  BOOST_TEST(Bytes(opened.payload.begin(), opened.payload.end()) == payload);
}

// Instances of two versions run together during a rollout. If they computed the MAC differently,
// each would drop all datagrams of the other. The bytes are those of OpenSSL's SIPHASH.
BOOST_AUTO_TEST_CASE(a_sealed_datagram_is_the_same_in_every_version) {
  auto header = pb::TunnelHeader{};
  header.set_sender(1);
  header.mutable_probe()->set_sequence(2);
  auto datagram = Bytes{};
  Seal(KeyRing{{kOldKey}}, header, Bytes{3}, datagram).value();
  auto expected = Bytes{0x90, 0x0e, 0xf9, 0xcb, 0x0c, 0x59, 0xfc, 0x3a, 0x5f, 0x54, 0x1d,
                        0x47, 0x1b, 0xe1, 0x0a, 0x44, 0x0d, 0x09, 0x01, 0x00, 0x00, 0x00,
                        0x00, 0x00, 0x00, 0x00, 0x5a, 0x02, 0x08, 0x02, 0x03};
  BOOST_TEST(datagram == expected, boost::test_tools::per_element());
}

// A datagram of a sender without the key, or one altered on its way, must not be delivered. Any
// flipped bit has to make the MAC check fail before the header is parsed.
BOOST_AUTO_TEST_CASE(any_flipped_bit_is_refused) {
  auto ring = KeyRing{{kOldKey}};
  auto datagram = SealPacket(ring, Bytes{9, 9});
  for (auto i = std::size_t{0}; i < datagram.size(); ++i) {
    auto altered = datagram;
    altered[i] ^= 1;
    BOOST_CHECK(OpenError(ring, altered) == WireErrorCode::kBadMac);
  }
}

BOOST_AUTO_TEST_CASE(rotation_accepts_both_keys_and_then_only_the_new_one) {
  auto datagram = SealPacket(KeyRing{{kOldKey}}, {});
  BOOST_CHECK(!OpenError(KeyRing{{kNewKey, kOldKey}}, datagram).has_value());
  BOOST_CHECK(OpenError(KeyRing{{kNewKey}}, datagram) == WireErrorCode::kBadMac);
}

BOOST_AUTO_TEST_CASE(short_and_empty_datagrams_are_refused) {
  auto ring = KeyRing{{kOldKey}};
  auto datagram = SealPacket(ring, {});
  for (auto size = std::size_t{0}; size < datagram.size(); ++size) {
    BOOST_CHECK(OpenError(ring, BytesView(datagram).first(size)).has_value());
  }
}

}  // namespace
}  // namespace anvildrum::wire
