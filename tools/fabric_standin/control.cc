#include "tools/fabric_standin/control.h"

#include <cmath>
#include <nlohmann/json.hpp>

#include "base/result.h"

namespace anvildrum::fabric {
namespace {

using Json = nlohmann::json;

constexpr auto kMaxDelayMs = 3'600'000.0;

auto Fail(ControlErrorCode code, std::string_view pointer) -> boost::leaf::error_id {
  return boost::leaf::new_error(ControlError{code, std::string(pointer)});
}

auto NameOf(ControlErrorCode code) -> std::string_view {
  switch (code) {
    case ControlErrorCode::kNotJson:
      return "not_json";
    case ControlErrorCode::kUnknownAction:
      return "unknown_action";
    case ControlErrorCode::kUnknownBalancer:
      return "unknown_balancer";
    case ControlErrorCode::kBadValue:
      return "bad_value";
  }
  return "unknown";
}

auto ReadNumber(const Json& message, const char* key, double limit) -> base::Result<double> {
  auto found = message.find(key);
  auto pointer = std::string("/") + key;
  if (found == message.end() || !found->is_number()) {
    return Fail(ControlErrorCode::kBadValue, pointer);
  }
  auto value = found->get<double>();
  if (!(value >= 0 && value <= limit)) return Fail(ControlErrorCode::kBadValue, pointer);
  return value;
}

auto ReadPercent(const Json& message) -> base::Result<unsigned> {
  auto value = ReadNumber(message, "percent", 100);
  if (!value) return value.error();
  return static_cast<unsigned>(std::lround(*value));
}

auto ReadDelay(const Json& message, const char* key) -> base::Result<base::Duration> {
  auto value = ReadNumber(message, key, kMaxDelayMs);
  if (!value) return value.error();
  return std::chrono::duration_cast<base::Duration>(
      std::chrono::duration<double, std::milli>(*value));
}

auto ReadBalancer(Fabric& fabric, const Json& message) -> base::Result<Balancer*> {
  auto id = message.find("balancer");
  if (id == message.end() || !id->is_string()) {
    return Fail(ControlErrorCode::kBadValue, "/balancer");
  }
  auto* balancer = FindBalancer(fabric, id->get_ref<const std::string&>());
  if (balancer == nullptr) return Fail(ControlErrorCode::kUnknownBalancer, "/balancer");
  return balancer;
}

auto ReadNewBalancer(const Json& message) -> base::Result<Balancer> {
  auto id = message.find("balancer");
  if (id == message.end() || !id->is_string()) {
    return Fail(ControlErrorCode::kBadValue, "/balancer");
  }
  auto balancer = Balancer{id->get<std::string>(), {}};
  const auto& addresses = message.at("addresses");
  if (!addresses.is_object()) return Fail(ControlErrorCode::kBadValue, "/addresses");
  for (const auto& [service, text] : addresses.items()) {
    auto pointer = "/addresses/" + service;
    if (!text.is_string()) return Fail(ControlErrorCode::kBadValue, pointer);
    auto address = base::ParseEndpoint(text.get_ref<const std::string&>());
    if (!address) return Fail(ControlErrorCode::kBadValue, pointer);
    balancer.addresses[service] = *address;
  }
  return balancer;
}

auto Add(Fabric& fabric, const Json& message) -> base::Result<void> {
  if (!message.contains("addresses")) {
    auto known = ReadBalancer(fabric, message);
    if (!known) return known.error();
    (*known)->sprayed = true;
    return {};
  }
  auto balancer = ReadNewBalancer(message);
  if (!balancer) return balancer.error();
  auto* known = FindBalancer(fabric, balancer->id);
  if (known == nullptr) known = &fabric.balancers.emplace_back();
  *known = std::move(*balancer);
  return {};
}

auto SetFlag(Fabric& fabric, const Json& message, bool Balancer::*flag, bool value)
    -> base::Result<void> {
  auto balancer = ReadBalancer(fabric, message);
  if (!balancer) return balancer.error();
  *balancer.value().*flag = value;
  return {};
}

auto SetPercent(const Json& message, unsigned& percent) -> base::Result<void> {
  auto value = ReadPercent(message);
  if (!value) return value.error();
  percent = *value;
  return {};
}

auto SetReorder(Fabric& fabric, const Json& message) -> base::Result<void> {
  auto percent = ReadPercent(message);
  if (!percent) return percent.error();
  auto delay = ReadDelay(message, "ms");
  if (!delay) return delay.error();
  fabric.faults.reorder_percent = *percent;
  fabric.faults.reorder_delay = *delay;
  return {};
}

auto SetDelay(Fabric& fabric, const Json& message) -> base::Result<void> {
  auto client = ReadDelay(message, "client_ms");
  if (!client) return client.error();
  auto balancer = ReadDelay(message, "balancer_ms");
  if (!balancer) return balancer.error();
  fabric.faults.client_delay = *client;
  fabric.faults.balancer_delay = *balancer;
  return {};
}

auto CountsToJson(const Counts& counts) -> Json {
  return Json{{"to_balancers", counts.to_balancers},
              {"to_clients", counts.to_clients},
              {"dropped", counts.dropped},
              {"duplicated", counts.duplicated},
              {"reordered", counts.reordered},
              {"cut", counts.cut},
              {"no_balancer", counts.no_balancer},
              {"unknown_sender", counts.unknown_sender},
              {"socket_errors", counts.socket_errors},
              {"control_errors", counts.control_errors},
              {"by_balancer", counts.by_balancer}};
}

auto CarryOut(Fabric& fabric, const Json& message) -> base::Result<void> {
  if (!message.is_object()) return Fail(ControlErrorCode::kNotJson, "");
  auto action = message.value("do", Json{});
  if (action == "remove") return SetFlag(fabric, message, &Balancer::sprayed, false);
  if (action == "add") return Add(fabric, message);
  if (action == "cut") return SetFlag(fabric, message, &Balancer::cut, true);
  if (action == "heal") return SetFlag(fabric, message, &Balancer::cut, false);
  if (action == "drop") return SetPercent(message, fabric.faults.drop_percent);
  if (action == "duplicate") return SetPercent(message, fabric.faults.duplicate_percent);
  if (action == "reorder") return SetReorder(fabric, message);
  if (action == "delay") return SetDelay(fabric, message);
  if (action == "counts") return {};
  return Fail(ControlErrorCode::kUnknownAction, "/do");
}

}  // namespace

auto HandleControl(Fabric& fabric, std::string_view message) -> std::string {
  auto json = Json::parse(message, nullptr, false);
  auto error = base::ErrorOf<ControlError>([&] { return CarryOut(fabric, json); });
  auto answer = Json{{"ok", !error.has_value()}};
  if (error) {
    ++fabric.counts.control_errors;
    answer["error"] = NameOf(error->code);
    answer["pointer"] = error->pointer;
  } else {
    answer["counts"] = CountsToJson(fabric.counts);
  }
  return answer.dump(-1, ' ', false, Json::error_handler_t::replace);
}

}  // namespace anvildrum::fabric
