#include <algorithm>

#include "agent/internal/parts.h"

// Balancers that monitor this agent probe it anyway, so their probes tell which balancers live
// without a question of the agent's own: the agents' probes were half of a balancer's control bytes
// at the letter's size (docs/CAPACITY.md, reply_probe_bytes).
namespace anvildrum::agent {
namespace {

using wire::pb::TunnelHeader;

// Of the longest time between probes when shorter ones follow: a fleet that shrank probes faster.
constexpr auto kPeriodMemory = 8;

auto SenderOf(const Agent& agent, const TunnelHeader& header) -> const membership::BalancerRecord* {
  const auto& balancers = agent.view.balancers;
  auto found = std::find_if(balancers.begin(), balancers.end(), [&](const auto& balancer) {
    return balancer.instance.value == header.sender() &&
           balancer.incarnation == header.incarnation();
  });
  return found == balancers.end() ? nullptr : &*found;
}

auto SignOf(ReplyLiveness& known, const membership::BalancerRecord& balancer) -> BalancerLiveness& {
  auto& signs = known.signs;
  auto found = std::find_if(signs.begin(), signs.end(),
                            [&](const auto& sign) { return sign.instance == balancer.instance; });
  auto fresh = BalancerLiveness{balancer.instance, balancer.incarnation, balancer.tunnel};
  if (found == signs.end()) return signs.emplace_back(fresh);
  if (found->incarnation != balancer.incarnation) *found = fresh;
  return *found;
}

auto LearnPeriod(BalancerLiveness& sign, base::TimePoint now) -> void {
  if (sign.probed != base::TimePoint{}) {
    auto faded = sign.period - sign.period / kPeriodMemory;
    sign.period = std::max<base::Duration>(now - sign.probed, faded);
  }
  sign.probed = now;
}

auto LastHeard(const ReplyLiveness& known) -> const BalancerLiveness* {
  auto last = std::ranges::max_element(known.signs, {}, &BalancerLiveness::heard);
  return last == known.signs.end() ? nullptr : &*last;
}

auto HasFreshSign(const Context& context) -> bool {
  const auto* last = LastHeard(context.agent.reply_liveness);
  return last != nullptr && context.now - last->heard < context.agent.policy.liveness_period;
}

// Not the one that was heard last: it is what is in doubt, and another one's answer settles it.
auto NextToAsk(Agent& agent) -> const membership::BalancerRecord* {
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

// Safeguard: what goes from here to the balancer may be lost while its probes arrive; replies by it
// would vanish. It tells that it misses this agent's answers, and its probe is then no sign.
auto NoteProbed(Context& context, const TunnelHeader& header) -> void {
  const auto* balancer = SenderOf(context.agent, header);
  if (balancer == nullptr || header.probe().unheard()) return;
  auto& sign = SignOf(context.agent.reply_liveness, *balancer);
  LearnPeriod(sign, context.now);
  sign.heard = context.now;
}

auto NoteAnswered(Context& context, const TunnelHeader& header) -> void {
  auto& known = context.agent.reply_liveness;
  const auto* balancer = SenderOf(context.agent, header);
  if (balancer == nullptr || header.probe_answer().sequence() != known.sequence) return;
  SignOf(known, *balancer).heard = context.now;
}

auto AskForSign(Context& context) -> void {
  auto& agent = context.agent;
  auto& known = agent.reply_liveness;
  if (context.now < known.next_probe || HasFreshSign(context)) return;
  const auto* balancer = NextToAsk(agent);
  if (balancer == nullptr) return;
  known.next_probe = context.now + agent.policy.liveness_period;
  auto header = MakeHeader(agent);
  header.mutable_probe()->set_sequence(++known.sequence);
  ++agent.counters.probes_sent;
  context.effects.emplace_back(SendTunnel{balancer->tunnel, std::move(header), {}});
}

auto ForgetSigns(Agent& agent) -> void {
  const auto& balancers = agent.view.balancers;
  std::erase_if(agent.reply_liveness.signs, [&](const auto& sign) {
    return std::ranges::find(balancers, sign.instance, &membership::BalancerRecord::instance) ==
           balancers.end();
  });
}

auto NextBySign(const Context& context, std::uint64_t turn) -> const BalancerLiveness* {
  const auto& agent = context.agent;
  const auto& signs = agent.reply_liveness.signs;
  for (auto i = std::size_t{0}; i < signs.size(); ++i) {
    const auto& sign = signs[(turn + i) % signs.size()];
    if (context.now - sign.heard < agent.policy.liveness_period) return &sign;
  }
  return LastHeard(agent.reply_liveness);
}

auto IsOverdue(const Context& context, const base::Endpoint& tunnel) -> bool {
  const auto& signs = context.agent.reply_liveness.signs;
  auto sign = std::ranges::find(signs, tunnel, &BalancerLiveness::tunnel);
  if (sign == signs.end() || sign->period == base::Duration::zero()) return false;
  return context.now - sign->heard > sign->period + context.agent.policy.liveness_margin;
}

}  // namespace anvildrum::agent
