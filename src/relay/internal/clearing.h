#pragma once

#include "base/types/time.h"
#include "relay/state.h"
#include "relay/types/effect.h"

namespace anvildrum::relay {

auto OnSuspected(State& state, const RecordSuspected& event, base::TimePoint now, Effects& effects)
    -> void;

auto OnAlive(State& state, const RecordAlive& event, base::TimePoint now, Effects& effects) -> void;

/// A report of another balancer.
auto OnSuspicion(State& state, base::InstanceId sender, const wire::pb::Suspicion& suspicion,
                 base::TimePoint now) -> void;

auto OnDeleteFinished(State& state, const DeleteFinished& event) -> void;

/// Repeats this balancer's reports, and deletes what enough others have reported for long enough.
auto TickClearing(State& state, base::TimePoint now, Effects& effects) -> void;

}  // namespace anvildrum::relay
