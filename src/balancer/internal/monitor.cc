#include "balancer/monitor.h"

#include <algorithm>

namespace anvildrum::balancer {
namespace {

using membership::BalancerRecord;
using membership::PeerRef;
using membership::TargetRecord;

struct MonitorContext {
  Monitor& monitor;
  base::TimePoint now;
  MonitorEffects effects;
};

constexpr auto kMix = std::uint64_t{0x9e3779b97f4a7c15};

auto MonitorRank(base::InstanceId balancer, base::InstanceId agent) -> std::uint64_t {
  auto mixed = (balancer.value ^ (agent.value * kMix)) * kMix;
  return mixed ^ (mixed >> 29U);
}

// Whether this balancer is one of the observed one's monitors: among the first by rank of the other
// balancers in its failure domain, or of all others where that domain has none.
template <typename Record>
auto IsMonitorOf(const Monitor& monitor, const Record& record) -> bool {
  auto in_domain = [&](const auto& balancer) {
    return balancer.failure_domain == record.failure_domain && balancer.instance != record.instance;
  };
  const auto& balancers = monitor.view.balancers;
  auto local = std::any_of(balancers.begin(), balancers.end(), in_domain);
  if (local && monitor.failure_domain != record.failure_domain) return false;
  auto own = MonitorRank(monitor.self, record.instance);
  auto better = std::count_if(balancers.begin(), balancers.end(), [&](const auto& balancer) {
    return (!local || in_domain(balancer)) && balancer.instance != record.instance &&
           MonitorRank(balancer.instance, record.instance) < own;
  });
  return static_cast<std::size_t>(better) < monitor.policy.monitors;
}

auto CountTargets(const membership::View& view) -> std::size_t {
  auto count = std::size_t{0};
  for (const auto& service : view.services) count += service.targets.size();
  return count;
}

auto AgentsToProbe(const Monitor& monitor) -> std::vector<PeerRef> {
  auto all = CountTargets(monitor.view) <= monitor.policy.probe_all_up_to;
  auto peers = std::vector<PeerRef>{};
  for (const auto& service : monitor.view.services) {
    for (const auto& target : service.targets) {
      const auto& record = target.record;
      if (!all && !IsMonitorOf(monitor, record)) continue;
      peers.push_back({record.instance, record.incarnation});
    }
  }
  return peers;
}

// Failure: a balancer dies, or stops while the platform is away, and one of another name takes its
// place. Symptom without this: its record stays for ever, and everyone goes on asking it.
auto BalancersToProbe(const Monitor& monitor) -> std::vector<PeerRef> {
  const auto& balancers = monitor.view.balancers;
  auto all = balancers.size() <= monitor.policy.probe_all_up_to;
  auto peers = std::vector<PeerRef>{};
  for (const auto& record : balancers) {
    if (record.instance == monitor.self) continue;
    if (all || IsMonitorOf(monitor, record)) peers.push_back({record.instance, record.incarnation});
  }
  return peers;
}

auto BalancerOf(const Monitor& monitor, base::InstanceId instance) -> const BalancerRecord* {
  const auto& balancers = monitor.view.balancers;
  auto found = std::find_if(balancers.begin(), balancers.end(),
                            [&](const auto& record) { return record.instance == instance; });
  return found == balancers.end() ? nullptr : &*found;
}

auto RecordOf(const Monitor& monitor, base::InstanceId instance) -> const TargetRecord* {
  for (const auto& service : monitor.view.services) {
    for (const auto& target : service.targets) {
      if (target.record.instance == instance) return &target.record;
    }
  }
  return nullptr;
}

auto MakeHeader(const Monitor& monitor) -> wire::pb::TunnelHeader {
  auto header = wire::pb::TunnelHeader{};
  header.set_sender(monitor.self.value);
  header.set_incarnation(monitor.incarnation);
  return header;
}

auto Observe(MonitorContext& context, const membership::SuspicionEvent& event) -> void {
  auto& monitor = context.monitor;
  auto observed = membership::Step(monitor.suspicion, event, context.now);
  for (const auto& probe : observed.probes) {
    const auto* record = RecordOf(monitor, probe.instance);
    const auto* balancer = BalancerOf(monitor, probe.instance);
    if (record == nullptr && balancer == nullptr) continue;
    auto header = MakeHeader(monitor);
    header.mutable_probe()->set_sequence(probe.sequence);
    ++monitor.probes_sent;
    const auto& tunnel = record != nullptr ? record->tunnel : balancer->tunnel;
    context.effects.sends.push_back({tunnel, std::move(header)});
  }
  for (const auto& change : observed.changes) {
    const auto* record = RecordOf(monitor, change.instance);
    if (record != nullptr) context.effects.changes.push_back({*record, change.suspect});
    const auto* balancer = BalancerOf(monitor, change.instance);
    if (balancer == nullptr) continue;
    context.effects.balancer_changes.push_back({*balancer, change.suspect});
  }
}

auto Handle(MonitorContext& context, const MonitorView& event) -> void {
  context.monitor.view = *event.view;
  auto peers = AgentsToProbe(context.monitor);
  auto balancers = BalancersToProbe(context.monitor);
  peers.insert(peers.end(), balancers.begin(), balancers.end());
  Observe(context, membership::PeersChanged{peers});
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
