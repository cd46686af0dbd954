#pragma once

#include <string>
#include <string_view>

#include "daemon/internal/runtime.h"
#include "membership/types/records.h"
#include "relay/types/event.h"
#include "relay/types/settings.h"

namespace anvildrum::daemon {

/// Records of the platform that don't parse, by what they should have been.
struct RecordRefusals {
  std::uint64_t configurations = 0;
  std::uint64_t targets = 0;
  std::uint64_t balancers = 0;
};

/// Counts by the key; keys of other kinds are nobody's.
auto CountRefused(RecordRefusals& refusals, std::string_view key) -> void;

/// Last part of a key: the name of the target or balancer.
auto NameOfKey(std::string_view key) -> std::string_view;

auto ToRelayPeer(const membership::BalancerRecord& record) -> relay::RelayPeer;

/// What the relay has to know of this instance. `control` has port 0 for an agent.
auto MakeRelaySettings(const Runtime& runtime, const base::Endpoint& control,
                       base::ServiceId service) -> relay::RelaySettings;

/// Incarnation that the text of an announcement names; 0 when it names none.
auto IncarnationOfTarget(std::string_view key, const std::string& text) -> base::Incarnation;
auto IncarnationOfBalancer(std::string_view key, const std::string& text) -> base::Incarnation;

}  // namespace anvildrum::daemon
