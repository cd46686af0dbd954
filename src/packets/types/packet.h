#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <functional>

namespace anvildrum::packets {

/// IPv4 address in host byte order.
using Address = std::uint32_t;

/// One end of a flow: an address and a port.
struct End {
  Address address = 0;
  std::uint16_t port = 0;
  auto operator<=>(const End&) const = default;  // NOLINT(modernize-use-nullptr): false positive
};

/// Packs the end into 48 bits, with the address above the port.
inline auto KeyOf(const End& end) -> std::uint64_t {
  return (std::uint64_t{end.address} << 16U) | end.port;
}

/// The two ends of a flow, independent of the direction of a packet.
struct FlowId {
  End client;
  End service;                                      ///< the route's address and port
  auto operator<=>(const FlowId&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// 64-bit digest of a flow, the same on every instance.
auto HashOf(const FlowId& flow) -> std::uint64_t;

/// Returns a tag of kOriginTagBits that differs between most balancers.
auto OriginTagOf(Address balancer) -> std::uint16_t;

/// Number of bits of a service's id in a stamp. They are equal for one pair of services in 8,192,
/// so that a packet with other bits is for another service, and one with equal bits may be.
inline constexpr auto kServiceTagBits = 13U;
/// Number of bits of a balancer's address in a stamp. A packet for a balancer is sent to every
/// balancer with the same bits: with 100 balancers, to one other in two of 100 cases.
inline constexpr auto kOriginTagBits = 12U;
/// Maximum number of agents that can pass an opening on.
inline constexpr auto kMaxHops = std::uint8_t{63};

/// Data that balancers and agents write into a packet for the next agent. A target returns the
/// stamp unchanged with a packet that it does not accept.
struct Stamp {
  std::uint8_t hops = 0;  ///< agents that have passed the opening on, at most kMaxHops
  /// For an opening: whether a reset is a correct answer if no agent accepts it, since it was
  /// offered nowhere else. For another packet: its balancer has kept a copy, so the packet need not
  /// be sent back.
  bool refusable = false;
  std::uint16_t origin = 0;       ///< OriginTagOf the balancer that sent it
  std::uint16_t service_tag = 0;  ///< low kServiceTagBits of the service's id
  auto operator==(const Stamp&) const -> bool = default;
};

/// The header fields of one packet of a flow. The payload is not inspected.
struct Packet {
  End source{};
  End destination{};
  bool synchronize = false;
  bool acknowledge = false;
  bool finish = false;
  bool reset = false;
  bool returned = false;  ///< a target did not accept the packet and returned it
  std::uint32_t sequence = 0;
  std::uint32_t acknowledged = 0;  ///< in a client's opening: the number of copies sent before
  std::uint16_t payload = 0;       ///< bytes
  Stamp stamp{};
};

/// Whether the packet asks a target to open a flow.
inline auto IsOpening(const Packet& packet) -> bool {
  return packet.synchronize && !packet.acknowledge;
}

/// Returns the flow of a packet that a client sent, which includes a returned packet.
inline auto FlowFromClient(const Packet& packet) -> FlowId {
  return {packet.source, packet.destination};
}

/// Returns the flow of a packet that a target sent.
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
