#include "telemetry/internal/append_file.h"

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>

namespace anvildrum::telemetry {
namespace {

constexpr auto kMode = 0644;

}  // namespace

AppendFile::AppendFile(const std::string& path)
    : file(::open(path.c_str(), O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC, kMode)) {}

AppendFile::~AppendFile() {
  if (this->IsOpen()) ::close(this->file);
}

// A file system that fills up can take half a line. Without the line break, the first line after it
// would be glued to that half and be lost to every reader too.
auto AppendFile::Append(std::string_view lines) -> bool {
  if (this->torn && !this->Write("\n")) return false;
  this->torn = false;
  return this->Write(lines);
}

auto AppendFile::Write(std::string_view text) -> bool {
  auto rest = text;
  while (!rest.empty()) {
    const auto written = ::write(this->file, rest.data(), rest.size());
    if (written < 0 && errno == EINTR) continue;
    if (written <= 0) {
      this->torn = this->torn || rest.size() < text.size();
      return false;
    }
    rest.remove_prefix(static_cast<std::size_t>(written));
  }
  return true;
}

}  // namespace anvildrum::telemetry
