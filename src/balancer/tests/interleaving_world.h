#pragma once

#include <array>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>

#include "balancer/balancer.h"
#include "balancer/tests/interleaving_script.h"
#include "membership/suspicion.h"
#include "steering/directory.h"

namespace anvildrum::balancer {

using TargetProcess = std::pair<std::uint64_t, base::Incarnation>;  ///< target id and incarnation

/// The common part of nodes of both roles.
struct Node {
  base::InstanceId instance;
  base::Endpoint tunnel;
  membership::View view;
  membership::Suspicion suspicion;
  bool running = true;
  base::TimePoint frozen_until{};
};

struct AgentNode : Node {
  membership::TargetRecord record;
  steering::Directory directory;
};

struct BalancerNode : Node {
  Balancer core;
};

/// A datagram or a record update of the platform on its way to a node.
struct InFlight {
  base::TimePoint due{};
  std::uint64_t order = 0;
  base::Endpoint from;
  base::Endpoint to;
  wire::pb::TunnelHeader header;
  /// Set for a record update.
  std::shared_ptr<membership::TargetRecord> record;
  bool removed = false;
  const Node* buffered_at = nullptr;  ///< in the socket of a paused process
};

struct Later {
  auto operator()(const std::shared_ptr<InFlight>& one,
                  const std::shared_ptr<InFlight>& other) const -> bool {
    return std::pair(one->due, one->order) > std::pair(other->due, other->order);
  }
};

/// The cores of agents and balancers, connected by a queue with a virtual clock.
struct World {
  Script script;
  std::mt19937 random;
  base::TimePoint now{base::seconds(1000)};
  std::uint64_t order = 0;
  std::uint64_t revision = 0;
  std::uint32_t next_name = 0;
  std::uint32_t loss_permille = 0;
  bool sheds = false;  ///< targets shed load: sometimes an agent offers a flow to another one
  std::vector<std::unique_ptr<AgentNode>> agents;
  std::vector<std::unique_ptr<BalancerNode>> balancers;
  std::map<base::TargetId, membership::TargetRecord> records;  ///< at the platform
  std::map<base::TargetId, double> weights;
  std::priority_queue<std::shared_ptr<InFlight>, std::vector<std::shared_ptr<InFlight>>, Later>
      queue;
  /// By the ports of both ends.
  std::map<std::pair<std::uint16_t, std::uint16_t>, base::TimePoint> cuts;
  /// The target that received the client's last packet.
  std::map<base::FlowKey, TargetProcess> owner_of;
  std::set<TargetProcess> dead;
  std::set<TargetProcess> removed;    ///< at the platform
  std::set<TargetProcess> disturbed;  ///< paused or disconnected at some time
  std::map<base::FlowKey, std::uint64_t> delivered;
  std::uint64_t hand_overs = 0;
  std::string failure;  ///< the first violated invariant
};

inline const auto kServices = std::array{std::string("desk"), std::string("mapper")};

auto Below(World& world, std::uint32_t bound) -> std::uint32_t;
auto Fail(World& world, const std::string& what) -> void;
auto FlowOf(std::uint32_t client) -> base::FlowKey;
auto AddressOf(base::ServiceId service) -> base::Endpoint;
auto IsFrozen(const World& world, const Node& node) -> bool;
auto Apply(World& world, AgentNode& agent, const steering::DirectoryEvent& event) -> void;
auto Apply(World& world, BalancerNode& balancer, const Event& event) -> void;
/// Checks at a delivery that the flow has one owner.
auto CheckDelivery(World& world, const AgentNode& agent, const base::FlowKey& flow) -> void;
/// Checks after a hand-over that the old owner has stopped before the new one starts.
auto CheckTakeover(World& world, const AgentNode& agent, const base::FlowKey& flow) -> void;
/// Called when one of two owners, one of which was paused or disconnected, drops the flow. From
/// then on the flow counts as the other one's, even if this one received the client's last packet.
auto RecordDroppedFlow(World& world, const AgentNode& agent, const base::FlowKey& flow) -> void;
auto NotifyCore(World& world, AgentNode& agent) -> void;
auto NotifyCore(World& world, BalancerNode& balancer) -> void;
auto UpdatePeers(World& world, Node& node) -> void;
auto ApplyWeights(const World& world, Node& node) -> void;
auto MakeAgentRecord(World& world, const std::string& service) -> membership::TargetRecord;
auto StartAgent(World& world, const membership::TargetRecord& record) -> void;
auto StartBalancer(World& world) -> void;
/// Applies the record or its removal at the platform, and sends it to each node with a delay of its
/// own.
auto Publish(World& world, const membership::TargetRecord& record, bool removed,
             base::Duration after = {}) -> void;
auto RunUntil(World& world, base::TimePoint until) -> void;

/// Runs a script, lets the system settle and checks the invariants. Returns the first violated one;
/// empty if there is none.
auto RunScript(const Script& script) -> std::string;

}  // namespace anvildrum::balancer
