#pragma once

#include <cstdint>
#include <string>

#include "base/types/endpoint.h"
#include "base/types/ids.h"

namespace anvildrum::membership {

/// What an agent announces for the target beside it: one object at the platform, key
/// "targets/SERVICE/NAME", written once for each incarnation and deleted at the end of a drain.
struct TargetRecord {
  std::string name;
  base::TargetId id;
  std::string service_name;
  base::ServiceId service;
  base::InstanceId instance;  ///< the agent process
  base::Incarnation incarnation = 0;
  base::Endpoint tunnel;  ///< where the agent takes datagrams of the tunnel
  base::Endpoint operator_port;
  std::string failure_domain;
  std::uint32_t slots = 0;        ///< requests the target runs at once
  std::uint32_t connections = 0;  ///< flows the target holds at most
  bool draining = false;
  std::uint64_t revision = 0;  ///< the platform's; fences every later write about this record
};

/// What a balancer announces: key "balancers/NAME".
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
