#include <algorithm>

#include "agent/internal/parts.h"

namespace anvildrum::agent {
namespace {

using membership::PeerRef;

constexpr auto kPermille = 1000.0;
constexpr auto kAllRefused = std::uint32_t{1000};  // permille; nothing listens
constexpr auto kRefusedDecay = 0.9;                // share of the old average kept at each update

// Appends the next peers in the ring of target ids, so that every target is probed by some other
// one.
auto AppendProbedTargets(const Agent& agent, std::vector<PeerRef>& peers) -> void {
  const auto* service = membership::FindService(agent.view, agent.record.service);
  if (service == nullptr) return;
  const auto& targets = service->targets;
  auto self = std::find_if(targets.begin(), targets.end(),
                           [&](const auto& target) { return target.record.id == agent.record.id; });
  auto start = static_cast<std::size_t>(self - targets.begin());
  auto count = std::min(agent.policy.probed_peers, targets.size());
  for (auto i = std::size_t{1}; i <= count; ++i) {
    const auto& record = targets[(start + i) % targets.size()].record;
    if (record.id != agent.record.id) peers.push_back({record.instance, record.incarnation});
  }
}

auto PeersToObserve(const Agent& agent) -> std::vector<PeerRef> {
  auto peers = std::vector<PeerRef>{};
  AppendProbedTargets(agent, peers);
  return peers;
}

auto TargetOfInstance(const Agent& agent, base::InstanceId instance) -> const membership::Target* {
  const auto* service = membership::FindService(agent.view, agent.record.service);
  if (service == nullptr) return nullptr;
  auto found = std::find_if(service->targets.begin(), service->targets.end(),
                            [&](const auto& target) { return target.record.instance == instance; });
  return found == service->targets.end() ? nullptr : &*found;
}

auto ApplySuspicion(Context& context, const membership::SuspectChanged& change) -> void {
  if (change.suspect) ++context.agent.counters.suspicions;
  const auto* target = TargetOfInstance(context.agent, change.instance);
  if (target == nullptr) return;
  if (change.suspect) RecordLost(context, *target);
  membership::SetSuspect(context.agent.view, target->record.id, change.suspect);
  RunDirectory(context, steering::ViewArrived{&context.agent.view});
}

auto WeightOf(const Agent& agent, base::TargetId id) -> double {
  const auto* target = membership::FindTarget(agent.view, id);
  return target == nullptr ? 1.0 : target->weight;
}

// A target that does not answer pings may still answer requests. Therefore only a target that
// refuses datagrams is reported as gone.
auto ReportedRefusals(const Agent& agent) -> std::uint32_t {
  if (agent.target.refused) return kAllRefused;
  if (IsTargetSilent(agent)) return kAllRefused - 1;
  return static_cast<std::uint32_t>(agent.refused_permille);
}

// Without another target that can take a flow, the flow is opened here, so that its client gets an
// error instead of no answer.
auto HasAvailablePeer(const Agent& agent) -> bool {
  const auto& peers = agent.directory.peers;
  return std::any_of(peers.begin(), peers.end(), [](const auto& peer) {
    return !peer.suspect && !peer.draining && peer.load.weight > 0;
  });
}

// A peer that refuses everything has no target. With weight 0 no flow is placed there. Rendezvous
// order, which has to be the same on all instances, uses the view's weight.
auto ApplyPeerLoad(Context& context, const wire::pb::LoadReport& report) -> void {
  RunDirectory(context, steering::PeerLoadArrived{report});
  auto target = base::TargetId{report.target().target()};
  for (auto& peer : context.agent.directory.peers) {
    if (peer.ref.target != target) continue;
    auto gone = report.refused_permille() >= kAllRefused;
    peer.load.weight = gone ? 0 : WeightOf(context.agent, target);
  }
}

auto SendProbe(Context& context, const membership::SendProbe& probe) -> void {
  const auto* to = TunnelOf(context.agent.view, probe.instance);
  if (to == nullptr) return;
  auto header = MakeHeader(context.agent);
  header.mutable_probe()->set_sequence(probe.sequence);
  ++context.agent.counters.probes_sent;
  context.effects.emplace_back(SendTunnel{*to, std::move(header), {}});
}

auto UpdateRefusedShare(Agent& agent, const requests::RequestLoad& busy) -> void {
  auto admitted = busy.admitted - agent.admitted_before;
  auto refused = busy.refused - agent.refused_before;
  agent.admitted_before = busy.admitted;
  agent.refused_before = busy.refused;
  if (admitted + refused == 0) return;
  auto share = kPermille * static_cast<double>(refused) / static_cast<double>(admitted + refused);
  agent.refused_permille = kRefusedDecay * agent.refused_permille + (1 - kRefusedDecay) * share;
}

}  // namespace

auto TunnelOf(const membership::View& view, base::InstanceId instance) -> const base::Endpoint* {
  for (const auto& balancer : view.balancers) {
    if (balancer.instance == instance) return &balancer.tunnel;
  }
  for (const auto& service : view.services) {
    for (const auto& target : service.targets) {
      if (target.record.instance == instance) return &target.record.tunnel;
    }
  }
  return nullptr;
}

auto OnViewChange(Context& context) -> void {
  auto& agent = context.agent;
  ChooseReplyBalancers(agent);
  RemoveGoneBalancers(agent);
  auto peers = PeersToObserve(agent);
  ObservePeers(context, membership::PeersChanged{peers});
  const auto* self = membership::FindTarget(agent.view, agent.record.id);
  if (self != nullptr && self->record.incarnation == agent.record.incarnation) {
    agent.phase = Advance(agent.phase, LifeEvent::kAnnounced);
  }
  RunDirectory(context, steering::ViewArrived{&agent.view});
}

auto ObservePeers(Context& context, const membership::SuspicionEvent& event) -> void {
  auto effects = membership::Step(context.agent.suspicion, event, context.now);
  for (const auto& probe : effects.probes) SendProbe(context, probe);
  for (const auto& change : effects.changes) ApplySuspicion(context, change);
}

auto OnProbe(Context& context, const base::Endpoint& from, const wire::pb::TunnelHeader& probe)
    -> void {
  RecordProbe(context, probe);
  // The notice is sent first, so that the prober knows the incarnation of the answer.
  SendRestartNotice(context, from);
  auto header = MakeHeader(context.agent);
  auto* answer = header.mutable_probe_answer();
  answer->set_sequence(probe.probe().sequence());
  answer->set_draining(context.agent.phase >= Phase::kDraining);
  *answer->add_loads() = steering::OwnLoadReport(context.agent.directory);
  ++context.agent.counters.probes_answered;
  context.effects.emplace_back(SendTunnel{from, std::move(header), {}});
}

auto OnProbeAnswer(Context& context, const wire::pb::TunnelHeader& header) -> void {
  auto peer = PeerRef{{header.sender()}, header.incarnation()};
  RecordProbeAnswer(context, header);
  ObservePeers(context, membership::ProbeAnswered{peer, header.probe_answer().sequence()});
  for (const auto& load : header.probe_answer().loads()) {
    ApplyPeerLoad(context, load);
  }
}

auto RefreshOwnLoad(Context& context) -> void {
  auto& agent = context.agent;
  if (context.now < agent.next_load) return;
  agent.next_load = context.now + agent.policy.load_period;
  auto busy = requests::RequestLoadOf(*agent.requests, context.now);
  UpdateRefusedShare(agent, busy);
  auto load = agent.directory.load;
  load.slots = agent.record.slots;
  load.connections = agent.record.connections;
  // A block-wise transfer is work in progress at the target also between two of its requests.
  load.in_flight = busy.running + busy.queued + busy.transfers;
  load.delay = busy.service_time;
  load.refused_permille = ReportedRefusals(agent);
  RunDirectory(context, steering::OwnLoadChanged{load});
  auto rejects_flows = agent.target.refused && HasAvailablePeer(agent);
  agent.directory.load.weight = rejects_flows ? 0 : WeightOf(agent, agent.record.id);
}

}  // namespace anvildrum::agent
