#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types/endpoint.h"

namespace anvildrum::ctl {

/// An instance as announced at the platform, or only an address where --operator names it.
struct Instance {
  std::string role;  ///< "balancer", "agent" or empty
  std::string name;  ///< for an agent, its target's
  std::string service;
  std::string failure_domain;
  base::Endpoint operator_port;
  bool draining = false;  ///< as announced
};

/// What an instance says at GET /status. Fields that it leaves out stay empty.
struct InstanceStatus {
  std::optional<std::uint64_t> number;  ///< in force there
  std::optional<std::uint64_t> flows;
  std::optional<bool> draining;
  std::string raw;  ///< the whole answer, JSON
};

struct InstanceReport {
  Instance instance;
  std::optional<InstanceStatus> status;  ///< empty: unreachable
};

}  // namespace anvildrum::ctl
