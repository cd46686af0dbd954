#pragma once

#include <string>

#include "agent/agent.h"
#include "balancer/balancer.h"
#include "daemon/internal/relay_runtime.h"
#include "daemon/internal/tunnel_port.h"
#include "membership/view.h"
#include "relay/types/event.h"

namespace anvildrum::daemon {

/// Takes an announcement of a target or balancer into the view. False when its text or key makes no
/// sense; keys of other kinds are passed over.
auto ApplyObject(const relay::PlatformObject& object, membership::View& view, base::TimePoint now)
    -> bool;

/// The body of GET /status.
auto BalancerStatus(const Runtime& runtime, const balancer::Balancer& balancer,
                    const relay::State& relay) -> std::string;
auto AgentStatus(const Runtime& runtime, const agent::Agent& agent, const relay::State& relay)
    -> std::string;

}  // namespace anvildrum::daemon
