#pragma once

#include "balancer/balancer.h"

namespace anvildrum::balancer {

/// Rebuilds the routes' targets and candidates from the view.
auto UpdateTargets(Balancer& state) -> void;

/// Rebuilds addresses and routes from the configuration.
auto UpdateServices(Balancer& state, const config::Configuration& configuration) -> void;

/// Returns null if the service does not have this incarnation of the target.
auto FindTarget(const ServiceRoute& route, const steering::FlowHint& hint)
    -> const ServiceRoute::Target*;

auto FindRoute(const Balancer& state, base::ServiceId service) -> const ServiceRoute*;

/// Whether there is a target to route to.
auto HasTargets(const Balancer& state) -> bool;

}  // namespace anvildrum::balancer
