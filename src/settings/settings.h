#pragma once

#include <filesystem>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "settings/types/settings.h"
#include "settings/types/settings_error.h"

/// The daemon's settings: JSON with comments, checked whole before anything is bound. Every fault
/// is reported, not only the first. docs/operators/settings.md lists the keys.
namespace anvildrum::settings {

/// Settings, or at least one error.
using SettingsOrErrors = std::variant<Settings, std::vector<SettingsError>>;

/// Reads and checks a file. Errors: kNotReadable, and those of ParseSettings.
auto LoadSettings(const std::filesystem::path& path) -> SettingsOrErrors;

/// Checks the text of a settings file.
auto ParseSettings(std::string_view text) -> SettingsOrErrors;

/// One line of English for standard error. Secrets never appear in it.
auto DescribeError(const SettingsError& error) -> std::string;

}  // namespace anvildrum::settings
