#pragma once

#include <filesystem>

#include "packetd/adapter.h"

namespace anvildrum::packetd {

/// Runs a balancer or an agent, as the settings say, until SIGTERM. Returns the exit code of the
/// process.
auto Run(const std::filesystem::path& settings_file, const Adapter& adapter) -> int;

}  // namespace anvildrum::packetd
