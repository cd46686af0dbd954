#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "packets/types/packet.h"

namespace anvildrum::packets {

/// A service's part of a route's new flows.
struct Share {
  base::ServiceId service;
  std::uint32_t weight = 1;
};

/// The routes of one version of the configuration: which service serves the flows of an address.
struct Routes {
  std::uint64_t version = 0;  ///< the operator's number; rises with each version
  std::unordered_map<std::uint64_t, std::vector<Share>> shares;  ///< by KeyOf
  /// Openings a second that a cold target of a service bears; services without a number have no
  /// such limit.
  std::unordered_map<base::ServiceId, std::uint32_t> cold_per_second;
  base::Duration idle_limit = base::seconds{15};  ///< a flow idle for longer may be discarded
};

/// The service of a new flow: where several share a route, by weight and the flow's digest, so that
/// each instance chooses the same. Nothing where no route has the flow's address.
auto ServiceOf(const Routes& routes, const FlowId& flow) -> std::optional<base::ServiceId>;

}  // namespace anvildrum::packets
