#pragma once

#include "base/types/ids.h"
#include "packets/types/packet.h"

namespace anvildrum::packets {

/// An agent's question to a balancer: may the agent's service receive packets of the route?
struct RouteQuery {
  base::ServiceId service;  ///< of the agent
  End route;
  auto operator==(const RouteQuery&) const -> bool = default;
};

/// A balancer's answer, by the configuration that it has in force.
struct RouteAnswer {
  base::ServiceId service;
  End route;
  bool openings = false;  ///< the service receives new flows of the route
  bool packets = false;   ///< it may hold flows of the route, as its present or a former service
  auto operator==(const RouteAnswer&) const -> bool = default;
};

}  // namespace anvildrum::packets
