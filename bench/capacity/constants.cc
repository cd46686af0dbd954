#include "constants.h"

#include "agent/types/agent_policy.h"
#include "balancer/balancer.h"
#include "balancer/monitor.h"
#include "config/types/configuration.h"
#include "membership/suspicion.h"
#include "platform/client.h"
#include "relay/types/settings.h"
#include "requests/types/parameters.h"
#include "steering/types/directory_types.h"

namespace anvildrum::capacity {
namespace {

auto Seconds(base::Duration duration) -> double {
  return std::chrono::duration<double>(duration).count();
}

auto RelayConstants() -> std::vector<Constant> {
  auto policy = relay::RelayPolicy{};
  auto source = std::string("relay::RelayPolicy");
  return {{"fan_out", static_cast<double>(policy.fan_out), source},
          {"watchers_per_domain", static_cast<double>(policy.watchers_per_domain), source},
          {"relay_period_s", Seconds(policy.heartbeat), source},
          {"relay_slow_period_s", Seconds(policy.slow_heartbeat), source},
          {"relay_timeout_s", Seconds(policy.parent_timeout), source},
          {"relay_timeout_hop_s", Seconds(policy.timeout_per_hop), source},
          {"relay_answer_s", Seconds(policy.answer_timeout), source},
          {"watch_s", Seconds(policy.watch_timeout), source},
          {"quorum", static_cast<double>(policy.suspicion_quorum), source},
          {"suspicion_hold_s", Seconds(policy.suspicion_hold), source},
          {"suspicion_repeat_s", Seconds(policy.suspicion_repeat), source},
          {"suspicion_escalate_s", Seconds(policy.suspicion_escalate), source},
          {"clearers_of_next", static_cast<double>(policy.clearers_of_next), source},
          {"delete_period_s", Seconds(policy.delete_interval), source}};
}

auto SteeringConstants() -> std::vector<Constant> {
  auto directory = steering::DirectoryPolicy{};
  auto balancer = balancer::BalancerPolicy{};
  auto suspicion = membership::SuspicionPolicy{};
  auto agent = agent::AgentPolicy{};
  auto table_places = static_cast<double>(balancer.flow_table_capacity);
  auto batch = static_cast<double>(directory.registrations_per_batch);
  return {{"load_margin", config::SpreadPolicy{}.load_margin, "config::SpreadPolicy"},
          {"table_entries", table_places, "balancer::BalancerPolicy"},
          {"hint_rate", directory.hints_per_second, "steering::DirectoryPolicy"},
          {"register_batch", batch, "steering::DirectoryPolicy"},
          {"probe_round_s", Seconds(suspicion.probe_period), "membership::SuspicionPolicy"},
          {"probes_per_round", static_cast<double>(suspicion.probes_per_round),
           "membership::SuspicionPolicy"},
          {"probe_misses", static_cast<double>(suspicion.misses), "membership::SuspicionPolicy"},
          {"probe_timeout_s", Seconds(suspicion.max_timeout), "membership::SuspicionPolicy"},
          {"sign_period_s", Seconds(agent.liveness_period), "agent::AgentPolicy"},
          {"probed_peers", static_cast<double>(agent.probed_peers), "agent::AgentPolicy"},
          {"probers", static_cast<double>(balancer::MonitorPolicy{}.monitors),
           "balancer::MonitorPolicy"},
          {"probers_outside", static_cast<double>(balancer::MonitorPolicy{}.monitors_outside),
           "balancer::MonitorPolicy"}};
}

auto StandByConstants() -> std::vector<Constant> {
  auto policy = agent::StandByPolicy{};
  auto source = std::string("agent::StandByPolicy");
  return {{"stand_by_bytes_s", policy.bytes_per_second, source},
          {"stand_by_batch", static_cast<double>(policy.batch_bytes), source},
          {"stand_by_refresh_s", Seconds(policy.refresh), source},
          {"stand_by_look_s", Seconds(policy.scan_interval), source},
          {"stand_by_lived_s", Seconds(policy.min_age), source}};
}

auto RequestConstants() -> std::vector<Constant> {
  auto parameters = requests::Parameters{};
  auto ledger = static_cast<double>(parameters.ledger_bytes);
  return {{"ledger_limit", ledger, "requests::Parameters"},
          {"list_page_bytes", static_cast<double>(platform::ClientSettings{}.list_page_bytes),
           "platform::ClientSettings"},
          {"read_burst", platform::BudgetPolicy{}.reads.burst, "platform::BudgetPolicy"},
          {"exchange_lifetime_s", Seconds(requests::kExchangeLifetime), "RFC 7252, 4.8.2"}};
}

}  // namespace

auto PolicyConstants() -> std::vector<Constant> {
  auto all = RelayConstants();
  for (auto& constant : SteeringConstants()) all.push_back(std::move(constant));
  for (auto& constant : StandByConstants()) all.push_back(std::move(constant));
  for (auto& constant : RequestConstants()) all.push_back(std::move(constant));
  return all;
}

}  // namespace anvildrum::capacity
