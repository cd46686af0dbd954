#pragma once

#include <boost/asio/io_context.hpp>
#include <memory>
#include <span>

#include "base/clock.h"
#include "base/result.h"
#include "base/types/ids.h"
#include "base/types/time.h"
#include "net/operator_port.h"
#include "net/periodic_timer.h"
#include "platform/client.h"
#include "settings/types/settings.h"
#include "telemetry/metrics.h"
#include "telemetry/trace.h"

namespace anvildrum::daemon {

/// What both roles stand on. Members are destroyed in reverse order, the io_context last.
struct Runtime {
  settings::Settings settings;
  boost::asio::io_context io{1};
  base::Incarnation incarnation = 0;
  base::InstanceId instance;
  std::uint64_t seed = 0;
  telemetry::Registry metrics;
  std::unique_ptr<telemetry::Tracer> tracer;
  std::unique_ptr<platform::Client> platform;
  std::unique_ptr<net::OperatorPort> operator_port;
  std::unique_ptr<net::PeriodicTimer> trace_flush;  ///< spans are buffered
};

/// Opens logs, traces, platform client and operator port.
/// Errors: TelemetryError, NetError.
auto MakeRuntime(const settings::Settings& settings) -> base::Result<std::unique_ptr<Runtime>>;

/// Bytes of the operating system's generator.
auto FillRandom(std::span<std::uint8_t> bytes) -> void;

using base::Now;

}  // namespace anvildrum::daemon
