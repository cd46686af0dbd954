#pragma once

#include "balancer/balancer.h"

namespace anvildrum::balancer {

auto MakeEstablishedFilter(std::size_t bits) -> EstablishedFilter;

/// Takes the flow in; renews the older filter when its period is over.
auto AddEstablished(EstablishedFilter& filter, const steering::Fingerprint& fingerprint) -> void;

/// True for every flow noted in the last one to two periods, and for few others.
auto IsEstablished(const EstablishedFilter& filter, const steering::Fingerprint& fingerprint)
    -> bool;

auto RotateFilter(EstablishedFilter& filter, base::Duration period, base::TimePoint now) -> void;

}  // namespace anvildrum::balancer
