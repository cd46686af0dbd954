// The checks at each delivery and hand-over.
#include "balancer/tests/interleaving_world.h"

namespace anvildrum::balancer {
namespace {

auto Serves(const AgentNode& agent, const base::FlowKey& flow) -> bool {
  auto found = agent.directory.owned.find(flow);
  if (found == agent.directory.owned.end()) return false;
  return !found->second.closing && !found->second.offered;
}

}  // namespace

auto CheckDelivery(World& world, const AgentNode& agent, const base::FlowKey& flow) -> void {
  if (agent.record.service != flow.service) Fail(world, "a packet crossed services");
  auto process = TargetProcess{agent.record.id.value, agent.record.incarnation};
  auto [known, first] = world.owner_of.try_emplace(flow, process);
  auto before = known->second;
  known->second = process;
  ++world.delivered[flow];
  if (first || before == process || world.dead.contains(before)) return;
  if (world.disturbed.contains(before) || world.disturbed.contains(process)) return;
  Fail(world, "an established flow moved to another target");
}

auto CheckTakeover(World& world, const AgentNode& agent, const base::FlowKey& flow) -> void {
  auto process = TargetProcess{agent.record.id.value, agent.record.incarnation};
  for (const auto& other : world.agents) {
    auto before = TargetProcess{other->record.id.value, other->record.incarnation};
    if (!other->running || before == process || !Serves(*other, flow)) continue;
    if (world.disturbed.contains(before) || world.disturbed.contains(process)) continue;
    Fail(world, "a flow was taken over while its old owner serves it");
  }
  ++world.hand_overs;
  auto known = world.owner_of.find(flow);
  if (known != world.owner_of.end()) known->second = process;
}

auto RecordDroppedFlow(World& world, const AgentNode& agent, const base::FlowKey& flow) -> void {
  auto process = TargetProcess{agent.record.id.value, agent.record.incarnation};
  auto known = world.owner_of.find(flow);
  if (known == world.owner_of.end() || known->second != process) return;
  for (const auto& other : world.agents) {
    auto winner = TargetProcess{other->record.id.value, other->record.incarnation};
    if (!other->running || winner == process || !Serves(*other, flow)) continue;
    auto excused = world.disturbed.contains(winner) || world.disturbed.contains(process);
    if (excused) known->second = winner;
    return;
  }
}

}  // namespace anvildrum::balancer
