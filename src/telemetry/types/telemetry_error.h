#pragma once

#include <string>

namespace anvildrum::telemetry {

enum class TelemetryErrorCode {
  kLogFile,    ///< the log file can't be opened for appending
  kTraceFile,  ///< the trace file can't be opened for appending
  kLogLevel,   ///< not the name of a level
};

struct TelemetryError {
  TelemetryErrorCode code = TelemetryErrorCode::kLogFile;
  std::string where;  ///< the path or text at fault
};

}  // namespace anvildrum::telemetry
