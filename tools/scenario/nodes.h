#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "agent/agent.h"
#include "balancer/balancer.h"
#include "balancer/monitor.h"
#include "scenario/announcer.h"
#include "scenario/message.h"
#include "scenario/relay_node.h"

namespace anvildrum::scenario {

struct World;

/// A balancer's process: balancer::Step, balancer::Monitor and relay::Step, wired as
/// daemon::BalancerRuntime wires them.
struct BalancerNode {
  World* world = nullptr;
  std::string name;  ///< of the process as well
  balancer::Balancer balancer;
  balancer::Monitor monitor;
  membership::BalancerRecord record;
  RelayNode relay;
  Announcer announcer;
  base::TimePoint stop_begun{};
  base::TimePoint last_client_packet{};
};

/// An agent's process: agent::Step and relay::Step, wired as daemon::AgentRuntime wires them.
struct AgentNode {
  World* world = nullptr;
  std::string name;     ///< of the target beside it
  std::string process;  ///< "agent-" and the name
  membership::TargetRecord record;
  std::optional<agent::Agent> agent;
  RelayNode relay;
  Announcer announcer;
  std::map<std::string, relay::PlatformObject> records;
  bool stopping = false;
  std::uint64_t core = 0;  ///< rises when the core begins anew under a higher incarnation
};

/// The sockets of an agent's core towards its target: of this life of the process, and this core.
struct Sockets {
  std::uint64_t life = 0;
  std::uint64_t core = 0;
  auto operator==(const Sockets&) const -> bool = default;
};
auto SocketsOf(const World& world, const std::string& target) -> Sockets;

/// A fake target: so many slots, so long a service, observers of `feed`.
struct TargetNode {
  struct Job {
    base::FlowKey flow;
    Sockets sockets;
    Bytes datagram;
  };
  struct Observer {
    base::FlowKey flow;
    Sockets sockets;
    requests::Token token;
    std::string id;
    std::uint32_t sequence = 2;
    std::uint16_t last_message_id = 0;  ///< a Reset names it (RFC 7641, 3.6)
  };
  World* world = nullptr;
  std::string name;
  std::string process;  ///< "target-" and the name
  std::string service;
  std::string domain;
  std::uint32_t slots = 4;
  base::Duration service_time = base::milliseconds(20);
  base::Duration notify = base::seconds(1);
  std::uint32_t running = 0;
  std::uint16_t message_id = 1;
  std::deque<Job> queue;
  std::vector<Observer> observers;
};

auto StartBalancer(World& world, const std::string& name) -> void;
auto StopBalancer(World& world, const std::string& name) -> void;
auto FromFabric(BalancerNode& node, const base::Endpoint& service, const base::Endpoint& client,
                wire::BytesView payload) -> void;

auto StartAgent(World& world, const std::string& name) -> void;
auto DrainAgent(World& world, const std::string& name) -> void;
auto Feed(AgentNode& node, const agent::Event& event) -> void;

auto StartTarget(World& world, const std::string& name) -> void;
/// A datagram of the agent, on the flow's socket.
auto ToTarget(World& world, const std::string& name, const base::FlowKey& flow,
              const Bytes& datagram) -> void;

}  // namespace anvildrum::scenario
