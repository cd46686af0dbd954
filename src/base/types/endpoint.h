#pragma once

#include <array>
#include <compare>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include "base/result.h"

namespace anvildrum::base {

enum class EndpointErrorCode { kNotAnIpAddress, kMissingPort, kPortOutOfRange };

struct EndpointError {
  EndpointErrorCode code = EndpointErrorCode::kNotAnIpAddress;
  std::string text;  ///< the text that was refused
};

/// An IP address and UDP or TCP port. IPv4 is kept in its IPv4-mapped form (RFC 4291, 2.5.5.2).
struct Endpoint {
  std::array<std::uint8_t, 16> address{};
  std::uint16_t port = 0;                             ///< host byte order
  auto operator<=>(const Endpoint&) const = default;  // NOLINT(modernize-use-nullptr)
};

/// Reads "192.0.2.1:5683" or "[2001:db8::1]:5683". Host names are refused: instances talk by IP
/// numbers. Errors: EndpointError.
auto ParseEndpoint(std::string_view text) -> Result<Endpoint>;

auto FormatEndpoint(const Endpoint& endpoint) -> std::string;

/// An IPv4 endpoint from its number in host byte order.
auto EndpointFromV4(std::uint32_t address, std::uint16_t port) -> Endpoint;

/// The number of an IPv4 endpoint's address in host byte order.
auto V4Number(const Endpoint& endpoint) -> std::uint32_t;

/// Whether the address is IPv4.
auto IsV4(const Endpoint& endpoint) -> bool;

}  // namespace anvildrum::base

template <>
struct std::hash<anvildrum::base::Endpoint> {
  auto operator()(const anvildrum::base::Endpoint& endpoint) const noexcept -> std::size_t;
};
