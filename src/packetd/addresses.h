#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "base/types/endpoint.h"
#include "packets/types/packet.h"

namespace anvildrum::packetd {

/// The IPv4 address of an endpoint as a number.
auto AddressOf(const base::Endpoint& endpoint) -> packets::Address;

/// Formats an address as in "10.1.0.12".
auto FormatAddress(packets::Address address) -> std::string;

/// Formats an address and port as in "10.1.0.12:443".
auto FormatEnd(const packets::End& end) -> std::string;

auto ParseAddress(std::string_view text) -> std::optional<packets::Address>;

}  // namespace anvildrum::packetd
