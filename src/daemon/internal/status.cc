#include "daemon/internal/status.h"

#include <nlohmann/json.hpp>

#include "daemon/internal/records.h"
#include "membership/codec.h"

namespace anvildrum::daemon {
namespace {

using nlohmann::json;

auto RemoveTarget(const relay::PlatformObject& object, membership::View& view) -> void {
  auto id = base::TargetIdOf(NameOfKey(object.key));
  const auto* known = membership::FindTarget(view, id);
  if (known == nullptr || membership::KeyOf(known->record) != object.key) return;
  membership::RemoveRecord(view, id, known->record.incarnation, object.revision);
}

auto RemoveBalancer(const relay::PlatformObject& object, membership::View& view) -> void {
  auto instance = base::InstanceIdOf(NameOfKey(object.key));
  for (const auto& known : view.balancers) {
    if (known.instance != instance) continue;
    membership::RemoveBalancer(view, instance, known.incarnation);
    return;
  }
}

auto ApplyTarget(const relay::PlatformObject& object, membership::View& view, base::TimePoint now)
    -> bool {
  if (object.deleted) {
    RemoveTarget(object, view);
    return true;
  }
  auto record = membership::ParseTargetRecord(object.key, object.revision, object.value);
  if (!record) return false;
  return membership::ApplyRecord(view, *record, now) != membership::Applied::kStale;
}

auto ApplyBalancerObject(const relay::PlatformObject& object, membership::View& view) -> bool {
  if (object.deleted) {
    RemoveBalancer(object, view);
    return true;
  }
  auto record = membership::ParseBalancerRecord(object.key, object.revision, object.value);
  if (!record) return false;
  return membership::ApplyBalancer(view, *record) != membership::Applied::kStale;
}

auto TargetsJson(const membership::View& view) -> json {
  auto targets = json::array();
  for (const auto& service : view.services) {
    for (const auto& target : service.targets) {
      targets.push_back({{"name", target.record.name},
                         {"service", target.record.service_name},
                         {"incarnation", target.record.incarnation},
                         {"suspect", target.suspect},
                         {"draining", target.draining}});
    }
  }
  return targets;
}

auto CommonStatus(const Runtime& runtime, const relay::State& relay, std::uint64_t number) -> json {
  return {{"instance", runtime.settings.name},
          {"failure_domain", runtime.settings.failure_domain},
          {"number", number},
          {"revision", relay.store.horizon},
          {"relay_root", relay.root},
          {"refused_stale",
           relay.counters.refused_stale_revision + relay.counters.refused_stale_number}};
}

}  // namespace

auto ApplyObject(const relay::PlatformObject& object, membership::View& view, base::TimePoint now)
    -> bool {
  if (object.key.starts_with(membership::kTargetPrefix)) return ApplyTarget(object, view, now);
  if (object.key.starts_with(membership::kBalancerPrefix)) return ApplyBalancerObject(object, view);
  return true;
}

auto BalancerStatus(const Runtime& runtime, const balancer::Balancer& balancer,
                    const relay::State& relay) -> std::string {
  auto status = CommonStatus(runtime, relay, balancer.config_number);
  status["role"] = "balancer";
  status["flows"] = balancer.flows.size;
  status["draining"] = balancer.phase == balancer::Phase::kStopping;
  status["ready"] = balancer.phase == balancer::Phase::kReady;
  status["targets"] = TargetsJson(balancer.view);
  return status.dump();
}

auto AgentStatus(const Runtime& runtime, const agent::Agent& agent, const relay::State& relay)
    -> std::string {
  auto status = CommonStatus(runtime, relay, agent.config_number);
  status["role"] = "agent";
  status["target"] = agent.record.name;
  status["service"] = agent.record.service_name;
  status["flows"] = agent.directory.owned.size();
  status["draining"] = agent.phase >= agent::Phase::kDraining;
  status["ready"] = agent.phase == agent::Phase::kServing;
  status["settled"] = steering::IsSettled(agent.directory);
  status["provisional"] = agent.provisional;
  auto busy = requests::RequestLoadOf(*agent.requests, Now());
  status["running"] = busy.running;
  status["queued"] = busy.queued;
  status["streams"] = busy.streams;
  status["targets"] = TargetsJson(agent.view);
  return status.dump();
}

}  // namespace anvildrum::daemon
