#include "tools/fabric_standin/fabric.h"

#include <boost/test/unit_test.hpp>
#include <unordered_map>

namespace anvildrum::fabric {
namespace {

constexpr auto kPackets = 1000;
const auto kClient = base::EndpointFromV4(0x7f000001, 9);
const auto kStranger = base::EndpointFromV4(0x7f000001, 8);

auto AddressOf(int balancer) -> base::Endpoint {
  return base::EndpointFromV4(0x7f000001, static_cast<std::uint16_t>(4000 + balancer));
}

auto ThreeBalancers() -> Fabric {
  auto fabric = Fabric{};
  fabric.random.seed(7);
  for (auto i = 1; i <= 3; ++i) {
    fabric.balancers.push_back({"b" + std::to_string(i), {{"desk", AddressOf(i)}}});
  }
  return fabric;
}

auto SprayMany(Fabric& fabric) -> std::unordered_map<base::Endpoint, int> {
  auto received = std::unordered_map<base::Endpoint, int>{};
  for (auto i = 0; i < kPackets; ++i) {
    for (const auto& delivery : SprayToBalancers(fabric, "desk")) ++received[delivery.to];
  }
  return received;
}

BOOST_AUTO_TEST_CASE(spray_reaches_every_balancer_alike) {
  auto fabric = ThreeBalancers();
  auto received = SprayMany(fabric);
  BOOST_TEST(received.size() == 3U);
  for (const auto& [address, count] : received) BOOST_TEST(count > kPackets / 4);
}

BOOST_AUTO_TEST_CASE(same_seed_makes_the_same_choices) {
  auto first = ThreeBalancers();
  auto second = ThreeBalancers();
  for (auto i = 0; i < kPackets; ++i) {
    BOOST_TEST((SprayToBalancers(first, "desk")[0].to == SprayToBalancers(second, "desk")[0].to));
  }
}

// A balancer that the fabric has let go of gets no packet, but what it still sends reaches the
// client: that is how a balancer leaves without cutting answers that are under way.
BOOST_AUTO_TEST_CASE(removed_balancer_is_not_sprayed_and_its_replies_pass) {
  auto fabric = ThreeBalancers();
  FindBalancer(fabric, "b1")->sprayed = false;
  BOOST_TEST(!SprayMany(fabric).contains(AddressOf(1)));
  BOOST_TEST(ReturnToClient(fabric, AddressOf(1), kClient).size() == 1U);
}

// Clients lose the share of packets that goes to the cut balancer; the fabric doesn't know of it.
BOOST_AUTO_TEST_CASE(cut_balancer_is_sprayed_in_vain_and_its_replies_are_lost) {
  auto fabric = ThreeBalancers();
  FindBalancer(fabric, "b1")->cut = true;
  auto received = SprayMany(fabric);
  BOOST_TEST(!received.contains(AddressOf(1)));
  BOOST_TEST(fabric.counts.cut > 0U);
  BOOST_TEST(received[AddressOf(2)] + received[AddressOf(3)] + fabric.counts.cut == kPackets);
  BOOST_TEST(ReturnToClient(fabric, AddressOf(1), kClient).empty());
  BOOST_TEST(ReturnToClient(fabric, AddressOf(2), kClient).size() == 1U);
}

BOOST_AUTO_TEST_CASE(service_without_a_balancer_is_counted) {
  auto fabric = ThreeBalancers();
  BOOST_TEST(SprayToBalancers(fabric, "mapper").empty());
  BOOST_TEST(fabric.counts.no_balancer == 1U);
}

BOOST_AUTO_TEST_CASE(reply_of_a_stranger_passes_and_is_counted) {
  auto fabric = ThreeBalancers();
  auto deliveries = ReturnToClient(fabric, kStranger, kClient);
  BOOST_REQUIRE(deliveries.size() == 1U);
  BOOST_CHECK(deliveries[0].to == kClient);
  BOOST_TEST(fabric.counts.unknown_sender == 1U);
}

BOOST_AUTO_TEST_CASE(dropped_and_duplicated_packets_add_up) {
  auto fabric = ThreeBalancers();
  fabric.faults.drop_percent = 20;
  fabric.faults.duplicate_percent = 30;
  auto delivered = 0;
  for (const auto& [address, count] : SprayMany(fabric)) delivered += count;
  const auto& counts = fabric.counts;
  BOOST_TEST(counts.dropped > kPackets / 10U);
  BOOST_TEST(counts.duplicated > kPackets / 10U);
  BOOST_TEST(delivered == kPackets - counts.dropped + counts.duplicated);
}

BOOST_AUTO_TEST_CASE(every_packet_is_dropped_at_a_hundred_percent) {
  auto fabric = ThreeBalancers();
  fabric.faults.drop_percent = 100;
  BOOST_TEST(SprayMany(fabric).empty());
  BOOST_TEST(ReturnToClient(fabric, AddressOf(1), kClient).empty());
}

BOOST_AUTO_TEST_CASE(delays_add_up_and_reordered_packets_wait_longer) {
  auto fabric = ThreeBalancers();
  fabric.faults.client_delay = base::milliseconds(3);
  fabric.faults.balancer_delay = base::milliseconds(1);
  fabric.faults.reorder_delay = base::milliseconds(20);
  auto usual = SprayToBalancers(fabric, "desk");
  BOOST_CHECK(usual[0].delay == base::milliseconds(4));
  fabric.faults.reorder_percent = 100;
  auto late = ReturnToClient(fabric, AddressOf(1), kClient);
  BOOST_CHECK(late[0].delay == base::milliseconds(24));
}

}  // namespace
}  // namespace anvildrum::fabric
