#include <algorithm>

#include "agent/internal/parts.h"
#include "wire/convert.h"

namespace anvildrum::agent {
namespace {

using membership::BalancerRecord;

auto RankOf(const Agent& agent, const BalancerRecord& balancer) -> std::pair<bool, std::uint64_t> {
  auto elsewhere = balancer.failure_domain != agent.record.failure_domain;
  auto mixed = agent.record.id.value ^ (balancer.instance.value * 0x9e3779b97f4a7c15ULL);
  return {elsewhere, mixed * 0xbf58476d1ce4e5b9ULL};
}

auto IsFresh(const Context& context, const base::FlowKey& flow) -> bool {
  auto found = context.agent.directory.owned.find(flow);
  if (found == context.agent.directory.owned.end()) return false;
  return context.now - found->second.last_from_client < context.agent.policy.route_ttl;
}

// Safeguard: a target notifies all its streams at once. With a single counter for the agent, and as
// many streams as balancers or a multiple of that, each stream would get the same balancer every
// time, and would fail for as long as that balancer cannot reach its clients. Therefore each flow
// has its own counter; the stamp of its opening starts flows at different balancers.
auto TurnOf(Context& context, const base::FlowKey& flow) -> std::uint64_t {
  auto found = context.agent.directory.owned.find(flow);
  if (found == context.agent.directory.owned.end()) return context.agent.reply_rotation++;
  return found->second.stamp + found->second.reply_rotation++;
}

auto EndedFlowRoute(Context& context, const base::FlowKey& flow) -> std::optional<base::Endpoint> {
  auto& agent = context.agent;
  if (agent.directory.fenced || !agent.ended_flows.contains(flow)) return std::nullopt;
  if (const auto* entry = NextLiveBalancer(context, agent.reply_rotation++)) return entry->tunnel;
  // No balancer has been heard. This agent itself may be disconnected, and trying costs nothing.
  if (agent.reply_balancers.empty()) return std::nullopt;
  return agent.reply_balancers.front().tunnel;
}

// Safeguard: a stream may run for an hour without a packet from its client. In that time the
// balancer of the client's last packet may die or lose its route to the clients, and the client
// would receive no further notification. A route without a recent client packet is therefore not
// trusted: such replies take turns over balancers that are known to be alive. A dead one is left
// out when its last probe is too old, and one that has only lost its clients carries a share of the
// notifications, not all of them.
auto RouteOf(Context& context, const base::FlowKey& flow) -> std::optional<base::Endpoint> {
  auto& agent = context.agent;
  auto last = steering::ReplyRoute(agent.directory, flow, context.now);
  if (!last) return EndedFlowRoute(context, flow);
  if (IsFresh(context, flow) && !IsOverdue(context, *last)) return last;
  const auto* other = NextLiveBalancer(context, TurnOf(context, flow));
  return other == nullptr ? last : std::optional(other->tunnel);
}

}  // namespace

auto ChooseReplyBalancers(Agent& agent) -> void {
  auto chosen = agent.view.balancers;
  std::sort(chosen.begin(), chosen.end(), [&](const auto& left, const auto& right) {
    return RankOf(agent, left) < RankOf(agent, right);
  });
  if (chosen.size() > agent.policy.reply_balancers) chosen.resize(agent.policy.reply_balancers);
  agent.reply_balancers = std::move(chosen);
}

auto SendReply(Context& context, const base::FlowKey& flow, wire::Bytes payload) -> void {
  auto route = RouteOf(context, flow);
  if (!route) {
    ++context.agent.counters.replies_dropped;
    return;
  }
  auto header = MakeHeader(context.agent);
  auto* reply = header.mutable_reply();
  wire::WriteFlow(flow, *reply->mutable_flow());
  auto trace = context.agent.traces.find(flow);
  if (trace != context.agent.traces.end()) reply->set_trace_id(trace->second.trace_id);
  ++context.agent.counters.replies;
  context.effects.emplace_back(SendTunnel{*route, std::move(header), std::move(payload)});
}

}  // namespace anvildrum::agent
