#include "balancer/tests/interleaving_world.h"

namespace anvildrum::balancer {

// Applies the platform's records to a new process.
template <typename AnyNode>
auto ListRecords(World& world, AnyNode& node) -> void {
  for (const auto& [id, record] : world.records) {
    membership::ApplyRecord(node.view, record, world.now);
  }
  ApplyWeights(world, node);
  UpdatePeers(world, node);
  NotifyCore(world, node);
}

auto StartAgent(World& world, const membership::TargetRecord& record) -> void {
  auto agent = std::make_unique<AgentNode>();
  agent->record = record;
  agent->instance = record.instance;
  agent->tunnel = record.tunnel;
  agent->directory = steering::DirectoryBuilder{}
                         .WithTarget(record)
                         .WithSeed(world.script.seed + world.next_name + 1)
                         .Build();
  world.agents.push_back(std::move(agent));
  Publish(world, record, false);
  ListRecords(world, *world.agents.back());
}

auto MakeAgentRecord(World& world, const std::string& service) -> membership::TargetRecord {
  auto number = world.next_name++;
  auto record = membership::TargetRecord{};
  record.name = "target-" + std::to_string(number);
  record.id = base::TargetIdOf(record.name);
  record.service_name = service;
  record.service = base::ServiceIdOf(service);
  record.instance = base::InstanceIdOf(record.name);
  record.incarnation = 1;
  record.tunnel = base::EndpointFromV4(0x0c000001, static_cast<std::uint16_t>(100 + number));
  record.failure_domain = "domain-" + std::to_string(number % 3);
  record.connections = 2000;
  return record;
}

auto StartBalancer(World& world) -> void {
  auto balancer = std::make_unique<BalancerNode>();
  auto number = world.next_name++;
  balancer->instance = base::InstanceIdOf("balancer-" + std::to_string(number));
  balancer->tunnel = base::EndpointFromV4(0x0d000001, static_cast<std::uint16_t>(100 + number));
  auto policy = BalancerPolicy{};
  policy.flow_table_capacity = 64;
  policy.established_bits = 1 << 10;
  balancer->core = BalancerBuilder{}
                       .WithPolicy(policy)
                       .WithInstance(balancer->instance, 1)
                       .WithTunnel(balancer->tunnel)
                       .Build();
  auto configuration = config::Configuration{};
  configuration.number = 1;
  for (const auto& name : kServices) {
    auto id = base::ServiceIdOf(name);
    configuration.services.push_back({name, id, {AddressOf(id)}, {}, {}, {}});
  }
  Apply(world, *balancer, ConfigChanged{&configuration});
  world.balancers.push_back(std::move(balancer));
  ListRecords(world, *world.balancers.back());
}

}  // namespace anvildrum::balancer
