#include <array>
#include <chrono>
#include <cstdlib>
#include <ctime>
#include <iostream>
#include <thread>

#include "ctl/command_line.h"
#include "ctl/run.h"
#include "ctl/versions.h"

namespace anvildrum::ctl {
namespace {

constexpr auto kTimeLength = std::size_t{32};

auto Variable(const char* name) -> std::string {
  const auto* value = std::getenv(name);
  return value == nullptr ? std::string() : std::string(value);
}

auto WallTime() -> std::string {
  auto now = std::time(nullptr);
  auto parts = std::tm{};
  gmtime_r(&now, &parts);
  auto text = std::array<char, kTimeLength>{};
  auto length = std::strftime(text.data(), text.size(), "%Y-%m-%dT%H:%M:%SZ", &parts);
  return {text.data(), length};
}

auto MakeEdge(const Invocation& invocation) -> Edge {
  return Edge{HttpObjectStore(invocation.platform),
              HttpFetchStatus(),
              HttpFetchMetrics(),
              PostDrain,
              [](base::Duration pause) { std::this_thread::sleep_for(pause); },
              base::Clock::now,
              WallTime,
              std::cout,
              std::cerr};
}

auto Main(std::span<const std::string> arguments) -> int {
  auto environment = Environment{Variable("ANVILCTL_PLATFORM"), Variable("USER")};
  auto parsed = ParseCommandLine(arguments, environment);
  if (const auto* stop = std::get_if<Stop>(&parsed)) {
    (stop->exit_code == 0 ? std::cout : std::cerr) << stop->text;
    return stop->exit_code;
  }
  const auto& invocation = std::get<Invocation>(parsed);
  auto edge = MakeEdge(invocation);
  return Run(invocation, edge);
}

}  // namespace
}  // namespace anvildrum::ctl

auto main(int argc, char** argv) -> int {
  auto arguments = std::vector<std::string>(argv + 1, argv + argc);
  return anvildrum::ctl::Main(arguments);
}
