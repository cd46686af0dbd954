#pragma once

#include "base/result.h"
#include "base/types/endpoint.h"
#include "base/types/flow_key.h"
#include "wire/tunnel.pb.h"
#include "wire/types/wire_error.h"

namespace anvildrum::wire {

/// Conversion between the core's value types and their messages. Reading fails with WireError
/// kBadAddress.
auto WriteEndpoint(const base::Endpoint& endpoint, pb::Address& message) -> void;
auto ReadEndpoint(const pb::Address& message) -> base::Result<base::Endpoint>;
auto WriteFlow(const base::FlowKey& flow, pb::Flow& message) -> void;
auto ReadFlow(const pb::Flow& message) -> base::Result<base::FlowKey>;

}  // namespace anvildrum::wire
