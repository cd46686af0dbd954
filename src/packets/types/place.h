#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "packets/types/packet.h"

namespace anvildrum::packets {

/// A failure domain as it travels: a digest of its name; 0: not known. Two domains with the same
/// digest are taken for one, so that an operator who drains one of them drains both.
using DomainTag = std::uint32_t;

/// As many as a number of three bytes holds on the wire. Of 26 domains two have the same digest in
/// one of 3,200 fleets.
inline constexpr auto kDomainTagBits = 21U;

/// Digest of a failure domain's name, never 0.
auto DomainTagOf(std::string_view name) -> DomainTag;

/// An agent and the failure domain that it runs in.
struct Place {
  Address agent = 0;
  DomainTag domain = 0;
  auto operator<=>(const Place&) const = default;  // NOLINT(modernize-use-nullptr): false positive
};

}  // namespace anvildrum::packets
