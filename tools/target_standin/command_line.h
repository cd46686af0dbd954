#pragma once

#include <cstdint>
#include <string>

#include "base/result.h"
#include "base/types/endpoint.h"
#include "tools/target_standin/work.h"

namespace anvildrum::target {

/// Which service the target is of; it sets the resources that it has.
enum class TargetKind { kDesk, kMapper, kScadaGateway, kReportServer };

struct CommandLine {
  TargetKind kind = TargetKind::kDesk;
  std::string name;
  base::Endpoint listen;
  WorkSettings work;
  std::uint64_t seed = 1;
  base::Duration notify_interval{};  ///< of feed and status
  base::Duration drain_limit{};      ///< longest wait for running requests at a stop
};

/// Reads the options. Ends the process on --help, --version and options that TCLAP refuses.
/// Errors: base::EndpointError.
auto ParseCommandLine(int argc, const char* const* argv) -> base::Result<CommandLine>;

}  // namespace anvildrum::target
