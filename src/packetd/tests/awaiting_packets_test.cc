#include "packetd/awaiting_packets.h"

#include <boost/test/unit_test.hpp>
#include <vector>

#include "packets/agent.h"

namespace anvildrum::packetd {
namespace {

constexpr auto kStart = base::TimePoint{base::seconds{1000}};
constexpr auto kRoute = packets::End{0xc6120001, 443};
constexpr auto kOtherRoute = packets::End{0xc6120002, 443};
constexpr auto kBalancer = packets::Address{0x0a020001};

auto Bytes(std::uint8_t value) -> std::vector<std::uint8_t> {
  return std::vector<std::uint8_t>(10, value);
}

BOOST_AUTO_TEST_CASE(the_packets_of_a_route_are_taken_in_their_order) {
  auto awaiting = AwaitingPackets{};
  awaiting.Keep(kRoute, kBalancer, Bytes(1), kStart);
  awaiting.Keep(kOtherRoute, kBalancer, Bytes(2), kStart);
  awaiting.Keep(kRoute, kBalancer, Bytes(3), kStart);
  BOOST_TEST(awaiting.FirstOfRoutes().size() == 2U);
  const auto taken = awaiting.Take(kRoute);
  BOOST_REQUIRE(taken.size() == 2U);
  BOOST_TEST(taken[0].datagram == Bytes(1));
  BOOST_TEST(taken[1].datagram == Bytes(3));
  BOOST_REQUIRE(awaiting.FirstOfRoutes().size() == 1U);
  BOOST_TEST(awaiting.FirstOfRoutes().front()->datagram == Bytes(2));
}

// Guards against packets that are delivered after their clients have sent a copy.
BOOST_AUTO_TEST_CASE(a_packet_is_not_held_until_its_client_repeats_it) {
  auto awaiting = AwaitingPackets{};
  awaiting.Keep(kRoute, kBalancer, Bytes(1), kStart);
  BOOST_TEST(awaiting.Expire(kStart + packets::kMaxRouteWait / 2) == 0U);
  BOOST_TEST(awaiting.Expire(kStart + packets::kMaxRouteWait) == 1U);
  BOOST_TEST(awaiting.Take(kRoute).empty());
}

// Guards against a flood of packets for another service that uses up the agent's memory.
BOOST_AUTO_TEST_CASE(no_more_packets_are_held_than_the_limit) {
  auto awaiting = AwaitingPackets{};
  for (auto i = std::size_t{0}; i < 2 * AwaitingPackets::kMaxPackets; ++i) {
    awaiting.Keep(kRoute, kBalancer, Bytes(1), kStart);
  }
  BOOST_TEST(awaiting.Take(kRoute).size() == AwaitingPackets::kMaxPackets);
}

}  // namespace
}  // namespace anvildrum::packetd
