#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "packets/types/place.h"

/// Failure domains that an operator has drained: their targets keep the flows that they hold and
/// are given no opening, until the operator takes the domain back.
namespace anvildrum::packets {

/// Which domains are drained. Every process keeps it and tells it on whole: it is some bytes long,
/// and an instance that starts while the platform is away learns it from any other.
struct DrainedDomains {
  std::uint64_t revision = 0;      ///< the platform's, as of which it holds; 0: not known
  std::vector<DomainTag> domains;  ///< in rising order, each once
  auto operator==(const DrainedDomains&) const -> bool = default;
};

/// Domains in one message; what is beyond them is not told on, and balancers go by what they have
/// read themselves.
inline constexpr auto kMaxDrained = std::size_t{64};

/// Domains by their names, in the order that DrainedDomains keeps.
auto DrainedOf(std::uint64_t revision, std::vector<DomainTag> domains) -> DrainedDomains;

auto IsDrained(const DrainedDomains& drained, DomainTag domain) -> bool;

/// Takes what was read or told, where it is newer. True where other domains are drained than
/// before.
///
/// Safeguard: instances tell each other what they know, and what was told may be old. By its
/// revision an older set never comes back over a newer one, so that a domain that was taken back
/// is not emptied again, nor one that was drained again given openings.
auto TakeDrained(DrainedDomains& known, const DrainedDomains& told) -> bool;

}  // namespace anvildrum::packets
