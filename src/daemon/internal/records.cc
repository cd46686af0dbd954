#include "daemon/internal/records.h"

#include "membership/codec.h"
#include "relay/store.h"

namespace anvildrum::daemon {

auto CountRefused(RecordRefusals& refusals, std::string_view key) -> void {
  if (key == relay::kConfigKey) {
    ++refusals.configurations;
  } else if (key.starts_with(membership::kTargetPrefix)) {
    ++refusals.targets;
  } else if (key.starts_with(membership::kBalancerPrefix)) {
    ++refusals.balancers;
  }
}

auto NameOfKey(std::string_view key) -> std::string_view { return key.substr(key.rfind('/') + 1); }

auto ToRelayPeer(const membership::BalancerRecord& record) -> relay::RelayPeer {
  return {record.name, record.instance, record.incarnation, record.control, record.failure_domain};
}

auto MakeRelaySettings(const Runtime& runtime, const base::Endpoint& control,
                       base::ServiceId service) -> relay::RelaySettings {
  const auto& settings = runtime.settings;
  auto is_agent = settings.role == settings::Role::kAgent;
  auto result = relay::RelaySettings{};
  result.role = is_agent ? relay::RelayRole::kAgent : relay::RelayRole::kBalancer;
  result.self = {settings.name, runtime.instance, runtime.incarnation, control,
                 settings.failure_domain};
  result.service = service;
  result.seeds = settings.relay_peers;
  result.seed = runtime.seed;
  return result;
}

auto IncarnationOfTarget(std::string_view key, const std::string& text) -> base::Incarnation {
  auto record = membership::ParseTargetRecord(key, 0, text);
  return record ? record->incarnation : 0;
}

auto IncarnationOfBalancer(std::string_view key, const std::string& text) -> base::Incarnation {
  auto record = membership::ParseBalancerRecord(key, 0, text);
  return record ? record->incarnation : 0;
}

}  // namespace anvildrum::daemon
