#pragma once

#include "base/types/time.h"
#include "relay/state.h"
#include "relay/types/effect.h"
#include "relay/types/event.h"
#include "relay/types/settings.h"

/// Brings configuration and membership records to every instance: who watches the platform, who
/// tells whom, and what is newer. No input or output; docs/design/relay.md has the reasons.
namespace anvildrum::relay {

/// A state that has seen nothing; the first event is Started.
auto MakeState(RelaySettings settings) -> State;

/// The only door. Never fails: input that is of no use is counted in State::counters.
auto Step(State& state, const Event& event, base::TimePoint now) -> Effects;

}  // namespace anvildrum::relay
