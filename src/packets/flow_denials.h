#pragma once

#include "packets/balancer.h"

/// Which targets have returned a packet of a flow for which the balancer has no hint.
namespace anvildrum::packets {

/// Notes that the agent's target has returned a packet of the flow.
auto NoteDenial(Balancer& balancer, const FlowId& flow, Address agent, base::TimePoint now) -> void;

/// Whether a target beside the agent has returned a packet of the flow.
auto HasDenied(const Balancer& balancer, const FlowId& flow, Address agent) -> bool;

/// Drops denials that are older than SearchPolicy::denial_ttl.
auto ForgetDenials(Balancer& balancer, base::TimePoint now) -> void;

}  // namespace anvildrum::packets
