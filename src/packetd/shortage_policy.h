#pragma once

#include <string_view>

#include "admission/policy.h"
#include "packetd/types/settings.h"

namespace anvildrum::packetd {

/// The policy that the settings state. If `platform_contracts` lists `contract`, the four switches
/// are on by default, otherwise off. A key of `shortage` takes precedence over either default. An
/// empty `contract` is in no list.
auto ShortagePolicyOf(const Settings& settings, std::string_view contract) -> admission::Policy;

}  // namespace anvildrum::packetd
