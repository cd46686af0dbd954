#pragma once

#include <optional>
#include <span>

#include "config/types/configuration.h"
#include "config/types/configuration_error.h"
#include "config/types/patch.h"

namespace anvildrum::config {

/// Every service has an address, each usable and of one service only.
auto CheckAddresses(const Configuration& configuration) -> std::optional<ConfigurationError>;

/// No address goes from one service to another. Safeguard: instances learn of a change at different
/// moments, so for seconds a moved address means one service here and another there, and clients
/// that still use it for the old service would reach the new one. An operator who has moved the
/// clients first says so in the patch; two patches, first a removal, do the same without a flag.
auto CheckMoves(const Configuration& before, const Configuration& after)
    -> std::optional<ConfigurationError>;

/// Every service that could place a new flow still can, and none goes while targets serve it.
auto CheckPlacement(const Configuration& before, const Configuration& after,
                    std::span<const KnownTarget> targets) -> std::optional<ConfigurationError>;

}  // namespace anvildrum::config
