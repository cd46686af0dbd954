#pragma once

#include <optional>

#include "packets/agent.h"

namespace anvildrum::packets {

/// Work that flows put on the agent's target, as far as their packets tell.

/// Whether the target has a place for the opening.
auto HasCapacity(Agent& agent, const Packet& packet, base::TimePoint now) -> bool;

/// Counts a packet that is delivered to the target.
auto CountFromClient(Agent& agent, const Packet& packet, base::TimePoint now) -> void;

/// Counts a packet that the target sent. How long it worked, where this begins an answer.
auto CountFromTarget(Agent& agent, const Packet& packet, base::TimePoint now)
    -> std::optional<base::Duration>;

/// Openings that nobody has gone on with for AgentPolicy::opening_for are no work any more.
auto ExpireOffers(Agent& agent, base::TimePoint now) -> void;

auto SetAtWork(Agent& agent, FlowState& flow, bool at_work) -> void;

/// The target gave a packet of the flow back: it does not hold it.
auto MarkNotHeld(Agent& agent, const FlowId& id, base::TimePoint now) -> void;

/// Drops the flow's state.
auto Erase(Agent& agent, const FlowId& flow) -> void;

}  // namespace anvildrum::packets
