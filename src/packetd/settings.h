#pragma once

#include <filesystem>
#include <string_view>
#include <variant>
#include <vector>

#include "json/types/read_error.h"
#include "packetd/types/settings.h"

namespace anvildrum::packetd {

/// The settings, or at least one error.
using SettingsOrErrors = std::variant<Settings, std::vector<json::ReadError>>;

/// Reads and validates a file of JSON with comments. Reports every error, not only the first one.
auto LoadSettings(const std::filesystem::path& path) -> SettingsOrErrors;

auto ParseSettings(std::string_view text) -> SettingsOrErrors;

}  // namespace anvildrum::packetd
