#include "config/internal/write.h"

#include "config/configuration.h"

namespace anvildrum::config {
namespace {

using json::Json;

auto WriteSpread(const SpreadPolicy& spread) -> Json {
  return {{"load_margin", spread.load_margin},
          {"local_failure_domain_first", spread.local_failure_domain_first},
          {"slow_start_seconds", spread.slow_start_seconds}};
}

auto WriteLimits(const ServiceLimits& limits) -> Json {
  return {{"queue_ms", limits.queue_ms},
          {"client_in_flight", limits.client_in_flight},
          {"flow_idle_seconds", limits.flow_idle_seconds}};
}

auto WriteService(const Service& service) -> Json {
  auto addresses = Json::array();
  for (const auto& address : service.addresses) {
    addresses.push_back(base::FormatEndpoint(address));
  }
  auto weights = Json::object();
  for (const auto& weight : service.weights) weights[weight.target] = weight.weight;
  return {{"addresses", addresses},
          {"spread", WriteSpread(service.spread)},
          {"limits", WriteLimits(service.limits)},
          {"weights", weights}};
}

}  // namespace

auto WriteRecord(const PatchRecord& record) -> Json {
  return {{"id", record.id},
          {"author", record.author},
          {"accepted_at", record.accepted_at},
          {"number", record.number},
          {"digest", record.digest},
          {"difference", Json::parse(record.difference)}};
}

auto Serialize(const Configuration& configuration) -> std::string {
  auto services = Json::object();
  for (const auto& service : configuration.services) {
    services[service.name] = WriteService(service);
  }
  auto history = Json::array();
  for (const auto& record : configuration.history) history.push_back(WriteRecord(record));
  auto document =
      Json{{"number", configuration.number}, {"services", services}, {"history", history}};
  return document.dump();
}

}  // namespace anvildrum::config
