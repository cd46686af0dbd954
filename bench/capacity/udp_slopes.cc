#include <algorithm>
#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <vector>

#include "measure.h"
#include "slopes.h"

namespace anvildrum::capacity {
namespace {

using boost::asio::ip::udp;

constexpr auto kDatagramCounts = std::array{10, 40, 160};
constexpr auto kDatagramSize = 100;

// One thread sends and receives, so the cost of a datagram is that of both ends.
struct Loopback {
  boost::asio::io_context context;
  udp::socket sender{context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
  udp::socket receiver{context, udp::endpoint(boost::asio::ip::address_v4::loopback(), 0)};
};

auto Exchange(Loopback& loopback, int count) -> void {
  auto bytes = std::array<std::uint8_t, kDatagramSize>{};
  auto target = loopback.receiver.local_endpoint();
  for (auto i = 0; i < count; ++i) loopback.sender.send_to(boost::asio::buffer(bytes), target);
  auto from = udp::endpoint{};
  for (auto i = 0; i < count; ++i) loopback.receiver.receive_from(boost::asio::buffer(bytes), from);
}

}  // namespace

auto MeasureUdp() -> std::vector<Slope> {
  auto slope = Slope{"udp_ns", "ns", "datagram sent and received", {}};
  auto loopback = Loopback{};
  for (auto count : kDatagramCounts) {
    auto cost = NanosecondsPerCall([&] { Exchange(loopback, count); });
    slope.points.push_back({static_cast<double>(count), cost});
  }
  return {slope};
}

}  // namespace anvildrum::capacity
