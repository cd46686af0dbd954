#include "telemetry/internal/pipe_sink.h"

#include <poll.h>
#include <spdlog/fmt/fmt.h>
#include <unistd.h>

#include <array>
#include <climits>
#include <cstddef>
#include <string>

namespace anvildrum::telemetry {
namespace {

// A pipe that polls as writable takes this many bytes at once, whole (pipe(7)). Longer lines are
// cut: the rest of one could block.
constexpr auto kMaxLine = std::size_t{PIPE_BUF};

auto HasRoom(int descriptor) -> bool {
  auto entries = std::array{pollfd{.fd = descriptor, .events = POLLOUT, .revents = 0}};
  const auto ready = ::poll(entries.data(), entries.size(), 0);
  return ready == 1 && (entries.front().revents & POLLOUT) != 0;
}

auto CutTo(std::string line, std::size_t most) -> std::string {
  if (line.size() <= most) return line;
  line.resize(most);
  line.back() = '\n';
  return line;
}

}  // namespace

void PipeSink::sink_it_(const spdlog::details::log_msg& message) {
  auto text = spdlog::memory_buf_t{};
  this->formatter_->format(message, text);
  if (this->lost != 0) {
    const auto note = fmt::format("event=log_lines_lost count={}", this->lost);
    auto told = message;
    told.payload = spdlog::string_view_t{note.data(), note.size()};
    auto line = spdlog::memory_buf_t{};
    this->formatter_->format(told, line);
    if (this->Write({line.data(), line.size()})) this->lost = 0;
  }
  if (this->lost != 0 || !this->Write({text.data(), text.size()})) ++this->lost;
}

// Whether the line was written.
auto PipeSink::Write(spdlog::string_view_t line) -> bool {
  if (!HasRoom(this->descriptor)) return false;
  const auto cut = CutTo(std::string(line.data(), line.size()), kMaxLine);
  return ::write(this->descriptor, cut.data(), cut.size()) == static_cast<ssize_t>(cut.size());
}

}  // namespace anvildrum::telemetry
