#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <span>
#include <vector>

#include "base/types/time.h"
#include "packets/types/packet.h"

namespace anvildrum::packetd {

/// A packet that an agent holds until a balancer has answered about its route.
struct AwaitingPacket {
  packets::End route;
  packets::Address sender = 0;  ///< instance that sent it
  base::TimePoint since{};
  std::vector<std::uint8_t> datagram;
};

/// The packets that an agent holds, oldest first.
class AwaitingPackets {
 public:
  /// Keeps a copy of the packet, unless kMaxPackets are held. Clients retransmit dropped packets.
  auto Keep(const packets::End& route, packets::Address sender,
            std::span<const std::uint8_t> datagram, base::TimePoint now) -> void;

  /// Removes and returns the packets of the route.
  auto Take(const packets::End& route) -> std::vector<AwaitingPacket>;

  /// Drops packets that were held for packets::kMaxRouteWait. Returns their number.
  auto Expire(base::TimePoint now) -> std::size_t;

  /// The first packet of each route.
  [[nodiscard]] auto FirstOfRoutes() const -> std::vector<const AwaitingPacket*>;

  /// 300 kB at most.
  static constexpr auto kMaxPackets = std::size_t{256};

 private:
  std::deque<AwaitingPacket> held;
};

}  // namespace anvildrum::packetd
