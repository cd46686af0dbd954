#include "balancer/monitor.h"

#include "balancer/internal/monitors.h"

namespace anvildrum::balancer {
namespace {

using membership::PeerRef;
using membership::TargetRecord;

struct MonitorContext {
  Monitor& monitor;
  base::TimePoint now;
  MonitorEffects effects;
};

auto RecordOf(const Monitor& monitor, base::InstanceId instance) -> const TargetRecord* {
  for (const auto& service : monitor.view.services) {
    for (const auto& target : service.targets) {
      if (target.record.instance == instance) return &target.record;
    }
  }
  return nullptr;
}

auto BalancerOf(const Monitor& monitor, base::InstanceId instance)
    -> const membership::BalancerRecord* {
  for (const auto& balancer : monitor.view.balancers) {
    if (balancer.instance == instance) return &balancer;
  }
  return nullptr;
}

auto TunnelOf(const Monitor& monitor, base::InstanceId instance) -> const base::Endpoint* {
  if (const auto* balancer = BalancerOf(monitor, instance)) return &balancer->tunnel;
  const auto* record = RecordOf(monitor, instance);
  return record == nullptr ? nullptr : &record->tunnel;
}

auto MakeHeader(const Monitor& monitor) -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(monitor.self.value);
  header.set_incarnation(monitor.incarnation);
  return header;
}

auto ReportChange(MonitorContext& context, const membership::SuspectChanged& change) -> void {
  auto& effects = context.effects;
  if (const auto* balancer = BalancerOf(context.monitor, change.instance)) {
    effects.balancer_changes.push_back({*balancer, change.suspect});
    return;
  }
  const auto* record = RecordOf(context.monitor, change.instance);
  if (record != nullptr) effects.changes.push_back({*record, change.suspect});
}

auto Observe(MonitorContext& context, const membership::SuspicionEvent& event) -> void {
  auto& monitor = context.monitor;
  auto observed = membership::Step(monitor.suspicion, event, context.now);
  for (const auto& probe : observed.probes) {
    const auto* to = TunnelOf(monitor, probe.instance);
    if (to == nullptr) continue;
    auto header = MakeHeader(monitor);
    header.mutable_probe()->set_sequence(probe.sequence);
    const auto* peer = membership::FindPeer(monitor.suspicion, probe.instance);
    auto unheard = peer != nullptr && (peer->suspect || peer->misses > 0);
    header.mutable_probe()->set_unheard(unheard);
    ++monitor.probes_sent;
    context.effects.sends.push_back({*to, std::move(header)});
  }
  for (const auto& change : observed.changes) ReportChange(context, change);
}

auto SuspectsOf(const Monitor& monitor) -> std::vector<base::InstanceId> {
  auto suspects = std::vector<base::InstanceId>{};
  for (const auto& peer : monitor.suspicion.peers) {
    if (peer.suspect) suspects.push_back(peer.instance);
  }
  return suspects;
}

// Returns 0 if the view has no record of the instance.
auto RevisionOf(const Monitor& monitor, base::InstanceId instance) -> std::uint64_t {
  if (const auto* balancer = BalancerOf(monitor, instance)) return balancer->revision;
  const auto* record = RecordOf(monitor, instance);
  return record == nullptr ? 0 : record->revision;
}

/// Repeats or withdraws the report of an instance after its record has changed, or after other
/// balancers have become its monitors.
///
/// Safeguard: an agent writes its record again (it drains) and dies in the same second, and was
/// suspect before. Without a new report, the last one would name the earlier revision, which no
/// conditional delete can match, and the record of a dead target would stay forever. A suspect may
/// also get other monitors. Without a withdrawal, this balancer would suspect it forever, and three
/// such stale reports remove the record of a live target.
auto RepeatReport(MonitorContext& context, base::InstanceId instance, std::uint64_t revision_before)
    -> void {
  auto& monitor = context.monitor;
  auto revision = RevisionOf(monitor, instance);
  if (revision == 0) return;
  const auto* peer = membership::FindPeer(monitor.suspicion, instance);
  auto suspect = peer != nullptr && peer->suspect;
  auto has_changed = suspect == (revision != revision_before);
  if (peer == nullptr || has_changed) ReportChange(context, {instance, suspect});
}

auto Handle(MonitorContext& context, const MonitorView& event) -> void {
  auto& monitor = context.monitor;
  auto suspects = SuspectsOf(monitor);
  auto revisions = std::vector<std::uint64_t>{};
  for (auto suspect : suspects) revisions.push_back(RevisionOf(monitor, suspect));
  monitor.view = *event.view;
  auto peers = PeersToProbe(monitor);
  Observe(context, membership::PeersChanged{peers});
  for (auto i = std::size_t{0}; i < suspects.size(); ++i) {
    RepeatReport(context, suspects[i], revisions[i]);
  }
}

auto Handle(MonitorContext& context, const MonitorMessage& event) -> void {
  const auto& header = *event.header;
  auto sender = PeerRef{{header.sender()}, header.incarnation()};
  if (header.has_probe_answer()) {
    Observe(context, membership::ProbeAnswered{sender, header.probe_answer().sequence()});
    return;
  }
  Observe(context, membership::Heard{sender});
  if (!header.has_probe()) return;
  auto answer = MakeHeader(context.monitor);
  answer.mutable_probe_answer()->set_sequence(header.probe().sequence());
  ++context.monitor.probes_answered;
  context.effects.sends.push_back({event.from, std::move(answer)});
}

auto Handle(MonitorContext& context, const MonitorTimer&) -> void {
  Observe(context, membership::SuspicionTimer{});
}

}  // namespace

auto Step(Monitor& monitor, const MonitorEvent& event, base::TimePoint now) -> MonitorEffects {
  auto context = MonitorContext{monitor, now, {}};
  std::visit([&](const auto& kind) { Handle(context, kind); }, event);
  return std::move(context.effects);
}

}  // namespace anvildrum::balancer
