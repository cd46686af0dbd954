#pragma once

#include <span>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "relay/state.h"
#include "relay/types/effect.h"

namespace anvildrum::relay {

/// A message of this instance with no body yet.
auto NewMessage(const State& state) -> wire::pb::RelayMessage;

auto OnSubscribe(State& state, base::InstanceId sender, const wire::pb::Subscribe& subscribe,
                 base::TimePoint now, Effects& effects) -> void;

auto OnUnsubscribe(State& state, base::InstanceId sender) -> void;

/// Sends what was just accepted to the children that take it, except to the one it came from.
auto PassOn(State& state, std::span<const PlatformObject> accepted, base::InstanceId from,
            base::TimePoint now, Effects& effects) -> void;

/// How often the children hear of this instance from now on: seldom where they are many, and never
/// more often than it hears of its own parent.
auto PeriodForChildren(const State& state) -> base::Duration;

/// `hops`: from the root that started it to the children.
auto SendHeartbeats(State& state, std::uint32_t hops, base::TimePoint now, Effects& effects)
    -> void;

/// At a graceful stop: children go elsewhere at once instead of after a timeout.
auto DismissChildren(State& state, Effects& effects) -> void;

auto DropSilentChildren(State& state, base::TimePoint now) -> void;

}  // namespace anvildrum::relay
