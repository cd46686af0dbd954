#pragma once

#include <string>
#include <string_view>

namespace anvildrum::telemetry {

/// A file of lines that several processes may append to.
class AppendFile {
 public:
  explicit AppendFile(const std::string& path);
  AppendFile(const AppendFile&) = delete;
  auto operator=(const AppendFile&) -> AppendFile& = delete;
  ~AppendFile();

  [[nodiscard]] auto IsOpen() const -> bool { return this->file >= 0; }

  /// Appends whole lines; false when not all of them could be written. A later call starts afresh.
  auto Append(std::string_view lines) -> bool;

 private:
  auto Write(std::string_view text) -> bool;

  int file = -1;
  bool torn = false;  ///< the last line in the file is incomplete
};

}  // namespace anvildrum::telemetry
