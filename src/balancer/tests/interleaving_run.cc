#include <algorithm>

#include "balancer/tests/interleaving_world.h"

namespace anvildrum::balancer {
namespace {

constexpr auto kShedSeeds = 4U;  // targets shed load in one script of so many
constexpr auto kRemovalDelay = base::seconds(5);
constexpr auto kSettleTime = base::seconds(20);
constexpr auto kClients = 10U;

template <typename Nodes>
auto Running(Nodes& nodes) {
  auto running = std::vector<decltype(nodes.front().get())>{};
  for (auto& node : nodes) {
    if (node->running) running.push_back(node.get());
  }
  return running;
}

auto ProcessOf(const AgentNode& agent) -> TargetProcess {
  return {agent.record.id.value, agent.record.incarnation};
}

auto Kill(World& world, AgentNode& agent) -> void {
  agent.running = false;
  world.dead.insert(ProcessOf(agent));
}

// The platform may remove the record of a paused process by a conditional update before it resumes.
auto Freeze(World& world, AgentNode& agent, const Action& action) -> void {
  agent.frozen_until = world.now + base::milliseconds(action.length_ms);
  world.disturbed.insert(ProcessOf(agent));
  if (action.other % 3 == 0) Publish(world, agent.record, true, kRemovalDelay);
}

auto IsCutOff(const World& world, const base::Endpoint& tunnel) -> bool {
  return std::ranges::any_of(world.cuts, [&](const auto& cut) {
    const auto& [ports, until] = cut;
    return world.now < until && (ports.first == tunnel.port || ports.second == tunnel.port);
  });
}

auto Restart(World& world, AgentNode& agent, bool other_service) -> void {
  agent.running = false;
  world.dead.insert(ProcessOf(agent));
  auto record = agent.record;
  ++record.incarnation;
  record.draining = false;
  if (other_service) {
    record.service_name = kServices[record.service_name == kServices[0] ? 1 : 0];
    record.service = base::ServiceIdOf(record.service_name);
  }
  StartAgent(world, record);
  // A cut is between addresses, so it applies to the new process as well.
  if (IsCutOff(world, record.tunnel)) world.disturbed.insert(ProcessOf(*world.agents.back()));
}

auto Drain(World& world, AgentNode& agent) -> void {
  if (agent.record.draining || IsFrozen(world, agent)) return;
  agent.record.draining = true;
  membership::ApplyDrain(agent.view, agent.record.id, agent.record.incarnation);
  NotifyCore(world, agent);
  Publish(world, agent.record, false);
}

auto SendFromClient(World& world, std::uint32_t client, std::uint32_t through) -> void {
  auto running = Running(world.balancers);
  if (running.empty()) return;
  auto flow = FlowOf(client % kClients);
  Apply(world, *running[through % running.size()],
        ClientPacket{AddressOf(flow.service), flow.client, {}});
}

auto EndFlow(World& world, std::uint32_t client) -> void {
  auto flow = FlowOf(client % kClients);
  for (auto* agent : Running(world.agents)) {
    if (!agent->directory.owned.contains(flow) || IsFrozen(world, *agent)) continue;
    Apply(world, *agent, steering::FlowEnded{flow});
    world.owner_of.erase(flow);
  }
}

auto Cut(World& world, AgentNode& one, AgentNode& other, base::Duration length) -> void {
  if (&one == &other) return;
  world.cuts[std::minmax(one.tunnel.port, other.tunnel.port)] = world.now + length;
  world.disturbed.insert(ProcessOf(one));
  world.disturbed.insert(ProcessOf(other));
}

auto ChangeWeight(World& world, AgentNode& agent, std::uint32_t weight) -> void {
  world.weights[agent.record.id] = weight;
  Publish(world, agent.record, false);
}

auto Run(World& world, const Action& action) -> void {
  auto running = Running(world.agents);
  auto length = base::milliseconds(action.length_ms);
  auto& agent = *running[action.node % running.size()];
  switch (action.kind) {
    case ActionKind::kPacket:
      return SendFromClient(world, action.node, action.other);
    case ActionKind::kEndFlow:
      return EndFlow(world, action.node);
    case ActionKind::kDrain:
      return Drain(world, agent);
    case ActionKind::kLeave:
      if (!agent.record.draining || !agent.directory.owned.empty()) return;
      if (!agent.directory.outgoing.empty()) return;
      Kill(world, agent);
      return Publish(world, agent.record, true);
    case ActionKind::kJoinAgent:
      return StartAgent(world, MakeAgentRecord(world, kServices[action.other % 4 == 3 ? 1 : 0]));
    case ActionKind::kJoinBalancer:
      return StartBalancer(world);
    case ActionKind::kStopBalancer:
      if (Running(world.balancers).size() < 2) return;
      Running(world.balancers)[action.node % Running(world.balancers).size()]->running = false;
      return;
    case ActionKind::kWeight:
      return ChangeWeight(world, agent, action.other % 3 + 1);
    case ActionKind::kKill:
      if (running.size() < 3) return;
      Kill(world, agent);
      // While the platform is down, the record of the dead agent stays.
      if (action.other % 2 == 0) Publish(world, agent.record, true, kRemovalDelay);
      return;
    case ActionKind::kRestart:
      return Restart(world, agent, false);
    case ActionKind::kRestartOther:
      return Restart(world, agent, true);
    case ActionKind::kFreeze:
      return Freeze(world, agent, action);
    case ActionKind::kCut:
      return Cut(world, agent, *running[action.other % running.size()], length);
  }
}

auto CountOwners(World& world, const base::FlowKey& flow) -> std::size_t {
  auto owns = [&](AgentNode* agent) {
    auto found = agent->directory.owned.find(flow);
    return found != agent->directory.owned.end() && !found->second.closing;
  };
  return static_cast<std::size_t>(std::ranges::count_if(Running(world.agents), owns));
}

auto CanServe(World& world, base::ServiceId service) -> bool {
  return std::ranges::any_of(Running(world.agents), [&](AgentNode* agent) {
    auto announced = world.records.find(agent->record.id);
    if (announced == world.records.end()) return false;
    return agent->record.service == service && !agent->record.draining;
  });
}

// Checks that after all faults have ended every client is served by one target.
auto CheckSettled(World& world) -> void {
  world.loss_permille = 0;
  world.sheds = false;
  RunUntil(world, world.now + kSettleTime);
  // While a target was paused or disconnected, its flows may have been opened elsewhere.
  if (!world.disturbed.empty()) world.owner_of.clear();
  world.disturbed.clear();
  for (auto round = 0U; round < 3; ++round) {
    auto before = world.delivered;
    for (auto client = 0U; client < kClients; ++client) SendFromClient(world, client, round);
    RunUntil(world, world.now + base::seconds(4));
    for (auto client = 0U; client < kClients; ++client) {
      auto flow = FlowOf(client);
      if (CountOwners(world, flow) > 1) Fail(world, "two owners at rest");
      if (world.delivered[flow] == before[flow] && CanServe(world, flow.service)) {
        Fail(world, "a packet is not delivered at rest");
      }
    }
  }
}

// Checks that without packet loss, planned changes drop no packet, neither at the hop limit nor
// while it is held.
auto CheckNothingDropped(World& world) -> void {
  if (!world.script.planned || world.script.loss_permille != 0) return;
  for (const auto& agent : world.agents) {
    const auto& counters = agent->directory.counters;
    if (counters.hop_limit != 0) Fail(world, "a packet was dropped at the hop limit");
    if (counters.held_dropped != 0) Fail(world, "a held packet was dropped");
  }
}

}  // namespace

auto RunScript(const Script& script) -> std::string {
  auto world = World{};
  world.script = script;
  world.random.seed(script.seed);
  for (const auto& service : kServices) {
    for (auto i = 0U; i < script.agents; ++i) StartAgent(world, MakeAgentRecord(world, service));
  }
  for (auto i = 0U; i < script.balancers; ++i) StartBalancer(world);
  RunUntil(world, world.now + base::seconds(3));
  world.loss_permille = script.loss_permille;
  world.sheds = script.seed % kShedSeeds == 1;
  auto start = world.now;
  for (const auto& action : script.actions) {
    RunUntil(world, start + base::milliseconds(action.at_ms));
    if (!world.failure.empty()) return world.failure;
    Run(world, action);
  }
  CheckSettled(world);
  CheckNothingDropped(world);
  return world.failure;
}

}  // namespace anvildrum::balancer
