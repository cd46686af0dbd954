#include "platform/answer_progress.h"

namespace anvildrum::platform {

auto GiveUpAt(const AnswerProgress& progress, const AnswerTimeouts& timeouts) -> base::TimePoint {
  return progress.sent_at + timeouts.first;
}

}  // namespace anvildrum::platform
