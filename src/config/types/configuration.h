#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/ids.h"

namespace anvildrum::config {

/// Distribution of a service's new flows over its targets.
struct SpreadPolicy {
  /// Share by which a target may exceed its weighted mean of flows before new flows go elsewhere:
  /// 0.03 is three per cent.
  double load_margin = 0.03;
  /// Prefers targets in the failure domain of the client's balancer.
  bool local_failure_domain_first = false;
  /// Seconds until a newly announced target gets its full share.
  std::uint32_t slow_start_seconds = 10;
};

/// Limits that agents enforce for a service.
struct ServiceLimits {
  std::uint32_t queue_ms = 250;         ///< maximum wait in a target's queue
  std::uint32_t client_in_flight = 64;  ///< requests of one client address at one target
  std::uint32_t flow_idle_seconds =
      7200;  ///< a flow without packets in either direction ends after this
};

/// Relative share of a named target. Other targets have a weight of 1.
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

/// An accepted patch.
struct PatchRecord {
  std::string id;
  std::string author;
  std::string accepted_at;   ///< RFC 3339
  std::uint64_t number = 0;  ///< of the configuration that it made
  std::uint64_t digest = 0;  ///< XXH3 of the patch as submitted
  std::string difference;    ///< RFC 6902 text of the changes
};

/// The whole configuration with its number. Instances only move to higher numbers.
struct Configuration {
  std::uint64_t number = 0;
  std::vector<Service> services;
  std::vector<PatchRecord> history;  ///< newest last, limited in size
};

}  // namespace anvildrum::config
