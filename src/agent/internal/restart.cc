// Restart of a target while its agent cannot reach the platform. The platform's record of its
// earlier process is in force at every peer. The agent serves under that record with an incarnation
// of its own, and notifies peers and balancers itself. docs/design/platform.md discusses this.
#include <algorithm>

#include "agent/internal/parts.h"

namespace anvildrum::agent {
namespace {

using membership::TargetRecord;

// Peers come first because they place flows. Balancers send packets to the same address either way;
// they learn that the process answers.
auto NoticeReceivers(const Agent& agent) -> std::vector<base::Endpoint> {
  auto listeners = std::vector<base::Endpoint>{};
  for (const auto& peer : agent.directory.peers) listeners.push_back(peer.tunnel);
  for (const auto& balancer : agent.view.balancers) listeners.push_back(balancer.tunnel);
  return listeners;
}

}  // namespace

auto RestartOf(const TargetRecord& in_force, const TargetRecord& own, base::Incarnation start)
    -> std::optional<TargetRecord> {
  auto same = in_force.id == own.id && in_force.instance == own.instance &&
              in_force.service == own.service && in_force.tunnel == own.tunnel &&
              in_force.failure_domain == own.failure_domain;
  if (!same) return std::nullopt;
  auto record = own;
  record.incarnation = std::max(start, in_force.incarnation + 1);
  record.revision = in_force.revision;
  return record;
}

auto SendRestartNotice(Context& context, const base::Endpoint& to) -> void {
  const auto& agent = context.agent;
  if (!agent.provisional) return;
  auto header = MakeHeader(agent);
  auto& notice = *header.mutable_restart_notice();
  notice.mutable_target()->set_target(agent.record.id.value);
  notice.mutable_target()->set_incarnation(agent.record.incarnation);
  notice.set_service(agent.record.service.value);
  notice.set_revision(agent.record.revision);
  context.effects.emplace_back(SendTunnel{to, std::move(header), {}});
}

auto SendNextRestartNotice(Context& context) -> void {
  auto& agent = context.agent;
  if (!agent.provisional || context.now < agent.next_notice) return;
  agent.next_notice = context.now + agent.policy.restart_notice_period;
  auto listeners = NoticeReceivers(agent);
  if (listeners.empty()) return;
  SendRestartNotice(context, listeners[agent.next_notified++ % listeners.size()]);
}

auto OnRestartNotice(Context& context, const base::Endpoint& from,
                     const wire::pb::RestartNotice& notice) -> void {
  auto& agent = context.agent;
  auto id = base::TargetId{notice.target().target()};
  const auto* known = membership::FindTarget(agent.view, id);
  if (known == nullptr || id == agent.record.id) return;
  auto before = *known;
  auto restart = membership::Restart{
      id, {notice.service()}, notice.target().incarnation(), notice.revision(), from};
  auto applied = membership::ApplyRestart(agent.view, restart, context.now);
  if (applied != membership::Applied::kChanged) return;
  RecordLost(context, before);
  OnViewChange(context);
}

auto ResolveOwnRecord(Agent& agent, const TargetRecord& record) -> TargetRecord {
  if (!agent.provisional || record.id != agent.record.id) return record;
  if (record.revision <= agent.record.revision) return agent.record;
  agent.provisional = false;
  return record;
}

}  // namespace anvildrum::agent
