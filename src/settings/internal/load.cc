#include <fstream>
#include <iterator>

#include "json/parse.h"
#include "settings/settings.h"

namespace anvildrum::settings {

auto LoadSettings(const std::filesystem::path& path) -> SettingsOrErrors {
  auto failure = std::error_code{};
  auto file = std::ifstream(path, std::ios::binary);
  // A directory opens like a file and then reads as empty.
  if (!file || std::filesystem::is_directory(path, failure)) {
    auto error = SettingsError{};
    error.code = SettingsErrorCode::kNotReadable;
    error.found = path.string();
    return std::vector{error};
  }
  auto text = std::string(std::istreambuf_iterator<char>(file), {});
  return ParseSettings(text);
}

auto DescribeError(const SettingsError& error) -> std::string { return json::Describe(error); }

}  // namespace anvildrum::settings
