#include "packetd/run.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <csignal>
#include <cstdlib>
#include <functional>
#include <memory>
#include <type_traits>
#include <variant>

#include "json/parse.h"
#include "net/periodic_timer.h"
#include "net/signals.h"
#include "net/types/net_error.h"
#include "packetd/agent_node.h"
#include "packetd/balancer_node.h"
#include "packetd/settings.h"
#include "telemetry/log.h"

namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

// The settings file may change without a signal. Only changed seeds matter soon, and they may be
// seconds old.
constexpr auto kReloadPeriod = base::seconds{2};

auto ReportFaults(const std::vector<json::ReadError>& errors) -> void {
  for (const auto& error : errors) {
    Log(LogLevel::kError, "settings_fault", {{"fault", json::Describe(error)}});
  }
}

/// A node of either role and the lifecycle of its process: start, reload, stop.
template <typename Node>
struct Process {
  Process(const std::filesystem::path& file, const Adapter& adapter, const Settings& settings)
      : file(file),
        settings(settings),
        node(this->MakeNode(adapter)),
        hang_up(this->io, SIGHUP),
        stop(this->io, [this](int) { this->Stop(); }),
        reload(this->io, kReloadPeriod, [this](base::TimePoint) { this->Reload(); }),
        end(this->io) {}

  auto Run() -> int {
    const auto fault = base::ErrorOf<net::NetError>([&] { return this->node.Start(); });
    if (fault) {
      Log(LogLevel::kError, "start_failed",
          {{"code", static_cast<int>(fault->code)}, {"where", fault->where}});
      return EXIT_FAILURE;
    }
    Log(LogLevel::kInfo, "started", {{"name", this->settings.name}});
    this->WaitForHangUp();
    this->io.run();
    Log(LogLevel::kInfo, "stopped", {{"name", this->settings.name}});
    return EXIT_SUCCESS;
  }

  auto MakeNode(const Adapter& adapter) -> Node {
    if constexpr (std::is_same_v<Node, AgentNode>) {
      return Node(this->io, adapter, this->settings, [this] { this->Reload(); });
    } else {
      return Node(this->io, adapter, this->settings);
    }
  }

  auto WaitForHangUp() -> void {
    this->hang_up.async_wait([this](boost::system::error_code error, int) {
      if (error) return;
      this->Reload();
      this->WaitForHangUp();
    });
  }

  auto Reload() -> void {
    const auto loaded = LoadSettings(this->file);
    const auto* changed = std::get_if<Settings>(&loaded);
    if (changed == nullptr) return ReportFaults(std::get<std::vector<json::ReadError>>(loaded));
    if (*changed == this->settings) return;
    Log(LogLevel::kInfo, "settings_changed", {{"name", changed->name}});
    this->settings = *changed;
    this->node.Reload(*changed);
  }

  auto Stop() -> void {
    const auto after = this->node.Stop();
    const auto after_ms = std::chrono::duration_cast<base::milliseconds>(after).count();
    Log(LogLevel::kInfo, "stopping", {{"after_ms", after_ms}});
    this->end.expires_after(after);
    this->end.async_wait([this](boost::system::error_code) { this->io.stop(); });
  }

  std::filesystem::path file;
  Settings settings;
  boost::asio::io_context io{1};
  Node node;
  boost::asio::signal_set hang_up;
  net::StopSignal stop;
  net::PeriodicTimer reload;
  boost::asio::steady_timer end;
};

}  // namespace

auto Run(const std::filesystem::path& settings_file, const Adapter& adapter) -> int {
  // SIGHUP is ignored until Process handles it, because its default action would end the process.
  // The next regular reload finds a change that is missed meanwhile.
  std::signal(SIGHUP, SIG_IGN);
  const auto loaded = LoadSettings(settings_file);
  if (const auto* errors = std::get_if<std::vector<json::ReadError>>(&loaded)) {
    ReportFaults(*errors);
    return EXIT_FAILURE;
  }
  const auto& settings = std::get<Settings>(loaded);
  const auto log = telemetry::LogOptions{.instance = settings.name, .standard_output = true};
  if (!telemetry::OpenLog(log)) return EXIT_FAILURE;
  if (settings.role == Role::kAgent) {
    return Process<AgentNode>{settings_file, adapter, settings}.Run();
  }
  return Process<BalancerNode>{settings_file, adapter, settings}.Run();
}

}  // namespace anvildrum::packetd
