#pragma once

#include "base/types/time.h"
#include "relay/state.h"
#include "relay/types/effect.h"

namespace anvildrum::relay {

/// Subscribes to the parents that are wanted now and drops the others.
auto ReconcileParents(State& state, base::TimePoint now, Effects& effects) -> void;

/// Gives up on silent parents and renews what stands.
auto TickParents(State& state, base::TimePoint now, Effects& effects) -> void;

/// After this process was paused: silence in that time says nothing about the parents.
auto ForgiveParents(State& state, base::TimePoint now) -> void;

auto OnUpdate(State& state, const PeerMessage& event, base::TimePoint now, Effects& effects)
    -> void;

auto OnHeartbeat(State& state, const PeerMessage& event, base::TimePoint now, Effects& effects)
    -> void;

/// A parent that stops says so: its children go elsewhere at once.
auto OnDismissed(State& state, const PeerMessage& event, base::TimePoint now, Effects& effects)
    -> void;

/// Tells all parents that no more is wanted.
auto LeaveParents(State& state, Effects& effects) -> void;

}  // namespace anvildrum::relay
