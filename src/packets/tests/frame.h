#pragma once

#include <cstddef>
#include <vector>

#include "packets/drain.h"

/// The largest datagram payload that fits into a frame, for the tests of full messages.
namespace anvildrum::packets {

inline constexpr auto kFrame = std::size_t{1472};  // 1,500 bytes less the headers of IP and UDP

/// The maximum number of drained failure domains, with the longest tags.
inline auto MostDrained() -> std::vector<DomainTag> {
  auto drained = std::vector<DomainTag>{};
  for (auto tag = DomainTag{1}; tag <= kMaxDrained; ++tag) {
    drained.push_back((DomainTag{1} << kDomainTagBits) - tag);
  }
  return drained;
}

}  // namespace anvildrum::packets
