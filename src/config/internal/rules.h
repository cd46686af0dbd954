#pragma once

#include <optional>
#include <span>

#include "config/types/configuration.h"
#include "config/types/configuration_error.h"
#include "config/types/patch.h"

namespace anvildrum::config {

/// Checks that every service has an address, and that each address is usable and belongs to one
/// service.
auto CheckAddresses(const Configuration& configuration) -> std::optional<ConfigurationError>;

/// Checks that no address moves from one service to another. Safeguard: instances receive a change
/// at different times, so for seconds a moved address belongs to one service on some instances and
/// to another on the rest, and clients that still use it for the old service would reach the new
/// one. An operator who has moved the clients first sets a flag in the patch. Two patches, first
/// one with a removal, have the same effect without the flag.
auto CheckMoves(const Configuration& before, const Configuration& after)
    -> std::optional<ConfigurationError>;

/// Checks that every service that could place a new flow still can, and that no service with
/// targets is removed.
auto CheckPlacement(const Configuration& before, const Configuration& after,
                    std::span<const KnownTarget> targets) -> std::optional<ConfigurationError>;

}  // namespace anvildrum::config
