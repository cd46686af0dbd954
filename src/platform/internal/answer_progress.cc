#include "platform/answer_progress.h"

#include <algorithm>

namespace anvildrum::platform {
namespace {

// After its first bytes are due: no caller has a use for an answer that comes this slowly.
constexpr auto kWholeWithin = base::seconds{30};

}  // namespace

auto GiveUpAt(const AnswerProgress& progress, const AnswerTimeouts& timeouts) -> base::TimePoint {
  const auto first_due = progress.sent_at + timeouts.first;
  if (!progress.heard_at) return first_due;
  return std::min(*progress.heard_at + timeouts.between, first_due + kWholeWithin);
}

}  // namespace anvildrum::platform
