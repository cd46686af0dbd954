#include "packets/drain.h"

#include <algorithm>
#include <utility>

namespace anvildrum::packets {

auto DrainedOf(std::uint64_t revision, std::vector<DomainTag> domains) -> DrainedDomains {
  std::sort(domains.begin(), domains.end());
  domains.erase(std::unique(domains.begin(), domains.end()), domains.end());
  return {revision, std::move(domains)};
}

auto IsDrained(const DrainedDomains& drained, DomainTag domain) -> bool {
  return std::binary_search(drained.domains.begin(), drained.domains.end(), domain);
}

auto TakeDrained(DrainedDomains& known, const DrainedDomains& told) -> bool {
  if (told.revision <= known.revision) return false;
  const auto changed = told.domains != known.domains;
  known = told;
  return changed;
}

}  // namespace anvildrum::packets
