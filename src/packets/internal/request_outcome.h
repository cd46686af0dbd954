#pragma once

#include <optional>

#include "packets/agent.h"

namespace anvildrum::packets {

/// Outcomes of the requests at the agent's target, as derived from the packets of their flows.
/// Payloads are not read. Requests of flows in FlowStage::kAssumed, which the target may not hold,
/// count only if they are answered.

/// Notes new request data of a flow, before it counts as load. Ends the flow's previous answer.
auto NoteRequest(Agent& agent, const FlowId& id, FlowState& flow, base::TimePoint now) -> void;

/// Notes a packet that the target sent, before the flow changes its stage. `taken` is the time to
/// the first data of an answer, if the packet is that.
auto NoteFromTarget(Agent& agent, const FlowId& id, FlowState& flow, const Packet& packet,
                    std::optional<base::Duration> taken, base::TimePoint now) -> void;

/// Notes that the client reset the flow.
auto NoteClientReset(Agent& agent, const FlowId& id, base::TimePoint now) -> void;

/// Notes an opening or another packet that the target returned.
auto NoteReturned(Agent& agent, const Packet& packet, base::TimePoint now) -> void;

/// Notes that the target has not answered an opening within AgentPolicy::offer_timeout.
auto NoteUnansweredOpening(Agent& agent, const FlowId& id, FlowState& flow, base::TimePoint now)
    -> void;

/// Counts the flow's request as failed if the target has not answered it in time.
auto NoteSilence(Agent& agent, const FlowId& id, FlowState& flow, base::TimePoint now) -> void;

/// Notes that the flow ends without a further packet, so that its answer is complete.
auto NoteEndOfFlow(Agent& agent, const FlowId& id, FlowState& flow, base::TimePoint now) -> void;

/// Drops the counts and the mean service time, which are those of an earlier target. The usual
/// answers of the routes stay.
auto ForgetOutcomes(Agent& agent) -> void;

}  // namespace anvildrum::packets
