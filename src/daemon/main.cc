#include <google/protobuf/stubs/logging.h>
#include <tclap/CmdLine.h>

#include <iostream>
#include <variant>

#include "daemon/internal/agent_runtime.h"
#include "daemon/internal/balancer_runtime.h"
#include "settings/settings.h"
#include "telemetry/types/telemetry_error.h"

namespace {

using anvildrum::base::Result;
using anvildrum::daemon::AgentRuntime;
using anvildrum::daemon::BalancerRuntime;
using anvildrum::daemon::MakeRuntime;
using anvildrum::settings::Role;
using anvildrum::settings::Settings;
using anvildrum::settings::SettingsError;

// Exit codes, as in docs/operators/settings.md.
constexpr auto kStopped = 0;
constexpr auto kBadSettings = 2;
constexpr auto kNoSocket = 3;

template <typename Role>
auto Serve(const Settings& settings) -> Result<void> {
  BOOST_LEAF_AUTO(runtime, MakeRuntime(settings));
  auto role = Role(std::move(runtime));
  BOOST_LEAF_CHECK(role.Open());
  role.Run();
  return {};
}

auto ServeRole(const Settings& settings) -> Result<void> {
  return settings.role == Role::kAgent ? Serve<AgentRuntime>(settings)
                                       : Serve<BalancerRuntime>(settings);
}

auto RunDaemon(const Settings& settings) -> int {
  // libprotobuf writes a line for each malformed message; those are counted instead, so that a
  // faulty peer can't flood this instance's log.
  google::protobuf::SetLogHandler(nullptr);
  return boost::leaf::try_handle_all(
      [&]() -> Result<int> {
        BOOST_LEAF_CHECK(ServeRole(settings));
        return kStopped;
      },
      [](const anvildrum::net::NetError& error) {
        std::cerr << "anvildrumd: cannot open " << error.where << ": "
                  << std::generic_category().message(error.system_error) << "\n";
        return kNoSocket;
      },
      [](const anvildrum::telemetry::TelemetryError& error) {
        std::cerr << "anvildrumd: cannot write " << error.where << "\n";
        return kBadSettings;
      },
      [] {
        std::cerr << "anvildrumd: cannot start\n";
        return kNoSocket;
      });
}

auto Report(const std::string& file, const std::vector<SettingsError>& errors) -> int {
  for (const auto& error : errors) {
    std::cerr << "anvildrumd: " << file << ": " << anvildrum::settings::DescribeError(error)
              << "\n";
  }
  return kBadSettings;
}

}  // namespace

auto main(int argc, char** argv) -> int {
  auto command = TCLAP::CmdLine("Layer-4 load balancer: balancer or agent, by its settings", ' ',
                                ANVILDRUM_VERSION);
  auto file = TCLAP::ValueArg<std::string>("s", "settings", "Settings file (JSON with comments)",
                                           true, "", "FILE", command);
  command.parse(argc, argv);
  auto loaded = anvildrum::settings::LoadSettings(file.getValue());
  if (const auto* errors = std::get_if<std::vector<SettingsError>>(&loaded)) {
    return Report(file.getValue(), *errors);
  }
  return RunDaemon(std::get<Settings>(loaded));
}
