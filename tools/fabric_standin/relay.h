#pragma once

#include "tools/fabric_standin/command_line.h"

namespace anvildrum::fabric {

/// Binds, prints a `listening` line for each socket and relays until SIGTERM or SIGINT.
/// Throws boost::system::system_error when an address can't be bound.
auto RunRelay(const CommandLine& line) -> void;

}  // namespace anvildrum::fabric
