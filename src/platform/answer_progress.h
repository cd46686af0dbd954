#pragma once

#include <optional>

#include "base/types/time.h"

namespace anvildrum::platform {

/// How far the answer to a call has come.
struct AnswerProgress {
  base::TimePoint sent_at{};                ///< the call
  std::optional<base::TimePoint> heard_at;  ///< last bytes of the answer; nothing: none yet
};

/// How long an answer is awaited.
struct AnswerTimeouts {
  base::Duration first{};    ///< from the call to the first bytes of its answer
  base::Duration between{};  ///< from any bytes to the next ones
};

/// When the call is given up: its answer does not begin, or stops coming, or never ends.
///
/// Safeguard: with one deadline for the whole answer, a configuration that takes longer than that
/// over a narrow link is given up and sent again beside others, which takes longer still, for ever.
auto GiveUpAt(const AnswerProgress& progress, const AnswerTimeouts& timeouts) -> base::TimePoint;

}  // namespace anvildrum::platform
