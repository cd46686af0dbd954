#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "packets/types/packet.h"

namespace anvildrum::packets {

/// A failure domain as sent in messages: a digest of its name, or 0 if unknown. Two domains with
/// the same digest count as one, so that an operator who drains one of them drains both.
using DomainTag = std::uint32_t;

/// Number of bits of a DomainTag, as many as a three-byte number holds on the wire. With 26
/// domains, two of them have the same digest in one of 3,200 fleets.
inline constexpr auto kDomainTagBits = 21U;

/// Returns the digest of a failure domain's name, never 0.
auto DomainTagOf(std::string_view name) -> DomainTag;

/// An agent and the failure domain that it runs in.
struct Place {
  Address agent = 0;
  DomainTag domain = 0;
  auto operator<=>(const Place&) const = default;  // NOLINT(modernize-use-nullptr): false positive
};

}  // namespace anvildrum::packets
