#pragma once

#include "packets/agent.h"

/// The routes of which the agent's service may receive packets.
namespace anvildrum::packets {

/// Whether the packet is known to be meant for the agent's service, because a balancer has told
/// that the service has its route, or because the target has received packets of its flow. Notes
/// the question to send otherwise. While a balancer of a build that answers no such question is
/// known, every packet counts as meant for the service.
auto MayReceive(Agent& agent, const Packet& packet, base::TimePoint now) -> bool;

/// Drops expired answers and questions.
auto DropExpiredRoutes(Agent& agent, base::TimePoint now) -> void;

}  // namespace anvildrum::packets
