#pragma once

#include <cstddef>
#include <string>

namespace anvildrum::platform {

enum class PlatformErrorCode {
  kNoEndpoint,       ///< the client has no endpoint to call
  kUnreachable,      ///< no connection; the call was not sent
  kTimeout,          ///< sent, the answer did not begin in time or stopped coming
  kAnswerLost,       ///< sent, connection ended before an answer
  kMalformedAnswer,  ///< the answer was cut off or is not what the API promises
  kServerError,      ///< 5xx
  kConflict,         ///< 412: the precondition does not hold
  kNotFound,         ///< 404
  kTooOld,           ///< 410: the watch starts before the kept history
  kTooLarge,         ///< 413
  kRefused,          ///< any other answer
  kOverBudget,       ///< not sent: the instance's own budget of calls is used up
};
inline constexpr auto kPlatformErrorCodes = std::size_t{12};

struct PlatformError {
  PlatformErrorCode code = PlatformErrorCode::kUnreachable;
  unsigned http_status = 0;  ///< 0 when there was no answer
  std::string key;           ///< key or prefix of the call

  auto operator==(const PlatformError&) const -> bool = default;
};

/// Whether a write that ended this way may have taken effect, or may still take it later. A
/// conflict is one of them: a platform that repeats a write inside answers 412 to its own success.
constexpr auto MayHaveTaken(PlatformErrorCode code) -> bool {
  switch (code) {
    case PlatformErrorCode::kTimeout:
    case PlatformErrorCode::kAnswerLost:
    case PlatformErrorCode::kMalformedAnswer:
    case PlatformErrorCode::kServerError:
    case PlatformErrorCode::kConflict:
      return true;
    default:
      return false;
  }
}

}  // namespace anvildrum::platform
