#include "packets/routes.h"

#include <numeric>

namespace anvildrum::packets {

auto ServiceOf(const Routes& routes, const FlowId& flow) -> std::optional<base::ServiceId> {
  const auto route = routes.shares.find(KeyOf(flow.service));
  if (route == routes.shares.end()) return std::nullopt;
  const auto& shares = route->second;
  const auto add = [](std::uint64_t sum, const Share& share) { return sum + share.weight; };
  const auto total = std::accumulate(shares.begin(), shares.end(), std::uint64_t{0}, add);
  if (total == 0) return std::nullopt;
  auto point = HashOf(flow) % total;
  for (const auto& share : shares) {
    if (point < share.weight) return share.service;
    point -= share.weight;
  }
  return std::nullopt;
}

}  // namespace anvildrum::packets
