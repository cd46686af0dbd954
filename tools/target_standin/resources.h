#pragma once

#include <coap3/coap.h>

#include "tools/target_standin/server.h"

namespace anvildrum::target {

/// Adds the resources of the target's kind and those that every target has: health, load,
/// executions, cancel, drain. libcoap adds /.well-known/core (RFC 6690) by itself.
auto AddResources(coap_context_t* context, Server& server) -> void;

}  // namespace anvildrum::target
