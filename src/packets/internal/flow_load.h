#pragma once

#include <optional>

#include "admission/controller.h"
#include "packets/agent.h"

namespace anvildrum::packets {

/// The load that flows put on the agent's target, as derived from their packets.

/// Returns the limit that keeps the target from taking the opening; Limit::kNone if it has
/// capacity.
auto CapacityLimit(Agent& agent, const Packet& packet, base::TimePoint now) -> admission::Limit;

/// Returns the opening as a candidate for admission, without its caller's recent use.
auto CandidateOf(const Agent& agent, const Packet& packet) -> admission::Candidate;

/// Counts a packet that is delivered to the target.
auto CountFromClient(Agent& agent, const Packet& packet, base::TimePoint now) -> void;

/// Counts a packet that the target sent. Returns the service time of the request if the packet is
/// the first data of its answer.
auto CountFromTarget(Agent& agent, const Packet& packet, base::TimePoint now)
    -> std::optional<base::Duration>;

/// Stops counting openings as load whose client has not continued for AgentPolicy::offer_timeout.
auto ExpireOffers(Agent& agent, base::TimePoint now) -> void;

auto SetAtWork(Agent& agent, FlowState& flow, bool at_work) -> void;

/// Records that the target returned a packet of the flow and thus does not hold it.
auto MarkNotHeld(Agent& agent, const FlowId& id, base::TimePoint now) -> void;

/// Drops the flow's state and its load.
auto Erase(Agent& agent, const FlowId& flow) -> void;

}  // namespace anvildrum::packets
