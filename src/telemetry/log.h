#pragma once

#include <concepts>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <variant>

#include "base/result.h"
#include "base/types/time.h"
#include "telemetry/types/telemetry_error.h"

namespace anvildrum::telemetry {

enum class LogLevel { kDebug, kInfo, kWarning, kError, kOff };

struct LogOptions {
  LogLevel level = LogLevel::kInfo;
  std::string file = {};      ///< appended to; empty: standard error
  std::string instance = {};  ///< goes into every line
  /// Instead of a file or standard error. A reader that stalls costs lines, never time.
  bool standard_output = false;
};

/// One key and value of an event. Text is kept as a view: a field lives as long as the Log call.
class Field {
 public:
  using Value = std::variant<bool, std::int64_t, std::uint64_t, double, std::string_view>;

  Field(std::string_view key, bool value) : key(key), value(value) {}
  template <std::signed_integral Number>
  Field(std::string_view key, Number value) : key(key), value(std::int64_t{value}) {}
  template <std::unsigned_integral Number>
  Field(std::string_view key, Number value) : key(key), value(std::uint64_t{value}) {}
  Field(std::string_view key, double value) : key(key), value(value) {}
  template <std::convertible_to<std::string_view> Text>
  Field(std::string_view key, const Text& value) : key(key), value(std::string_view{value}) {}

  std::string_view key;
  Value value;
};

/// How many lines may be written in a row, and how many a second in the long run. What comes on top
/// is left out and counted: a rush of refusals would otherwise cost the processor time that the
/// next request needs, and fill the disk of whoever keeps the logs.
struct LogBudget {
  double burst = 50;
  double per_second = 20;
};

/// Decides for a budget which lines are written. For one thread.
struct LogGate {
  LogBudget budget;
  double left = 0;  ///< lines that may be written now
  base::TimePoint filled{};
  std::uint64_t left_out = 0;  ///< since the last line that was written
};

auto MakeLogGate(const LogBudget& budget, base::TimePoint now) -> LogGate;

/// Whether one more line may be written.
auto TakeLine(LogGate& gate, base::TimePoint now) -> bool;

/// Sets the process's log up; before that, and after a failure, events go to standard error from
/// kInfo on. Errors: TelemetryError kLogFile.
auto OpenLog(const LogOptions& options) -> base::Result<void>;

/// Writes one line: time=... level=... instance=... event=EVENT and the fields, in logfmt. Values
/// with a space, quote, backslash, equals sign or control character are quoted and escaped as in
/// JSON strings, so that one event is one line whatever a client sent.
auto Log(LogLevel level, std::string_view event, std::initializer_list<Field> fields = {}) -> void;

/// "debug", "info", "warning", "error", "off". Errors: TelemetryError kLogLevel.
auto ParseLogLevel(std::string_view text) -> base::Result<LogLevel>;

/// The part of the line that Log builds itself: event=EVENT and the fields.
auto FormatEvent(std::string_view event, std::initializer_list<Field> fields) -> std::string;

}  // namespace anvildrum::telemetry
