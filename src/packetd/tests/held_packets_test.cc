#include "packetd/held_packets.h"

#include <boost/test/unit_test.hpp>
#include <vector>

namespace anvildrum::packetd {
namespace {

constexpr auto kService = packets::End{0x0a000001, 8172};

auto FlowOf(std::uint16_t port) -> packets::FlowId { return {{0x0a020003, port}, kService}; }

// Without a limit per flow, a client that retransmits during the search for its flow would use up
// the space of all other flows.
BOOST_AUTO_TEST_CASE(the_last_packets_of_a_flow_are_kept) {
  auto held = HeldPackets{};
  for (auto i = std::size_t{0}; i <= HeldPackets::kMaxPacketsPerFlow; ++i) {
    held.Keep(FlowOf(1), std::vector<std::uint8_t>(10, static_cast<std::uint8_t>(i)));
  }
  const auto kept = held.Of(FlowOf(1));
  BOOST_REQUIRE(kept.size() == HeldPackets::kMaxPacketsPerFlow);
  BOOST_TEST(kept.front().front() == 1);
  BOOST_TEST(kept.back().front() == HeldPackets::kMaxPacketsPerFlow);
}

// After the loss of a failure domain all its flows are searched at once. The held packets must not
// exhaust the memory of the smallest balancer, and found flows free their space.
BOOST_AUTO_TEST_CASE(no_more_is_kept_than_there_is_room_for) {
  constexpr auto large = HeldPackets::kMaxBytes / 8;
  auto held = HeldPackets{};
  const auto packet = std::vector<std::uint8_t>(large);
  for (auto port = std::uint16_t{0}; port < 8; ++port) held.Keep(FlowOf(port), packet);
  held.Keep(FlowOf(8), std::vector<std::uint8_t>(1));
  BOOST_TEST(held.Of(FlowOf(7)).size() == 1U);
  BOOST_TEST(held.Of(FlowOf(8)).empty());
  held.Drop(FlowOf(0));
  held.Keep(FlowOf(8), packet);
  BOOST_TEST(held.Of(FlowOf(8)).size() == 1U);
}

}  // namespace
}  // namespace anvildrum::packetd
