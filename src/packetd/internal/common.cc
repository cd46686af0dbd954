#include "packetd/internal/common.h"

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <vector>

#include "base/types/ids.h"

namespace anvildrum::packetd {
namespace {

// A call is repeated on a new connection when no data of its answer has arrived for this long. A
// connection may stop working without a reset, and a configuration has to take effect within three
// seconds after its acceptance. An answer begins after some milliseconds, or after up to 300 ms
// while the platform is slow.
constexpr auto kCallTimeout = base::milliseconds{1000};

}  // namespace

auto MakeClient(boost::asio::io_context& io, const Settings& settings,
                const platform::Dialect& dialect) -> platform::Client {
  return platform::ClientBuilder{}
      .WithEndpoint(settings.platform)
      .WithCallTimeout(kCallTimeout)
      .WithDialect(dialect)
      .Build(io);
}

auto StartSeed(const Settings& settings) -> std::uint64_t {
  const auto now = std::chrono::system_clock::now().time_since_epoch().count();
  return base::HashName(settings.name) ^ static_cast<std::uint64_t>(now);
}

auto ControlEndpoint(const Settings& settings, packets::Address instance) -> base::Endpoint {
  return base::EndpointFromV4(instance, settings.control_port);
}

auto ForwardPacket(net::UdpPort& port, const Adapter& adapter, const base::Endpoint& to,
                   std::span<const std::uint8_t> datagram, const packets::Stamp& stamp) -> void {
  auto copy = std::vector<std::uint8_t>(datagram.begin(), datagram.end());
  adapter.stamp_packet(copy, stamp);
  port.Send(to, copy);
}

auto PacketPortOptions(const base::Endpoint& local) -> net::UdpPortOptions {
  return {.local = local,
          .max_datagram = kMaxDatagram,
          .receive_buffer = kPacketBuffer,
          .send_buffer = kPacketBuffer};
}

}  // namespace anvildrum::packetd
