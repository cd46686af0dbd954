#pragma once

#include "base/types/time.h"
#include "relay/state.h"
#include "relay/types/effect.h"

namespace anvildrum::relay {

/// Sets the first poll: peers have a moment to answer before the platform is asked.
auto PlanFirstPoll(State& state, base::TimePoint now) -> void;

/// Starts and stops the watch, ends hung calls, and polls when that is due.
auto TickPlatform(State& state, base::TimePoint now, Effects& effects) -> void;

/// One list of everything, unless one is under way.
auto StartPoll(State& state, base::Duration delay, base::TimePoint now, Effects& effects) -> void;

auto OnObjects(State& state, const PlatformObjects& event, base::TimePoint now, Effects& effects)
    -> void;

auto OnConfigurationRead(State& state, const ConfigurationRead& event, base::TimePoint now,
                         Effects& effects) -> void;

auto OnFailed(State& state, const PlatformFailed& event, base::TimePoint now, Effects& effects)
    -> void;

auto OnAnswerBegun(State& state, const AnswerBegun& event) -> void;

/// At a graceful stop.
auto StopPlatform(State& state, Effects& effects) -> void;

}  // namespace anvildrum::relay
