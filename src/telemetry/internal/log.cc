#include "telemetry/log.h"

#include <spdlog/pattern_formatter.h>
#include <spdlog/sinks/basic_file_sink.h>
#include <spdlog/sinks/stdout_sinks.h>
#include <spdlog/spdlog.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <memory>
#include <utility>

#include "telemetry/internal/pipe_sink.h"

namespace anvildrum::telemetry {
namespace {

struct LevelName {
  std::string_view name;
  LogLevel level;
  spdlog::level::level_enum library_level;
};

constexpr auto kLevels = std::array<LevelName, 5>{{
    {"debug", LogLevel::kDebug, spdlog::level::debug},
    {"info", LogLevel::kInfo, spdlog::level::info},
    {"warning", LogLevel::kWarning, spdlog::level::warn},
    {"error", LogLevel::kError, spdlog::level::err},
    {"off", LogLevel::kOff, spdlog::level::off},
}};

constexpr auto* kTimePattern = "time=%Y-%m-%dT%H:%M:%S.%eZ level=%l ";

auto LibraryLevel(LogLevel level) -> spdlog::level::level_enum {
  return kLevels.at(static_cast<std::size_t>(level)).library_level;
}

// A percent sign in the instance's name would be read as a pattern flag.
auto EscapePattern(std::string_view text) -> std::string {
  auto out = std::string{};
  for (const auto character : text) {
    if (character == '%') out += '%';
    out += character;
  }
  return out;
}

auto MakeLogger(spdlog::sink_ptr sink, const LogOptions& options)
    -> std::shared_ptr<spdlog::logger> {
  auto logger = std::make_shared<spdlog::logger>("anvildrum", std::move(sink));
  auto pattern = std::string{kTimePattern};
  if (!options.instance.empty()) pattern += "instance=" + EscapePattern(options.instance) + " ";
  logger->set_formatter(
      std::make_unique<spdlog::pattern_formatter>(pattern + "%v", spdlog::pattern_time_type::utc));
  logger->set_level(LibraryLevel(options.level));
  logger->flush_on(spdlog::level::trace);
  return logger;
}

auto StandardError() -> spdlog::sink_ptr {
  return std::make_shared<spdlog::sinks::stderr_sink_mt>();
}

auto Current() -> std::shared_ptr<spdlog::logger>& {
  static auto logger = MakeLogger(StandardError(), LogOptions{});
  return logger;
}

auto OpenSink(const LogOptions& options) -> base::Result<spdlog::sink_ptr> {
  const auto& file = options.file;
  if (options.standard_output) {
    return spdlog::sink_ptr{std::make_shared<PipeSink>(STDOUT_FILENO)};
  }
  if (file.empty()) return StandardError();
  try {
    return spdlog::sink_ptr{std::make_shared<spdlog::sinks::basic_file_sink_mt>(file)};
  } catch (const spdlog::spdlog_ex&) {
    return boost::leaf::new_error(TelemetryError{TelemetryErrorCode::kLogFile, file});
  }
}

}  // namespace

auto OpenLog(const LogOptions& options) -> base::Result<void> {
  auto sink = OpenSink(options);
  if (!sink) return sink.error();
  Current() = MakeLogger(sink.value(), options);
  return {};
}

auto Log(LogLevel level, std::string_view event, std::initializer_list<Field> fields) -> void {
  const auto& logger = Current();
  const auto library_level = LibraryLevel(level);
  if (level == LogLevel::kOff || !logger->should_log(library_level)) return;
  const auto line = FormatEvent(event, fields);
  logger->log(library_level, spdlog::string_view_t{line.data(), line.size()});
}

auto MakeLogGate(const LogBudget& budget, base::TimePoint now) -> LogGate {
  return {.budget = budget, .left = budget.burst, .filled = now, .left_out = 0};
}

auto TakeLine(LogGate& gate, base::TimePoint now) -> bool {
  const auto passed = std::chrono::duration<double>(now - gate.filled).count();
  gate.left = std::min(gate.budget.burst, gate.left + passed * gate.budget.per_second);
  gate.filled = now;
  if (gate.left < 1) {
    ++gate.left_out;
    return false;
  }
  gate.left -= 1;
  return true;
}

auto ParseLogLevel(std::string_view text) -> base::Result<LogLevel> {
  for (const auto& entry : kLevels) {
    if (entry.name == text) return entry.level;
  }
  return boost::leaf::new_error(TelemetryError{TelemetryErrorCode::kLogLevel, std::string(text)});
}

}  // namespace anvildrum::telemetry
