#include <algorithm>

#include "agent/internal/parts.h"

// Balancers that monitor this agent probe it anyway, so their probes show which balancers are alive
// without probes by the agent. Probes by agents were half of a balancer's control bytes at the
// required size (docs/CAPACITY.md, reply_probe_bytes).
namespace anvildrum::agent {
namespace {

using wire::pb::TunnelHeader;

// Divisor of the decay of the longest probe interval. The decay follows a fleet that has shrunk and
// probes faster.
constexpr auto kProbeIntervalDecay = 8;

auto SenderOf(const Agent& agent, const TunnelHeader& header) -> const membership::BalancerRecord* {
  const auto& balancers = agent.view.balancers;
  auto found = std::find_if(balancers.begin(), balancers.end(), [&](const auto& balancer) {
    return balancer.instance.value == header.sender() &&
           balancer.incarnation == header.incarnation();
  });
  return found == balancers.end() ? nullptr : &*found;
}

auto LivenessOf(ReplyLiveness& known, const membership::BalancerRecord& balancer)
    -> BalancerLiveness& {
  auto& entries = known.entries;
  auto found = std::find_if(entries.begin(), entries.end(),
                            [&](const auto& entry) { return entry.instance == balancer.instance; });
  auto fresh = BalancerLiveness{balancer.instance, balancer.incarnation, balancer.tunnel};
  if (found == entries.end()) return entries.emplace_back(fresh);
  if (found->incarnation != balancer.incarnation) *found = fresh;
  return *found;
}

auto UpdateProbeInterval(BalancerLiveness& entry, base::TimePoint now) -> void {
  if (entry.last_probe != base::TimePoint{}) {
    auto decayed = entry.probe_interval - entry.probe_interval / kProbeIntervalDecay;
    entry.probe_interval = std::max<base::Duration>(now - entry.last_probe, decayed);
  }
  entry.last_probe = now;
}

auto LastHeard(const ReplyLiveness& known) -> const BalancerLiveness* {
  auto last = std::ranges::max_element(known.entries, {}, &BalancerLiveness::last_heard);
  return last == known.entries.end() ? nullptr : &*last;
}

auto HasLiveBalancer(const Context& context) -> bool {
  const auto* last = LastHeard(context.agent.reply_liveness);
  return last != nullptr && context.now - last->last_heard < context.agent.policy.liveness_period;
}

// Skips the balancer that was heard last: its liveness is in doubt, and another one's answer
// settles it.
auto NextToProbe(Agent& agent) -> const membership::BalancerRecord* {
  auto& known = agent.reply_liveness;
  const auto& balancers = agent.reply_balancers;
  const auto* last = LastHeard(known);
  for (auto i = std::size_t{0}; i < balancers.size(); ++i) {
    const auto& balancer = balancers[known.turn++ % balancers.size()];
    if (last == nullptr || balancer.instance != last->instance) return &balancer;
  }
  return balancers.empty() ? nullptr : &balancers.front();
}

}  // namespace

// Safeguard: datagrams to the balancer may be lost while its probes arrive, and replies through it
// would be lost as well. In that case its probe says that it misses this agent's answers, and does
// not count.
auto RecordProbe(Context& context, const TunnelHeader& header) -> void {
  const auto* balancer = SenderOf(context.agent, header);
  if (balancer == nullptr || header.probe().unheard()) return;
  auto& entry = LivenessOf(context.agent.reply_liveness, *balancer);
  UpdateProbeInterval(entry, context.now);
  entry.last_heard = context.now;
}

auto RecordProbeAnswer(Context& context, const TunnelHeader& header) -> void {
  auto& known = context.agent.reply_liveness;
  const auto* balancer = SenderOf(context.agent, header);
  if (balancer == nullptr || header.probe_answer().sequence() != known.sequence) return;
  LivenessOf(known, *balancer).last_heard = context.now;
}

auto ProbeReplyBalancer(Context& context) -> void {
  auto& agent = context.agent;
  auto& known = agent.reply_liveness;
  if (context.now < known.next_probe || HasLiveBalancer(context)) return;
  const auto* balancer = NextToProbe(agent);
  if (balancer == nullptr) return;
  known.next_probe = context.now + agent.policy.liveness_period;
  auto header = MakeHeader(agent);
  header.mutable_probe()->set_sequence(++known.sequence);
  ++agent.counters.probes_sent;
  context.effects.emplace_back(SendTunnel{balancer->tunnel, std::move(header), {}});
}

auto RemoveGoneBalancers(Agent& agent) -> void {
  const auto& balancers = agent.view.balancers;
  std::erase_if(agent.reply_liveness.entries, [&](const auto& entry) {
    return std::ranges::find(balancers, entry.instance, &membership::BalancerRecord::instance) ==
           balancers.end();
  });
}

auto NextLiveBalancer(const Context& context, std::uint64_t turn) -> const BalancerLiveness* {
  const auto& agent = context.agent;
  const auto& entries = agent.reply_liveness.entries;
  for (auto i = std::size_t{0}; i < entries.size(); ++i) {
    const auto& entry = entries[(turn + i) % entries.size()];
    if (context.now - entry.last_heard < agent.policy.liveness_period) return &entry;
  }
  return LastHeard(agent.reply_liveness);
}

auto IsOverdue(const Context& context, const base::Endpoint& tunnel) -> bool {
  const auto& entries = context.agent.reply_liveness.entries;
  auto entry = std::ranges::find(entries, tunnel, &BalancerLiveness::tunnel);
  if (entry == entries.end() || entry->probe_interval == base::Duration::zero()) return false;
  return context.now - entry->last_heard >
         entry->probe_interval + context.agent.policy.liveness_margin;
}

}  // namespace anvildrum::agent
