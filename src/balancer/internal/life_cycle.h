#pragma once

#include "balancer/balancer.h"

namespace anvildrum::balancer {

enum class LifeEvent : std::uint8_t { kConfigured, kStop, kWithdrawn };

/// Returns the phase after the event. Hides the state machine, which only life_cycle.cc includes.
auto NextPhase(Phase phase, LifeEvent event) -> Phase;

}  // namespace anvildrum::balancer
