#pragma once

#include <cstddef>
#include <string>

#include "relay/internal/topology.h"
#include "relay/state.h"

namespace anvildrum::relay {

/// A dead announcement: its key and its holder's failure domain.
struct RecordRef {
  const std::string& key;
  const std::string& failure_domain;
};

/// The `attempt`-th balancer to tell of a dead announcement: the first of its failure domain, then
/// one of the next domain drawn by the key, and so on in turns. Instance zero: there is none.
auto ClearerFor(const State& state, const RecordRef& record, std::size_t attempt) -> Link;

}  // namespace anvildrum::relay
