#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace anvildrum::packets {

/// IPv4 address in host byte order.
using Address = std::uint32_t;

/// One end of a flow.
struct End {
  Address address = 0;
  std::uint16_t port = 0;
  auto operator<=>(const End&) const = default;  // NOLINT(modernize-use-nullptr): false positive
};

/// The end as a number of 48 bits, its address above its port.
inline auto KeyOf(const End& end) -> std::uint64_t {
  return (std::uint64_t{end.address} << 16U) | end.port;
}

/// The two ends of a flow, whichever of them sent the packet at hand.
struct FlowId {
  End client;
  End service;                                      ///< the route's address and port
  auto operator<=>(const FlowId&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// 64-bit digest of a flow, the same on every instance.
auto HashOf(const FlowId& flow) -> std::uint64_t;

/// kOriginTagBits that differ between most balancers.
auto OriginTagOf(Address balancer) -> std::uint16_t;

/// Bits of a service's id that fit into a stamp: of 8,192 packets that come to an address that
/// another service uses now, one would not be recognized by them.
inline constexpr auto kServiceTagBits = 13U;
/// Bits of a balancer's address: what is meant for one is sent to each that has the same ones, of
/// 100 balancers to one other in two of 100 cases.
inline constexpr auto kOriginTagBits = 12U;
/// Largest number of agents that can pass an opening on.
inline constexpr auto kMaxHops = std::uint8_t{63};

/// What balancers and agents write into a packet for the next agent. A target returns it unchanged
/// with a packet that it does not take.
struct Stamp {
  std::uint8_t hops = 0;  ///< agents that have passed the opening on, at most kMaxHops
  /// Whether a reset is a true answer when nobody takes the opening: it was offered nowhere else.
  /// Of another packet: its balancer keeps it, and need not be sent it back.
  bool refusable = false;
  std::uint16_t origin = 0;       ///< OriginTagOf the balancer that sent it
  std::uint16_t service_tag = 0;  ///< low kServiceTagBits of the service's id
  auto operator==(const Stamp&) const -> bool = default;
};

/// The header of one packet of a flow. The payload stays opaque.
struct Packet {
  End source{};
  End destination{};
  bool synchronize = false;
  bool acknowledge = false;
  bool finish = false;
  bool reset = false;
  bool returned = false;  ///< a target did not take it and gave it back
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;  ///< of a client's opening: how many copies went before it
  std::uint16_t payload = 0;       ///< bytes
  Stamp stamp{};
};

/// Whether it asks a target to open a flow.
inline auto IsOpening(const Packet& packet) -> bool {
  return packet.synchronize && !packet.acknowledge;
}

/// The flow of a packet that a client sent (a returned one too).
inline auto FlowFromClient(const Packet& packet) -> FlowId {
  return {packet.source, packet.destination};
}

/// The flow of a packet that a target sent.
inline auto FlowFromTarget(const Packet& packet) -> FlowId {
  return {packet.destination, packet.source};
}

}  // namespace anvildrum::packets

template <>
struct std::hash<anvildrum::packets::FlowId> {
  auto operator()(const anvildrum::packets::FlowId& flow) const noexcept -> std::size_t {
    return anvildrum::packets::HashOf(flow);
  }
};
