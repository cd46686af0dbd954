#pragma once

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <vector>

namespace anvildrum::telemetry {

/// An empty file that goes with the test.
class TemporaryFile {
 public:
  TemporaryFile() {
    this->path = (std::filesystem::temp_directory_path() / "anvildrum-XXXXXX").string();
    const auto file = ::mkstemp(this->path.data());
    if (file >= 0) ::close(file);
  }
  TemporaryFile(const TemporaryFile&) = delete;
  auto operator=(const TemporaryFile&) -> TemporaryFile& = delete;
  ~TemporaryFile() { std::filesystem::remove(this->path); }

  [[nodiscard]] auto Lines() const -> std::vector<std::string> {
    auto lines = std::vector<std::string>{};
    auto stream = std::ifstream{this->path};
    for (auto line = std::string{}; std::getline(stream, line);) lines.push_back(line);
    return lines;
  }

  std::string path;
};

}  // namespace anvildrum::telemetry
