#include "packetd/settings.h"

#include <array>
#include <fstream>
#include <iterator>

#include "json/parse.h"
#include "json/reader.h"

namespace anvildrum::packetd {
namespace {

using json::Cursor;
using json::Presence;
using json::Section;

constexpr auto kRoles = std::array<std::string_view, 2>{"balancer", "agent"};
constexpr auto kMaxPort = 65535.0;
constexpr auto kMaxSeeds = 64.0;
constexpr auto kMaxSeconds = 3600.0;
constexpr auto kMinSeconds = 2.0;  // has to exceed a watch and the timeout of a call
constexpr auto kMaxContracts = 1000.0;
constexpr auto kMaxReservedShare = 0.5;
constexpr auto kMinHeartbeatSeconds = 0.05;  // shorter periods cost more than they gain

auto TakeV4(const Cursor& at, base::Endpoint& out) -> void {
  if (!json::TakeEndpoint(at, out) || base::IsV4(out)) return;
  json::Refuse(at, json::ReadErrorCode::kNotAnEndpoint, "an IPv4 number and port");
}

auto TakeV4(Section& section, std::string_view key, base::Endpoint& out) -> void {
  const auto at = json::Find(section, key, Presence::kRequired);
  if (at) TakeV4(*at, out);
}

auto TakeText(Section& section, std::string_view key, std::string& out) -> void {
  const auto at = json::Find(section, key, Presence::kRequired);
  if (at) json::TakeText(*at, out);
}

auto TakeRole(Section& section, Role& out) -> void {
  auto choice = std::size_t{0};
  const auto at = json::Find(section, "role", Presence::kRequired);
  if (at && json::TakeChoice(*at, kRoles, choice)) out = static_cast<Role>(choice);
}

// Leaves `out` unchanged if the key is missing.
auto TakeSeconds(Section& section, std::string_view key, json::Range range, base::Duration& out)
    -> void {
  auto seconds = 0.0;
  const auto at = json::Find(section, key, Presence::kOptional);
  if (!at || !json::TakeReal(*at, range, seconds)) return;
  out = std::chrono::duration_cast<base::Duration>(std::chrono::duration<double>{seconds});
}

auto TakeSeeds(Section& section, std::vector<base::Endpoint>& out) -> void {
  const auto at = json::Find(section, "seeds", Presence::kOptional);
  if (!at) return;
  json::TakeEach(*at, {0, kMaxSeeds}, [&](const Cursor& item) {
    auto seed = base::Endpoint{};
    TakeV4(item, seed);
    out.push_back(seed);
  });
}

// Leaves `out` unchanged if the key is missing.
auto TakeFlag(Section& section, std::string_view key, bool& out) -> void {
  const auto at = json::Find(section, key, Presence::kOptional);
  if (at) json::TakeFlag(*at, out);
}

auto TakeFlag(Section& section, std::string_view key, std::optional<bool>& out) -> void {
  auto flag = false;
  const auto at = json::Find(section, key, Presence::kOptional);
  if (at && json::TakeFlag(*at, flag)) out = flag;
}

auto TakeContracts(Section& section, std::vector<std::string>& out) -> void {
  const auto at = json::Find(section, "platform_contracts", Presence::kOptional);
  if (!at) return;
  json::TakeEach(*at, {0, kMaxContracts},
                 [&](const Cursor& item) { json::TakeText(item, out.emplace_back()); });
}

auto TakeShortage(Section& settings) -> ShortageSettings {
  const auto at = json::Find(settings, "shortage", Presence::kOptional);
  if (!at) return {};
  auto shortage = ShortageSettings{};
  auto section = json::OpenSection(*at);
  TakeFlag(section, "order_by_priority", shortage.order_by_priority);
  TakeFlag(section, "admit_by_completion", shortage.admit_by_completion);
  TakeFlag(section, "fair_callers", shortage.fair_callers);
  TakeFlag(section, "await_copies", shortage.await_copies);
  auto share = 0.0;
  const auto reserved = json::Find(section, "reserved_share", Presence::kOptional);
  if (reserved && json::TakeReal(*reserved, {0, kMaxReservedShare}, share)) {
    shortage.reserved_share = share;
  }
  json::CloseSection(section);
  return shortage;
}

auto TakeAgent(Section& section) -> AgentSettings {
  auto agent = AgentSettings{};
  TakeV4(section, "from_target", agent.from_target);
  TakeV4(section, "target", agent.target);
  TakeText(section, "service", agent.service);
  TakeSeconds(section, "heartbeat_seconds", {kMinHeartbeatSeconds, kMaxSeconds},
              agent.heartbeat_period);
  TakeSeconds(section, "address_reused_after_seconds", {0, kMaxSeconds},
              agent.address_reused_after);
  return agent;
}

auto TakeSettings(const Cursor& at) -> Settings {
  auto settings = Settings{};
  auto section = json::OpenSection(at);
  TakeRole(section, settings.role);
  TakeText(section, "name", settings.name);
  TakeText(section, "failure_domain", settings.failure_domain);
  TakeV4(section, "packets", settings.packets);
  TakeV4(section, "readiness", settings.readiness);
  TakeV4(section, "heartbeats", settings.heartbeats);
  TakeV4(section, "platform", settings.platform);
  TakeSeeds(section, settings.seeds);
  const auto metrics = json::Find(section, "metrics", Presence::kOptional);
  if (metrics) TakeV4(*metrics, settings.metrics.emplace());
  const auto port = json::Find(section, "control_port", Presence::kRequired);
  if (port) json::TakeNumber(*port, {1, kMaxPort}, settings.control_port);
  TakeSeconds(section, "grace_seconds", {0, kMaxSeconds}, settings.grace);
  TakeSeconds(section, "configuration_within_seconds", {kMinSeconds, kMaxSeconds},
              settings.configuration_within);
  auto drains_within = base::Duration{};
  TakeSeconds(section, "drains_within_seconds", {kMinSeconds, kMaxSeconds}, drains_within);
  if (drains_within != base::Duration{}) settings.drains_within = drains_within;
  settings.shortage = TakeShortage(section);
  TakeContracts(section, settings.platform_contracts);
  TakeFlag(section, "avoid_failing_targets", settings.avoid_failing_targets);
  TakeFlag(section, "place_by_completion", settings.place_by_completion);
  if (settings.role == Role::kAgent) settings.agent = TakeAgent(section);
  json::CloseSection(section);
  return settings;
}

}  // namespace

auto ParseSettings(std::string_view text) -> SettingsOrErrors {
  auto document = json::Json{};
  const auto fault = base::ErrorOf<json::ReadError>([&]() -> base::Result<void> {
    auto parsed = json::Parse(text, json::Comments::kIgnored);
    if (!parsed) return parsed.error();
    document = std::move(parsed.value());
    return {};
  });
  if (fault) return std::vector{*fault};
  auto errors = json::Errors{};
  auto settings = TakeSettings(Cursor{&document, "", &errors});
  if (!errors.empty()) return errors;
  return settings;
}

auto LoadSettings(const std::filesystem::path& path) -> SettingsOrErrors {
  auto file = std::ifstream(path, std::ios::binary);
  if (!file) {
    auto error = json::ReadError{};
    error.code = json::ReadErrorCode::kNotReadable;
    error.found = path.string();
    return std::vector{error};
  }
  const auto text = std::string(std::istreambuf_iterator<char>(file), {});
  return ParseSettings(text);
}

}  // namespace anvildrum::packetd
