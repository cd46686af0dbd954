#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "packets/types/packet.h"

namespace anvildrum::packetd {

/// Packets that are held while the agent of their flow is searched for: typically some ten
/// milliseconds, at most the time that packets::SearchPolicy allows.
class HeldPackets {
 public:
  using Datagram = std::vector<std::uint8_t>;

  /// Keeps a copy of the packet. Only the last kMaxPacketsPerFlow packets of a flow and kMaxBytes
  /// in total are held; clients retransmit dropped packets.
  auto Keep(const packets::FlowId& flow, std::span<const std::uint8_t> datagram) -> void;

  /// The flow's packets, oldest first.
  [[nodiscard]] auto Of(const packets::FlowId& flow) const -> std::span<const Datagram>;

  auto Drop(const packets::FlowId& flow) -> void;

  /// Room for a request of 900 bytes, the packets before it, and one retransmission.
  static constexpr auto kMaxPacketsPerFlow = std::size_t{4};
  /// A tenth of the memory of the smallest balancer.
  static constexpr auto kMaxBytes = std::size_t{8'000'000};

 private:
  std::unordered_map<packets::FlowId, std::vector<Datagram>> flows;
  std::size_t bytes = 0;
};

}  // namespace anvildrum::packetd
