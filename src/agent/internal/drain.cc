#include "agent/internal/parts.h"

namespace anvildrum::agent {
namespace {

// Safeguard: as long as a home may not know a flow's new owner, or a balancer may still send a
// flow's packets here, this agent forwards them. If it ended at once, those clients would have to
// retransmit.
auto IsEmpty(const Context& context) -> bool {
  const auto& directory = context.agent.directory;
  if (!directory.owned.empty() || !directory.outgoing.empty()) return false;
  if (directory.counters.handed_over == 0) return true;
  return context.now - context.agent.drain_started >= context.agent.policy.drain_linger;
}

auto IsOverdue(const Context& context) -> bool {
  return context.now - context.agent.drain_started >= context.agent.policy.drain_limit;
}

auto Finish(Context& context) -> void {
  context.agent.phase = Advance(context.agent.phase, LifeEvent::kEmpty);
  context.effects.emplace_back(Drained{});
}

// Whether a client still waits for something from here. Otherwise its flow can move unnoticed.
auto HasPendingWork(const Context& context) -> bool {
  auto busy = requests::RequestLoadOf(*context.agent.requests, context.now);
  return busy.running + busy.queued + busy.offered + busy.streams + busy.transfers > 0;
}

// Safeguard: flows that are left at the time limit end with the process, and a stream's client,
// which only listens, would not notice. Each client is told, and the process stays for a
// retransmission.
auto EndRemainingFlows(Context& context) -> void {
  auto& agent = context.agent;
  if (!agent.shutdown_at) {
    auto stay = HasPendingWork(context) ? agent.policy.shutdown_grace : base::Duration::zero();
    agent.shutdown_at = context.now + stay;
    EndAllFlows(context);
  }
  if (context.now >= *agent.shutdown_at) Finish(context);
}

}  // namespace

auto CheckDrain(Context& context) -> void {
  if (context.agent.phase != Phase::kDraining) return;
  if (context.agent.shutdown_at || (IsOverdue(context) && !IsEmpty(context))) {
    return EndRemainingFlows(context);
  }
  if (IsEmpty(context)) Finish(context);
}

}  // namespace anvildrum::agent
