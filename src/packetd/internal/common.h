#pragma once

#include <cstdint>
#include <span>

#include "base/types/time.h"
#include "net/udp_port.h"
#include "packetd/adapter.h"
#include "packetd/settings.h"
#include "packets/types/packet.h"
#include "platform/client.h"

namespace anvildrum::packetd {

/// Largest datagram of a flow, header and payload, with a margin.
inline constexpr auto kMaxDatagram = std::size_t{1500};

/// Period of the removal of idle entries from tables.
inline constexpr auto kSweepPeriod = base::seconds{1};

/// Size of the socket buffers of a packet port, in bytes: holds half a second of the largest load
/// of a port at 1,500 bytes per packet.
inline constexpr auto kPacketBuffer = 1024 * 1024;

/// Creates a client of the platform with this process's call budget.
auto MakeClient(boost::asio::io_context& io, const Settings& settings,
                const platform::Dialect& dialect) -> platform::Client;

/// A seed for random numbers that differs between instances and between their starts.
auto StartSeed(const Settings& settings) -> std::uint64_t;

/// The control port's endpoint at an instance.
auto ControlEndpoint(const Settings& settings, packets::Address instance) -> base::Endpoint;

/// Forwards a copy of the datagram, with this stamp, to an agent.
auto ForwardPacket(net::UdpPort& port, const Adapter& adapter, const base::Endpoint& to,
                   std::span<const std::uint8_t> datagram, const packets::Stamp& stamp) -> void;

auto PacketPortOptions(const base::Endpoint& local) -> net::UdpPortOptions;

}  // namespace anvildrum::packetd
