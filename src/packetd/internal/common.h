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

/// Largest datagram of a flow: header and payload, with room to spare.
inline constexpr auto kMaxDatagram = std::size_t{1500};

/// Between two sweeps of tables for what has been quiet.
inline constexpr auto kSweepPeriod = base::seconds{1};

/// Socket buffers of a port for packets, in bytes: half a second of a port's largest share at 1,500
/// bytes a packet.
inline constexpr auto kPacketBuffer = 1024 * 1024;

/// A client of the platform with this process's share of its calls.
auto MakeClient(boost::asio::io_context& io, const Settings& settings,
                const platform::Dialect& dialect) -> platform::Client;

/// Differs between instances and between their starts.
auto StartSeed(const Settings& settings) -> std::uint64_t;

/// The control port's endpoint at an instance.
auto ControlEndpoint(const Settings& settings, packets::Address instance) -> base::Endpoint;

/// Sends a packet on to an agent, with this stamp.
auto ForwardPacket(net::UdpPort& port, const Adapter& adapter, const base::Endpoint& to,
                   std::span<const std::uint8_t> datagram, const packets::Stamp& stamp) -> void;

auto PacketPortOptions(const base::Endpoint& local) -> net::UdpPortOptions;

}  // namespace anvildrum::packetd
