#pragma once

#include "balancer/balancer.h"

namespace anvildrum::balancer {

auto MakeEstablishedFilter(std::size_t bits) -> EstablishedFilter;

/// Adds the flow to the current filter.
auto AddEstablished(EstablishedFilter& filter, const steering::Fingerprint& fingerprint) -> void;

/// Returns true for every flow added in the last one to two periods, and for few others.
auto IsEstablished(const EstablishedFilter& filter, const steering::Fingerprint& fingerprint)
    -> bool;

auto RotateFilter(EstablishedFilter& filter, base::Duration period, base::TimePoint now) -> void;

}  // namespace anvildrum::balancer
