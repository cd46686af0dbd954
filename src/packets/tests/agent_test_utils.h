#pragma once

#include <cstdint>
#include <vector>

#include "packets/agent.h"

/// Builders of packets, heartbeats and hellos for the agent's tests.
namespace anvildrum::packets::agent_tests {

using base::milliseconds;
using base::seconds;

inline constexpr auto kStart = base::TimePoint{seconds{1000}};
inline constexpr auto kOwn = Address{0x0a010001};
inline constexpr auto kOther = Address{0x0a010002};
inline constexpr auto kBalancer = Address{0x0a010009};
inline constexpr auto kDesk = base::ServiceId{11};
inline constexpr auto kMapper = base::ServiceId{22};
inline constexpr auto kClient = End{0x64400007, 40001};
inline constexpr auto kRoute = End{0xc6120001, 443};

inline auto MakeHello(const std::vector<Address>& agents, bool complete = true) -> Hello {
  auto hello = Hello{kDesk, {}, complete};
  for (const auto agent : agents) hello.peers.push_back({agent, kDesk});
  hello.digest = DigestOf(hello);
  return hello;
}

inline auto MakeHeartbeat(std::uint64_t id, std::uint64_t sequence, bool draining = false)
    -> Heartbeat {
  return {.incarnation = {id, std::nullopt},
          .service = kDesk,
          .sequence = sequence,
          .draining = draining,
          .slots = 4};
}

/// Returns a heartbeat that carries the target's start time.
inline auto MakeHeartbeatWithStart(std::uint64_t id, std::uint64_t started_ms,
                                   std::uint64_t sequence, bool draining = false) -> Heartbeat {
  auto heartbeat = MakeHeartbeat(id, sequence, draining);
  heartbeat.incarnation.started_ms = started_ms;
  return heartbeat;
}

/// Delivers a hello and runs the agent's next periodic check. Returns what TakeHello returned.
inline auto DeliverHello(Agent& agent, Address balancer, const Hello& hello, base::TimePoint now)
    -> bool {
  const auto taken = TakeHello(agent, balancer, hello, now);
  RefreshPeers(agent, now);
  return taken;
}

/// Delivers a heartbeat. The platform records a new target at once.
inline auto DeliverHeartbeat(Agent& agent, const Heartbeat& heartbeat, base::TimePoint now)
    -> HeartbeatOutcome {
  const auto outcome = TakeHeartbeat(agent, heartbeat, now);
  if (!agent.target.recorded) NoteRecorded(agent, agent.target.last.incarnation, true);
  return outcome;
}

/// Returns an agent of service kDesk that has a ready target and one peer.
inline auto MakeAgent() -> Agent {
  auto agent = Agent{};
  agent.own = kOwn;
  agent.service = kDesk;
  DeliverHeartbeat(agent, MakeHeartbeat(1, 1), kStart);
  DeliverHello(agent, kBalancer, MakeHello({kOwn, kOther}, true), kStart);
  return agent;
}

inline auto Opening(bool sole = true) -> Packet {
  auto packet = Packet{.source = kClient, .destination = kRoute};
  packet.synchronize = true;
  packet.stamp = {0, sole, 0, TagOf(kDesk)};
  return packet;
}

inline auto OpeningOf(std::uint16_t port, std::uint32_t copy) -> Packet {
  auto packet = Opening();
  packet.source.port = port;
  packet.acknowledged = copy;
  return packet;
}

inline auto Data() -> Packet {
  auto packet = Packet{.source = kClient, .destination = kRoute};
  packet.acknowledge = true;
  packet.payload = 100;
  packet.stamp = {0, false, 0, TagOf(kDesk)};
  return packet;
}

inline auto Returned(Packet packet) -> Packet {
  packet.returned = true;
  return packet;
}

inline auto Reply(std::uint16_t payload) -> Packet {
  auto packet = Packet{.source = kRoute, .destination = kClient};
  packet.acknowledge = true;
  packet.payload = payload;
  return packet;
}

/// Returns the target's answer to an opening (SYN-ACK).
inline auto OpeningAnswer(std::uint32_t sequence) -> Packet {
  auto answer = Reply(0);
  answer.synchronize = true;
  answer.sequence = sequence;
  return answer;
}

}  // namespace anvildrum::packets::agent_tests
