#include "packetd/record.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "packetd/addresses.h"

namespace anvildrum::packetd {

using Json = nlohmann::json;

auto RecordName(packets::Address agent) -> std::string {
  auto name = FormatAddress(agent);
  std::replace(name.begin(), name.end(), '.', '-');
  return name;
}

auto EncodeRecord(const Record& record) -> std::string {
  auto document = Json{{"agent", FormatAddress(record.agent)},
                       {"service", record.service},
                       {"target", std::to_string(record.target.id)}};
  const auto& started_ms = record.target.started_ms;
  if (started_ms) document["target_started_ms"] = *started_ms;
  return document.dump();
}

auto DecodeRecord(std::string_view text) -> std::optional<Record> {
  const auto document = Json::parse(text, nullptr, false);
  if (!document.is_object()) return std::nullopt;
  const auto agent = document.find("agent");
  const auto service = document.find("service");
  if (agent == document.end() || !agent->is_string()) return std::nullopt;
  if (service == document.end() || !service->is_string()) return std::nullopt;
  const auto address = ParseAddress(agent->get<std::string>());
  if (!address) return std::nullopt;
  return Record{*address, service->get<std::string>()};
}

auto AgentOfKey(std::string_view key) -> std::optional<packets::Address> {
  auto name = std::string(key.substr(key.rfind('/') + 1));
  std::replace(name.begin(), name.end(), '-', '.');
  return ParseAddress(name);
}

}  // namespace anvildrum::packetd
