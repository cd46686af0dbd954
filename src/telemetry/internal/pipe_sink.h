#pragma once

#include <spdlog/sinks/base_sink.h>

#include <cstdint>
#include <mutex>

namespace anvildrum::telemetry {

/// Writes lines to a descriptor that somebody else reads, and never waits for the reader. A line
/// that finds no room is lost; the next one that does is preceded by an event that counts the lost.
///
/// Safeguard: a collector of logs stalls, and the pipe to it fills up. A daemon of one thread would
/// stand still in its next line, with every flow that it carries.
class PipeSink : public spdlog::sinks::base_sink<std::mutex> {
 public:
  /// `descriptor` stays open for as long as the sink lives.
  explicit PipeSink(int descriptor) : descriptor(descriptor) {}

 protected:
  void sink_it_(const spdlog::details::log_msg& message) override;
  void flush_() override {}

 private:
  auto Write(spdlog::string_view_t line) -> bool;

  int descriptor;
  std::uint64_t lost = 0;  ///< lines, since the last one that was written
};

}  // namespace anvildrum::telemetry
