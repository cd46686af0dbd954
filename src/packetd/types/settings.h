#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/time.h"

namespace anvildrum::packetd {

enum class Role : std::uint8_t { kBalancer, kAgent };

/// Settings that only an agent has.
struct AgentSettings {
  base::Endpoint from_target;  ///< local UDP endpoint to which the target sends
  base::Endpoint target;       ///< endpoint at which the target receives packets
  std::string service;
  base::Duration heartbeat_period = base::milliseconds{750};  ///< approximate period of the target
  /// Shortest time after which the target's address may serve another service.
  base::Duration address_reused_after = base::seconds{2};
  auto operator==(const AgentSettings&) const -> bool = default;
};

/// How a target's capacity is shared out under shortage, as far as the settings state it. An absent
/// key takes the default of admission::Policy, or is switched on by a contract of the platform.
struct ShortageSettings {
  std::optional<bool> order_by_priority;
  std::optional<bool> admit_by_completion;
  std::optional<bool> fair_callers;
  std::optional<bool> await_copies;
  std::optional<double> reserved_share;  ///< 0 to 0.5
  auto operator==(const ShortageSettings&) const -> bool = default;
};

/// Settings of a process that carries packet flows. All addresses are IPv4.
struct Settings {
  Role role = Role::kBalancer;
  std::string name;
  std::string failure_domain;
  base::Endpoint packets;             ///< UDP: from clients at a balancer, from peers at an agent
  base::Endpoint readiness;           ///< HTTP: probes of the fabric
  base::Endpoint heartbeats;          ///< HTTP: configuration for peers, heartbeats of the target
  std::uint16_t control_port = 0;     ///< UDP; the same port at every instance
  std::vector<base::Endpoint> seeds;  ///< some balancers, which may no longer exist
  base::Endpoint platform;
  std::optional<base::Endpoint> metrics;    ///< HTTP: counters and latencies for operators
  base::Duration grace = base::seconds{6};  ///< from SIGTERM to SIGKILL
  base::Duration configuration_within = base::seconds{3};  ///< from acceptance to taking effect
  /// Time from the drain of a failure domain to its last new flow; empty where operators do not
  /// drain failure domains.
  std::optional<base::Duration> drains_within;
  std::optional<AgentSettings> agent;
  ShortageSettings shortage;
  std::vector<std::string> platform_contracts;  ///< contracts that the platform has in force
  bool avoid_failing_targets = false;  ///< balancers send fewer openings to targets that fail
  bool place_by_completion = false;    ///< balancers place openings by their expected completion
  auto operator==(const Settings&) const -> bool = default;
};

}  // namespace anvildrum::packetd
