#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <unordered_map>
#include <vector>

#include "packets/types/packet.h"

namespace anvildrum::packetd {

/// Packets that wait until it is known where their flow is: some ten milliseconds, no longer than
/// packets::SearchPolicy allows.
class HeldPackets {
 public:
  using Datagram = std::vector<std::uint8_t>;

  /// Keeps a copy of the packet. Of a flow the last kMaxPacketsPerFlow stay, and nothing beyond
  /// kMaxBytes of all: their clients repeat what is dropped.
  auto Keep(const packets::FlowId& flow, std::span<const std::uint8_t> datagram) -> void;

  /// The flow's packets, oldest first.
  [[nodiscard]] auto Of(const packets::FlowId& flow) const -> std::span<const Datagram>;

  auto Drop(const packets::FlowId& flow) -> void;

  /// A request of 900 bytes, what goes before it, and a repetition.
  static constexpr auto kMaxPacketsPerFlow = std::size_t{4};
  /// A tenth of what the smallest balancer has.
  static constexpr auto kMaxBytes = std::size_t{8'000'000};

 private:
  std::unordered_map<packets::FlowId, std::vector<Datagram>> flows;
  std::size_t bytes = 0;
};

}  // namespace anvildrum::packetd
