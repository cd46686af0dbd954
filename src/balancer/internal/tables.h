#pragma once

#include "balancer/balancer.h"

namespace anvildrum::balancer {

/// Makes the routes' targets and candidates anew from the view.
auto UpdateTargets(Balancer& state) -> void;

/// Makes addresses and routes anew from the configuration.
auto UpdateServices(Balancer& state, const config::Configuration& configuration) -> void;

/// Null when the target or its incarnation isn't in the service.
auto FindTarget(const ServiceRoute& route, const steering::FlowHint& hint)
    -> const ServiceRoute::Target*;

auto FindRoute(const Balancer& state, base::ServiceId service) -> const ServiceRoute*;

/// Whether there is something to route to.
auto HasTargets(const Balancer& state) -> bool;

}  // namespace anvildrum::balancer
