#pragma once

#include <compare>
#include <cstdint>
#include <string_view>

#include "packets/types/packet.h"

namespace anvildrum::packets {

/// A failure domain as it travels: a digest of its name; 0: not known. Two domains with the same
/// digest are taken for one, which costs bytes between them and nothing else.
using DomainTag = std::uint16_t;

/// Digest of a failure domain's name, never 0.
auto DomainTagOf(std::string_view name) -> DomainTag;

/// An agent and the failure domain that it runs in.
struct Place {
  Address agent = 0;
  DomainTag domain = 0;
  auto operator<=>(const Place&) const = default;  // NOLINT(modernize-use-nullptr): false positive
};

}  // namespace anvildrum::packets
