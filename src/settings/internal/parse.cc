#include <array>

#include "json/reader.h"
#include "settings/internal/keys.h"
#include "settings/settings.h"

namespace anvildrum::settings {
namespace {

using json::Cursor;
using json::Find;
using json::Range;
using json::Section;
using json::TakeEndpoint;
using json::TakeName;
using json::TakeNumber;
using json::TakeText;

constexpr auto kRequired = json::Presence::kRequired;
constexpr auto kOptional = json::Presence::kOptional;

constexpr auto kRoles = std::array<std::string_view, 2>{"balancer", "agent"};
constexpr auto kLevels =
    std::array<std::string_view, 6>{"trace", "debug", "info", "warn", "error", "off"};

constexpr auto kEndpointCount = Range{0, 64};
constexpr auto kPlatformCount = Range{1, 16};
constexpr auto kBindCount = Range{0, 10'000};
constexpr auto kPermille = Range{0, 1000};
constexpr auto kFlowTableEntries = Range{1024, 16'777'216};
constexpr auto kNewFlowsPerSecond = Range{1, 10'000'000};
constexpr auto kSlots = Range{1, 10'000};
constexpr auto kConnections = Range{1, 10'000'000};
constexpr auto kDrainSeconds = Range{1, 604'800};

auto ReadLog(const Cursor& at, LogSettings& log) -> void {
  auto section = json::OpenSection(at);
  if (auto level = Find(section, "level", kOptional)) {
    auto index = static_cast<std::size_t>(log.level);
    json::TakeChoice(*level, kLevels, index);
    log.level = static_cast<LogLevel>(index);
  }
  if (auto file = Find(section, "file", kOptional)) TakeText(*file, log.file);
  json::CloseSection(section);
}

auto ReadTrace(const Cursor& at, TraceSettings& trace) -> void {
  auto section = json::OpenSection(at);
  if (auto file = Find(section, "file", kRequired)) TakeText(*file, trace.file);
  if (auto share = Find(section, "sample_permille", kRequired)) {
    TakeNumber(*share, kPermille, trace.sample_permille);
  }
  json::CloseSection(section);
}

auto ReadEndpoints(const Cursor& at, Range count, std::vector<base::Endpoint>& out) -> void {
  json::TakeEach(at, count, [&](const Cursor& item) {
    auto endpoint = base::Endpoint{};
    if (TakeEndpoint(item, endpoint)) out.push_back(endpoint);
  });
}

auto ReadBind(const Cursor& at, std::vector<LocalBind>& out) -> void {
  auto section = json::OpenSection(at);
  auto bind = LocalBind{};
  if (auto address = Find(section, "address", kRequired)) TakeEndpoint(*address, bind.address);
  if (auto local = Find(section, "bind", kRequired)) TakeEndpoint(*local, bind.bind);
  json::CloseSection(section);
  out.push_back(bind);
}

auto ReadBalancer(const Cursor& at, BalancerSettings& balancer) -> void {
  auto section = json::OpenSection(at);
  if (auto control = Find(section, "control", kRequired)) TakeEndpoint(*control, balancer.control);
  if (auto binds = Find(section, "bind", kOptional)) {
    json::TakeEach(*binds, kBindCount, [&](const Cursor& item) { ReadBind(item, balancer.bind); });
  }
  if (auto entries = Find(section, "flow_table_entries", kOptional)) {
    TakeNumber(*entries, kFlowTableEntries, balancer.flow_table_entries);
  }
  if (auto rate = Find(section, "new_flows_per_second", kOptional)) {
    TakeNumber(*rate, kNewFlowsPerSecond, balancer.new_flows_per_second);
  }
  json::CloseSection(section);
}

auto ReadTarget(const Cursor& at, TargetSettings& target) -> void {
  auto section = json::OpenSection(at);
  if (auto name = Find(section, "name", kRequired)) TakeName(*name, target.name);
  if (auto service = Find(section, "service", kRequired)) TakeName(*service, target.service);
  if (auto address = Find(section, "address", kRequired)) TakeEndpoint(*address, target.address);
  if (auto slots = Find(section, "slots", kRequired)) TakeNumber(*slots, kSlots, target.slots);
  if (auto connections = Find(section, "connections", kRequired)) {
    TakeNumber(*connections, kConnections, target.connections);
  }
  json::CloseSection(section);
}

auto ReadAgent(const Cursor& at, AgentSettings& agent) -> void {
  auto section = json::OpenSection(at);
  if (auto target = Find(section, "target", kRequired)) ReadTarget(*target, agent.target);
  if (auto drain = Find(section, "drain_seconds", kOptional)) {
    TakeNumber(*drain, kDrainSeconds, agent.drain_seconds);
  }
  json::CloseSection(section);
}

// The section of the role is required, and the other role's is not a known key.
auto ReadRole(Section& section, Settings& settings) -> void {
  auto role = Find(section, "role", kRequired);
  auto index = std::size_t{0};
  if (!role || !json::TakeChoice(*role, kRoles, index)) {
    section.known.insert({"balancer", "agent"});
    return;
  }
  settings.role = static_cast<Role>(index);
  auto part = Find(section, kRoles.at(index), kRequired);
  if (!part) return;
  if (settings.role == Role::kBalancer) {
    ReadBalancer(*part, settings.balancer);
  } else {
    ReadAgent(*part, settings.agent);
  }
}

auto ReadIdentity(Section& section, Settings& settings) -> void {
  if (auto name = Find(section, "name", kRequired)) TakeName(*name, settings.name);
  if (auto domain = Find(section, "failure_domain", kRequired)) {
    TakeName(*domain, settings.failure_domain);
  }
  if (auto region = Find(section, "region", kOptional)) TakeName(*region, settings.region);
}

auto ReadAddresses(Section& section, Settings& settings) -> void {
  if (auto tunnel = Find(section, "tunnel", kRequired)) TakeEndpoint(*tunnel, settings.tunnel);
  if (auto port = Find(section, "operator_port", kRequired)) {
    TakeEndpoint(*port, settings.operator_port);
  }
  if (auto platform = Find(section, "platform", kRequired)) {
    ReadEndpoints(*platform, kPlatformCount, settings.platform);
  }
  if (auto peers = Find(section, "relay_peers", kOptional)) {
    ReadEndpoints(*peers, kEndpointCount, settings.relay_peers);
  }
}

auto ReadKeys(Section& section, Settings& settings) -> void {
  if (auto insecure = Find(section, "insecure_relay", kOptional)) {
    json::TakeFlag(*insecure, settings.insecure_relay);
  }
  if (auto keys = Find(section, "tunnel_keys", kRequired)) {
    TakeTunnelKeys(*keys, settings.tunnel_keys);
  }
  // Without keys anyone who reaches the relay's port could feed it a configuration, so an operator
  // has to ask for that in so many words.
  auto presence = settings.insecure_relay ? kOptional : kRequired;
  if (auto keys = Find(section, "relay_keys", presence)) {
    TakeRelayKeys(*keys, settings.insecure_relay, settings.relay_keys);
  }
}

auto Read(const json::Json& document, json::Errors& errors) -> Settings {
  auto settings = Settings{};
  auto section = json::OpenSection({&document, "", &errors});
  ReadRole(section, settings);
  ReadIdentity(section, settings);
  ReadAddresses(section, settings);
  ReadKeys(section, settings);
  if (auto log = Find(section, "log", kOptional)) ReadLog(*log, settings.log);
  if (auto trace = Find(section, "trace", kOptional)) ReadTrace(*trace, settings.trace);
  json::CloseSection(section);
  return settings;
}

}  // namespace

auto ParseSettings(std::string_view text) -> SettingsOrErrors {
  auto document = json::Json();
  auto syntax = base::ErrorOf<SettingsError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(document, json::Parse(text, json::Comments::kIgnored));
    return {};
  });
  if (syntax) return std::vector{*syntax};
  auto errors = json::Errors{};
  auto settings = Read(document, errors);
  if (!errors.empty()) return errors;
  return settings;
}

}  // namespace anvildrum::settings
