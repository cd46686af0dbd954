#include "agent/internal/parts.h"

namespace anvildrum::agent {
namespace {

auto IsEmpty(const Context& context) -> bool { return context.agent.directory.owned.empty(); }

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
