#pragma once

#include <cstddef>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "ctl/fleet.h"
#include "ctl/types/balancer_version.h"

/// Which version of the configuration each balancer of packet flows goes by, from its metrics.
namespace anvildrum::ctl {

/// GET /metrics over HTTP. Errors: CtlError.
auto HttpFetchMetrics() -> FetchStatus;

/// Metrics addresses, IP:PORT, one a line; empty lines and those that begin with # are left out.
/// Errors: CtlError kNotReadable, also for a line that is no address.
auto ReadAddresses(const std::string& file) -> base::Result<std::vector<base::Endpoint>>;

/// Reads metrics in the Prometheus text format; nothing where they are not a balancer's.
auto ReadConfigurationInForce(std::string_view metrics) -> std::optional<ConfigurationInForce>;

/// Asks each balancer, a few at a time; the answers stand in the order of the addresses.
auto AskVersions(std::span<const base::Endpoint> balancers, const FetchStatus& fetch)
    -> std::vector<BalancerVersion>;

/// Those that are unreachable, have no configuration or an older one than another balancer, or have
/// not had theirs confirmed for too long: those without an answer first, then by version, the one
/// that was confirmed longest ago first.
auto LateBalancers(std::span<const BalancerVersion> balancers) -> std::vector<BalancerVersion>;

/// A line for each version that is in force somewhere, newest first, and one for each of the first
/// `most` late balancers.
auto VersionsText(std::span<const BalancerVersion> balancers, std::size_t most) -> std::string;

}  // namespace anvildrum::ctl
