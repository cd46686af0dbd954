#include "agent/internal/parts.h"

namespace anvildrum::agent {
namespace {

// Safeguard: as long as a home may not know a flow's new owner, or a balancer may still send a
// flow's packets here, this agent passes them on. Ended at once, it would leave those clients to
// their retransmissions.
auto IsEmpty(const Context& context) -> bool {
  const auto& directory = context.agent.directory;
  if (!directory.owned.empty() || !directory.outgoing.empty()) return false;
  if (directory.counters.handed_over == 0) return true;
  return context.now - context.agent.drain_started >= context.agent.policy.drain_linger;
}

auto IsOverdue(const Context& context) -> bool {
  return context.now - context.agent.drain_started >= context.agent.policy.drain_limit;
}

}  // namespace

auto CheckDrain(Context& context) -> void {
  auto& agent = context.agent;
  if (agent.phase != Phase::kDraining) return;
  if (!IsEmpty(context) && !IsOverdue(context)) return;
  agent.phase = Advance(agent.phase, LifeEvent::kEmpty);
  context.effects.emplace_back(Drained{});
}

}  // namespace anvildrum::agent
