#include "daemon/internal/runtime.h"

#include <sodium.h>

#include <chrono>
#include <cstring>

#include "telemetry/log.h"

namespace anvildrum::daemon {
namespace {

constexpr auto kTraceFlush = base::seconds(1);

auto ToTelemetry(settings::LogLevel level) -> telemetry::LogLevel {
  switch (level) {
    case settings::LogLevel::kTrace:
    case settings::LogLevel::kDebug:
      return telemetry::LogLevel::kDebug;
    case settings::LogLevel::kInfo:
      return telemetry::LogLevel::kInfo;
    case settings::LogLevel::kWarn:
      return telemetry::LogLevel::kWarning;
    case settings::LogLevel::kError:
      return telemetry::LogLevel::kError;
    case settings::LogLevel::kOff:
      return telemetry::LogLevel::kOff;
  }
  return telemetry::LogLevel::kInfo;
}

// Wall-clock nanoseconds: higher at each start unless the clock was set back, which the
// announcement finds out and settles (announcer.h).
auto StartNumber() -> base::Incarnation {
  auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<base::Incarnation>(
      std::chrono::duration_cast<std::chrono::nanoseconds>(since_epoch).count());
}

auto RandomSeed() -> std::uint64_t {
  auto bytes = std::array<std::uint8_t, sizeof(std::uint64_t)>{};
  FillRandom(bytes);
  auto seed = std::uint64_t{0};
  std::memcpy(&seed, bytes.data(), bytes.size());
  return seed;
}

auto OpenTracer(const Runtime& runtime) -> base::Result<std::unique_ptr<telemetry::Tracer>> {
  auto options = telemetry::TracerOptions{};
  options.file = runtime.settings.trace.file;
  options.instance = runtime.settings.name;
  options.seed = runtime.seed;
  options.sample_permille = runtime.settings.trace.sample_permille;
  options.steady_anchor = Now();
  options.wall_anchor = std::chrono::system_clock::now();
  BOOST_LEAF_AUTO(tracer, telemetry::Tracer::Open(options));
  return std::make_unique<telemetry::Tracer>(std::move(tracer));
}

}  // namespace

auto FillRandom(std::span<std::uint8_t> bytes) -> void {
  randombytes_buf(bytes.data(), bytes.size());
}

auto MakeRuntime(const settings::Settings& settings) -> base::Result<std::unique_ptr<Runtime>> {
  auto runtime = std::make_unique<Runtime>();
  runtime->settings = settings;
  runtime->incarnation = StartNumber();
  runtime->instance = base::InstanceIdOf(settings.name);
  runtime->seed = RandomSeed();
  BOOST_LEAF_CHECK(
      telemetry::OpenLog({ToTelemetry(settings.log.level), settings.log.file, settings.name}));
  BOOST_LEAF_ASSIGN(runtime->tracer, OpenTracer(*runtime));
  auto client = platform::ClientSettings{};
  client.endpoints = settings.platform;
  runtime->platform = std::make_unique<platform::Client>(runtime->io, client);
  auto options = net::OperatorPortOptions{};
  options.local = settings.operator_port;
  BOOST_LEAF_ASSIGN(runtime->operator_port, net::OperatorPort::Open(runtime->io, options));
  runtime->trace_flush = std::make_unique<net::PeriodicTimer>(
      runtime->io, kTraceFlush,
      [tracer = runtime->tracer.get()](base::TimePoint) { telemetry::Flush(*tracer); });
  return runtime;
}

}  // namespace anvildrum::daemon
