#pragma once

#include <cstddef>
#include <cstdint>
#include <vector>

#include "packets/types/place.h"

/// Failure domains that an operator has drained. Their targets keep their flows but receive no
/// openings until the operator returns the domain to service.
namespace anvildrum::packets {

/// The set of drained domains. Every process stores the whole set, which is a few bytes long, and
/// forwards it. An instance that starts during a platform outage learns it from any other instance.
struct DrainedDomains {
  std::uint64_t revision = 0;      ///< platform revision of the set; 0 if unknown
  std::vector<DomainTag> domains;  ///< ascending, without duplicates
  auto operator==(const DrainedDomains&) const -> bool = default;
};

/// Maximum number of domains in one message. Domains beyond it are not forwarded; balancers then
/// rely on the set that they read from the platform.
inline constexpr auto kMaxDrained = std::size_t{64};

/// Makes a set from `domains` in any order; sorts them and removes duplicates.
auto DrainedOf(std::uint64_t revision, std::vector<DomainTag> domains) -> DrainedDomains;

auto IsDrained(const DrainedDomains& drained, DomainTag domain) -> bool;

/// Replaces `known` by `told` if `told` is newer. Returns true if the drained domains changed.
///
/// Safeguard: instances forward sets to each other, and a forwarded set may be outdated. The
/// revision check prevents an older set from replacing a newer one. Otherwise a domain that is back
/// in service would be drained again, or a drained domain would receive openings.
auto TakeDrained(DrainedDomains& known, const DrainedDomains& told) -> bool;

}  // namespace anvildrum::packets
