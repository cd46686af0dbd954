#include "balancer/tests/interleaving_world.h"

#include <algorithm>

#include "wire/convert.h"

namespace anvildrum::balancer {

namespace {

constexpr auto kTick = base::milliseconds(50);

}  // namespace

auto Below(World& world, std::uint32_t bound) -> std::uint32_t {
  return static_cast<std::uint32_t>(world.random() % bound);
}

auto Fail(World& world, const std::string& what) -> void {
  if (world.failure.empty()) world.failure = what;
}

auto FlowOf(std::uint32_t client) -> base::FlowKey {
  auto service = base::ServiceIdOf(kServices[client % 4 == 3 ? 1 : 0]);
  return {base::EndpointFromV4(0x0b000000 + client, 4000), service};
}

auto AddressOf(base::ServiceId service) -> base::Endpoint {
  return base::EndpointFromV4(0x0a000001, service == base::ServiceIdOf(kServices[0]) ? 1 : 2);
}

auto IsFrozen(const World& world, const Node& node) -> bool {
  return world.now < node.frozen_until;
}

auto IsCut(const World& world, const base::Endpoint& one, const base::Endpoint& other) -> bool {
  auto cut = world.cuts.find(std::minmax(one.port, other.port));
  return cut != world.cuts.end() && world.now < cut->second;
}

auto Push(World& world, InFlight datagram, base::Duration delay) -> void {
  datagram.due = world.now + delay;
  datagram.order = ++world.order;
  world.queue.push(std::make_shared<InFlight>(std::move(datagram)));
}

auto Send(World& world, const base::Endpoint& from, const base::Endpoint& to,
          const wire::pb::TunnelHeader& header) -> void {
  if (IsCut(world, from, to) || Below(world, 1000) < world.loss_permille) return;
  auto copies = Below(world, 50) == 0 ? 2 : 1;
  for (auto i = 0; i < copies; ++i) {
    auto delay = base::microseconds(200 + Below(world, 2500));
    if (Below(world, 50) == 0) delay += base::milliseconds(Below(world, 80));
    Push(world, {{}, 0, from, to, header, nullptr, false, nullptr}, delay);
  }
}

auto Apply(World& world, AgentNode& agent, const steering::DirectoryEvent& event) -> void {
  auto effects = steering::Step(agent.directory, event, world.now);
  for (const auto& taken : effects.taken) CheckTakeover(world, agent, taken.flow);
  for (const auto& dropped : effects.dropped) RecordDroppedFlow(world, agent, dropped.flow);
  for (const auto& send : effects.sends) Send(world, agent.tunnel, send.to, send.header);
  for (const auto& delivery : effects.deliveries) {
    CheckDelivery(world, agent, delivery.flow);
    auto drains = agent.record.draining && !IsFrozen(world, agent);
    if (delivery.opened && drains) Fail(world, "a draining target opened a flow");
  }
}

auto Apply(World& world, BalancerNode& balancer, const Event& event) -> void {
  auto effects = Step(balancer.core, event, world.now);
  for (const auto& send : effects.tunnel) Send(world, balancer.tunnel, send.to, send.header);
  if (effects.view_changed) balancer.view = balancer.core.view;
}

auto NotifyCore(World& world, AgentNode& agent) -> void {
  Apply(world, agent, steering::ViewArrived{&agent.view});
}

auto NotifyCore(World& world, BalancerNode& balancer) -> void {
  Apply(world, balancer, ViewChanged{&balancer.view});
}

auto Observe(World& world, Node& node, const membership::SuspicionEvent& event) -> bool {
  auto effects = membership::Step(node.suspicion, event, world.now);
  auto changed = false;
  for (const auto& change : effects.changes) {
    for (const auto& service : node.view.services) {
      for (const auto& target : service.targets) {
        if (target.record.instance != change.instance) continue;
        membership::SetSuspect(node.view, target.record.id, change.suspect);
        changed = true;
        break;
      }
    }
  }
  for (const auto& probe : effects.probes) {
    for (const auto& service : node.view.services) {
      for (const auto& target : service.targets) {
        if (target.record.instance != probe.instance) continue;
        auto header = wire::pb::TunnelHeader{};
        header.set_sender(node.instance.value);
        header.mutable_probe()->set_sequence(probe.sequence);
        Send(world, node.tunnel, target.record.tunnel, header);
      }
    }
  }
  return changed;
}

auto UpdatePeers(World& world, Node& node) -> void {
  auto refs = std::vector<membership::PeerRef>{};
  for (const auto& service : node.view.services) {
    for (const auto& target : service.targets) {
      if (target.record.instance == node.instance) continue;
      refs.push_back({target.record.instance, target.record.incarnation});
    }
  }
  membership::Step(node.suspicion, membership::PeersChanged{refs}, world.now);
}

auto ApplyWeights(const World& world, Node& node) -> void {
  for (const auto& service : kServices) {
    auto weights = std::vector<membership::NamedWeight>{};
    for (const auto& [id, weight] : world.weights) weights.push_back({id, weight});
    membership::ApplyWeights(node.view, base::ServiceIdOf(service), weights);
  }
}

template <typename AnyNode>
auto ApplyRecordUpdate(World& world, AnyNode& node, const InFlight& update) -> void {
  const auto& record = *update.record;
  auto applied = update.removed ? membership::RemoveRecord(node.view, record.id, record.incarnation,
                                                           record.revision)
                                : membership::ApplyRecord(node.view, record, world.now);
  ApplyWeights(world, node);
  if (applied == membership::Applied::kStale) return;
  UpdatePeers(world, node);
  NotifyCore(world, node);
}

auto Publish(World& world, const membership::TargetRecord& record, bool removed,
             base::Duration after) -> void {
  // The platform's conditional update refuses updates after the removal.
  auto process = TargetProcess{record.id.value, record.incarnation};
  if (world.removed.contains(process)) return;
  if (removed) world.removed.insert(process);
  auto update = std::make_shared<membership::TargetRecord>(record);
  update->revision = ++world.revision;
  if (removed) {
    world.records.erase(record.id);
  } else {
    world.records[record.id] = *update;
  }
  auto enqueue = [&](const Node& node) {
    auto delay = after + base::milliseconds(Below(world, 1500));
    Push(world, {{}, 0, {}, node.tunnel, {}, update, removed, nullptr}, delay);
  };
  for (const auto& agent : world.agents) enqueue(*agent);
  for (const auto& balancer : world.balancers) enqueue(*balancer);
}

auto AnswerProbe(World& world, AgentNode& agent, const InFlight& datagram) -> void {
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(agent.instance.value);
  header.set_incarnation(agent.record.incarnation);
  auto* answer = header.mutable_probe_answer();
  answer->set_sequence(datagram.header.probe().sequence());
  *answer->add_loads() = steering::OwnLoadReport(agent.directory);
  Send(world, agent.tunnel, datagram.from, header);
}

template <typename AnyNode>
auto TakeProbeAnswer(World& world, AnyNode& node, const InFlight& datagram) -> void {
  const auto& header = datagram.header;
  auto peer = membership::PeerRef{{header.sender()}, header.incarnation()};
  auto sequence = header.probe_answer().sequence();
  if (Observe(world, node, membership::ProbeAnswered{peer, sequence})) NotifyCore(world, node);
}

auto Receive(World& world, AgentNode& agent, const InFlight& datagram) -> void {
  using wire::pb::TunnelHeader;
  const auto& header = datagram.header;
  if (header.body_case() == TunnelHeader::kProbe) return AnswerProbe(world, agent, datagram);
  if (header.body_case() == TunnelHeader::kProbeAnswer) {
    TakeProbeAnswer(world, agent, datagram);
    for (const auto& load : header.probe_answer().loads()) {
      Apply(world, agent, steering::PeerLoadArrived{load});
    }
    return;
  }
  if (header.body_case() == TunnelHeader::kDrainNotice) {
    const auto& notice = header.drain_notice();
    membership::ApplyDrain(agent.view, {notice.target().target()}, notice.target().incarnation());
    return NotifyCore(world, agent);
  }
  if (header.body_case() == TunnelHeader::kHandOver) {
    // Sometimes the agent's ledger has no room.
    return Apply(world, agent,
                 steering::HandOverArrived{datagram.from, &header, {}, Below(world, 8) != 0});
  }
  Apply(world, agent, steering::TunnelArrived{datagram.from, &header, {}});
}

auto Receive(World& world, BalancerNode& balancer, const InFlight& datagram) -> void {
  if (datagram.header.body_case() == wire::pb::TunnelHeader::kProbeAnswer) {
    return TakeProbeAnswer(world, balancer, datagram);
  }
  Apply(world, balancer, TunnelMessage{datagram.from, &datagram.header, {}});
}

template <typename Nodes>
auto DeliverTo(World& world, Nodes& nodes, const std::shared_ptr<InFlight>& item) -> void {
  for (auto& node : nodes) {
    if (!node->running || node->tunnel != item->to) continue;
    if (item->buffered_at != nullptr && item->buffered_at != node.get()) return;
    if (IsFrozen(world, *node)) {
      // The socket buffers the datagram until the process runs again or dies.
      item->buffered_at = node.get();
      item->due = node->frozen_until;
      world.queue.push(item);
    } else if (item->record != nullptr) {
      ApplyRecordUpdate(world, *node, *item);
    } else {
      Receive(world, *node, *item);
    }
    return;
  }
}

constexpr auto kDrainOffers = 4U;  // one in so many looks at a flow
constexpr auto kShedOffers = 64U;

// Offers an agent's flows to others: all of them if it drains, each when its requests allow it;
// sometimes one when its target sheds load.
auto OfferFlows(World& world, AgentNode& agent, steering::HandOverReason reason) -> void {
  auto one_in = reason == steering::HandOverReason::kDrain ? kDrainOffers : kShedOffers;
  auto flows = std::vector<base::FlowKey>{};
  for (const auto& [flow, owned] : agent.directory.owned) flows.push_back(flow);
  std::ranges::sort(flows);
  for (const auto& flow : flows) {
    if (!steering::CanHandOver(agent.directory, flow, world.now)) continue;
    if (Below(world, one_in) != 0) continue;
    Apply(world, agent, steering::FlowOffered{flow, {}, reason});
  }
}

auto Tick(World& world) -> void {
  for (auto& agent : world.agents) {
    if (!agent->running || IsFrozen(world, *agent)) continue;
    Apply(world, *agent, steering::DirectoryTimer{});
    if (agent->record.draining) {
      OfferFlows(world, *agent, steering::HandOverReason::kDrain);
    } else if (world.sheds) {
      OfferFlows(world, *agent, steering::HandOverReason::kShed);
    }
    if (Observe(world, *agent, membership::SuspicionTimer{})) NotifyCore(world, *agent);
  }
  for (auto& balancer : world.balancers) {
    if (!balancer->running) continue;
    Apply(world, *balancer, Timer{});
    if (Observe(world, *balancer, membership::SuspicionTimer{})) NotifyCore(world, *balancer);
  }
}

auto RunUntil(World& world, base::TimePoint until) -> void {
  while (world.now < until && world.failure.empty()) {
    auto next = std::min(until, world.now + kTick);
    while (!world.queue.empty() && world.queue.top()->due <= next) {
      auto item = world.queue.top();
      world.queue.pop();
      world.now = std::max(world.now, item->due);
      DeliverTo(world, world.agents, item);
      DeliverTo(world, world.balancers, item);
    }
    world.now = next;
    Tick(world);
  }
}

}  // namespace anvildrum::balancer
