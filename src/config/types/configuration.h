#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/ids.h"

namespace anvildrum::config {

/// How new flows of a service are spread over its targets.
struct SpreadPolicy {
  /// Share by which a target may exceed its weighted mean of flows before new flows go elsewhere:
  /// 0.03 is three per cent.
  double load_margin = 0.03;
  /// Targets in the failure domain of the client's balancer come first.
  bool local_failure_domain_first = false;
  /// Seconds until a target that has just announced itself takes its full share.
  std::uint32_t slow_start_seconds = 10;
};

/// Limits that agents enforce for a service.
struct ServiceLimits {
  std::uint32_t queue_ms = 250;            ///< longest wait in a target's queue
  std::uint32_t client_in_flight = 64;     ///< requests of one client address at one target
  std::uint32_t flow_idle_seconds = 7200;  ///< a flow without packets either way ends after this
};

/// Relative share of a named target; targets not named weigh 1.
struct TargetWeight {
  std::string target;
  double weight = 1.0;
};

struct Service {
  std::string name;
  base::ServiceId id;  ///< derived from the name
  std::vector<base::Endpoint> addresses;
  SpreadPolicy spread;
  ServiceLimits limits;
  std::vector<TargetWeight> weights;
};

/// A patch that was accepted.
struct PatchRecord {
  std::string id;
  std::string author;
  std::string accepted_at;   ///< RFC 3339
  std::uint64_t number = 0;  ///< the one it made
  std::uint64_t digest = 0;  ///< XXH3 of the patch as it was submitted
  std::string difference;    ///< RFC 6902 text of what it changed
};

/// The whole configuration under its number. Instances move to higher numbers only.
struct Configuration {
  std::uint64_t number = 0;
  std::vector<Service> services;
  std::vector<PatchRecord> history;  ///< newest last, bounded
};

}  // namespace anvildrum::config
