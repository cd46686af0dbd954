#include "agent/internal/parts.h"

namespace anvildrum::agent {
namespace {

// An empty confirmable message, which any CoAP endpoint answers with a reset (RFC 7252, 4.3).
constexpr auto kPing = std::uint8_t{0x40};
constexpr auto kByteBits = 8U;

auto PingBytes(std::uint16_t message_id) -> wire::Bytes {
  return {kPing, 0, static_cast<std::uint8_t>(message_id >> kByteBits),
          static_cast<std::uint8_t>(message_id)};
}

}  // namespace

// Safeguard: when the target is dead, a stream's client, which sends nothing itself, would not
// notice. Every flow that is served here has ended with the target, so its requests and streams get
// their outcome now.
auto EndAllFlows(Context& context) -> void {
  auto flows = std::vector<base::FlowKey>{};
  for (const auto& [flow, owned] : context.agent.directory.owned) {
    if (!owned.closing) flows.push_back(flow);
  }
  for (const auto& flow : flows) RunRequests(context, requests::TargetUnreachable{flow});
}

auto PingFlow(const Agent& agent) -> base::FlowKey {
  return {base::Endpoint{}, agent.record.service};
}

auto IsTargetSilent(const Agent& agent) -> bool {
  return agent.target.unanswered >= agent.policy.silent_pings;
}

auto PingTarget(Context& context) -> void {
  auto& watch = context.agent.target;
  if (context.now < watch.next_ping) return;
  watch.next_ping = context.now + context.agent.policy.ping_period;
  ++watch.unanswered;
  auto message_id = static_cast<std::uint16_t>(watch.unanswered);
  context.effects.emplace_back(SendTarget{PingFlow(context.agent), PingBytes(message_id)});
}

auto OnTargetHeard(Context& context) -> void {
  context.agent.target.unanswered = 0;
  context.agent.target.refused = false;
}

// Safeguard: an agent beside a dead target answers probes and appears idle, so that new flows would
// be placed there first. It reports that it refuses everything, and takes no flow until the target
// answers again.
auto OnTargetRefused(Context& context) -> void {
  auto& watch = context.agent.target;
  if (watch.refused) return;
  watch.refused = true;
  ++context.agent.counters.target_losses;
  context.agent.next_load = {};
  RefreshOwnLoad(context);
  EndAllFlows(context);
}

}  // namespace anvildrum::agent
