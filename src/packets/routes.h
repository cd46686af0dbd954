#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "admission/types/request_class.h"
#include "base/types/ids.h"
#include "base/types/time.h"
#include "packets/types/packet.h"

namespace anvildrum::packets {

/// The share of a route's new flows that a service receives.
struct Share {
  base::ServiceId service;
  std::uint32_t weight = 1;
};

/// The routes of one configuration version: which services serve the flows of an address.
struct Routes {
  std::uint64_t version = 0;  ///< set by the operator; increases with each version
  std::unordered_map<std::uint64_t, std::vector<Share>> shares;  ///< by KeyOf
  /// Openings per second that a cold target of a service can take; a service without an entry has
  /// no such limit.
  std::unordered_map<base::ServiceId, std::uint32_t> cold_per_second;
  /// What the configuration states about the requests of each route, by KeyOf.
  std::unordered_map<std::uint64_t, admission::RequestClass> classes;
  base::Duration idle_limit = base::seconds{15};  ///< a flow idle for longer may be discarded
};

/// Services of routes, by KeyOf.
using RouteServices = std::map<std::uint64_t, std::vector<base::ServiceId>>;

/// Returns the service for a new flow, or nothing if no route has the flow's address. If several
/// services share the route, the weights and the flow's digest decide, so that all instances
/// choose the same service.
auto ServiceOf(const Routes& routes, const FlowId& flow) -> std::optional<base::ServiceId>;

}  // namespace anvildrum::packets
