#pragma once

#include <string>

#include "membership/types/records.h"
#include "membership/view.h"
#include "relay/types/event.h"

namespace anvildrum::scenario {

struct World;

auto ToRelayPeer(const membership::BalancerRecord& record) -> relay::RelayPeer;
/// Takes an object of the platform into a view, as the daemon does.
auto ApplyObject(const relay::PlatformObject& object, membership::View& view, base::TimePoint now)
    -> void;
/// Start number of a process that starts now: its machine's wall clock, see `clock`.
auto IncarnationAt(const World& world, const std::string& process) -> base::Incarnation;

}  // namespace anvildrum::scenario
