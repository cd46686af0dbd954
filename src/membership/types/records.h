#pragma once

#include <cstdint>
#include <string>

#include "base/types/endpoint.h"
#include "base/types/ids.h"

namespace anvildrum::membership {

/// The target that an agent announces: one object at the platform, key "targets/SERVICE/NAME",
/// written once for each incarnation and deleted at the end of a drain.
struct TargetRecord {
  std::string name;
  base::TargetId id;
  std::string service_name;
  base::ServiceId service;
  base::InstanceId instance;  ///< the agent process
  base::Incarnation incarnation = 0;
  base::Endpoint tunnel;  ///< where the agent receives tunnel datagrams
  base::Endpoint operator_port;
  std::string failure_domain;
  std::uint32_t slots = 0;        ///< requests the target runs at once
  std::uint32_t connections = 0;  ///< maximum number of flows of the target
  bool draining = false;
  std::uint64_t revision = 0;  ///< set by the platform; fences every later write of this record
};

/// The balancer that announces itself, key "balancers/NAME".
struct BalancerRecord {
  std::string name;
  base::InstanceId instance;
  base::Incarnation incarnation = 0;
  base::Endpoint tunnel;
  base::Endpoint control;  ///< ZeroMQ port of the relay
  base::Endpoint operator_port;
  std::string failure_domain;
  std::uint64_t revision = 0;
};

}  // namespace anvildrum::membership
