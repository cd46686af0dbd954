#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

namespace anvildrum::capacity {

inline constexpr auto kConfigNumber = std::uint64_t{5'000'000};

// A target's announcement as the platform keeps it: every field of membership::TargetRecord.
inline auto TargetRecordJson() -> std::string {
  return nlohmann::json{{"name", "scada-gw-03"},
                        {"service", "scada-gw"},
                        {"instance", "agent-scada-gw-03"},
                        {"incarnation", 1'800'000'000'000},
                        {"tunnel", "198.51.100.203:17000"},
                        {"operator_port", "198.51.100.203:17001"},
                        {"failure_domain", "cuyo-2"},
                        {"slots", 5},
                        {"connections", 2000},
                        {"draining", false}}
      .dump();
}

// A service of the configuration: every field of config::Service.
inline auto ServiceJson(std::size_t index) -> nlohmann::json {
  return {
      {"name", "service-" + std::to_string(index)},
      {"addresses", {"203.0.113.10:5683"}},
      {"spread",
       {{"load_margin", 0.03}, {"local_failure_domain_first", true}, {"slow_start_seconds", 10}}},
      {"limits", {{"queue_ms", 250}, {"client_in_flight", 64}, {"flow_idle_seconds", 7200}}},
      {"weights", {{{"target", "scada-gw-03"}, {"weight", 1.5}}}}};
}

inline auto ConfigurationJson(int services) -> std::string {
  auto document = nlohmann::json{{"number", kConfigNumber}, {"services", nlohmann::json::array()}};
  for (auto i = 0; i < services; ++i) document["services"].push_back(ServiceJson(i));
  return document.dump();
}

}  // namespace anvildrum::capacity
