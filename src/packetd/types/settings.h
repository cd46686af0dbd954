#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/time.h"

namespace anvildrum::packetd {

enum class Role : std::uint8_t { kBalancer, kAgent };

/// Settings of an agent only.
struct AgentSettings {
  base::Endpoint from_target;  ///< where the target sends its packets to
  base::Endpoint target;       ///< where it takes packets
  std::string service;
  base::Duration heartbeat_period = base::milliseconds{750};  ///< of the target, about
  base::Duration address_reused_after = base::seconds{2};  ///< at the earliest, by another service
  auto operator==(const AgentSettings&) const -> bool = default;
};

/// Settings of a process that carries packet flows. All addresses are IPv4.
struct Settings {
  Role role = Role::kBalancer;
  std::string name;
  std::string failure_domain;
  base::Endpoint packets;             ///< UDP: from clients at a balancer, from peers at an agent
  base::Endpoint readiness;           ///< HTTP: probes of the fabric
  base::Endpoint heartbeats;          ///< HTTP: the target's, at an agent
  std::uint16_t control_port = 0;     ///< UDP: the same at every instance
  std::vector<base::Endpoint> seeds;  ///< some balancers, perhaps gone; their ports are not used
  base::Endpoint platform;
  std::optional<base::Endpoint> metrics;    ///< HTTP: counters and latencies for operators
  base::Duration grace = base::seconds{6};  ///< from SIGTERM to SIGKILL
  base::Duration configuration_within = base::seconds{3};  ///< from acceptance to being in force
  /// From an operator's draining a failure domain to the last opening there; nothing where
  /// operators drain none.
  std::optional<base::Duration> drains_within;
  std::optional<AgentSettings> agent;
  auto operator==(const Settings&) const -> bool = default;
};

}  // namespace anvildrum::packetd
