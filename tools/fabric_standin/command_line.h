#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "base/result.h"
#include "tools/fabric_standin/options.h"

namespace anvildrum::fabric {

struct CommandLine {
  std::vector<Service> services;
  std::vector<Balancer> balancers;
  std::optional<base::Endpoint> control;
  std::uint64_t seed = 1;
  base::Duration client_delay{};
  base::Duration balancer_delay{};
};

/// Reads the options. Ends the process on --help, --version and options that TCLAP refuses.
/// Errors: OptionError.
auto ParseCommandLine(int argc, const char* const* argv) -> base::Result<CommandLine>;

}  // namespace anvildrum::fabric
