#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <unordered_map>
#include <vector>

#include "admission/types/request_class.h"
#include "base/types/ids.h"
#include "base/types/time.h"
#include "packets/routes.h"
#include "packets/types/packet.h"
#include "packets/types/route_classes.h"

/// The classes of a service's routes. Agents read no configuration, so balancers send the classes
/// to the agents of the service. A hello carries only the digest of the set, and an agent that
/// holds no set with that digest requests it in its report (TargetReport::wanted_classes).
namespace anvildrum::packets {

/// The classes of one service's routes, in parts that are ready to be sent.
struct ServiceClasses {
  std::uint32_t digest = 0;             ///< of all parts, never 0
  std::vector<RouteClassesPart> parts;  ///< at least one
};

/// The classes of the routes of every service.
using ClassesByService = std::unordered_map<base::ServiceId, ServiceClasses>;

/// Returns the known classes of the routes on which each service has a positive weight. Routes that
/// exceed kMaxClassParts parts are left out, those of the least urgent priority first.
auto MakeServiceClasses(const Routes& routes) -> ClassesByService;

/// Digest of the groups; never 0. It depends on their order and on that of their routes, and is the
/// same in every build, since balancers and agents of different builds compare it.
auto DigestOf(std::span<const RouteGroup> groups) -> std::uint32_t;

/// Digest of a set without routes. Such a set is known without a request.
auto DigestOfNoClasses() -> std::uint32_t;

/// The set of classes that an agent has requested and not received completely.
struct WantedClasses {
  std::uint32_t digest = 0;
  std::uint64_t version = 0;    ///< highest version announced with the digest
  Address balancer = 0;         ///< the balancer to ask
  bool asked = false;           ///< a report to the balancer has carried the request
  base::TimePoint repeat_at{};  ///< when the next balancer may be asked
  std::vector<std::optional<std::vector<RouteGroup>>> parts{};  ///< received so far, by index
};

/// The classes of the routes of an agent's service, as far as balancers have sent them.
struct KnownClasses {
  std::unordered_map<std::uint64_t, admission::RequestClass> classes;  ///< by KeyOf(route)
  std::uint64_t version = 0;  ///< of the configuration that states them; 0: none
  std::uint32_t digest = 0;   ///< of the set; 0: none
  std::optional<WantedClasses> wanted;
};

}  // namespace anvildrum::packets
