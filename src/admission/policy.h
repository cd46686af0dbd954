#pragma once

#include <cstdint>

#include "base/types/time.h"

namespace anvildrum::admission {

/// How a target's capacity is shared out. All switches are off by default: openings are then
/// admitted first come, first served.
struct Policy {
  /// Under shortage, urgent requests are admitted before less urgent ones.
  bool order_by_priority = false;
  /// Openings are admitted by the time at which they would be answered, not by a fixed number of
  /// requests per slot.
  bool admit_by_completion = false;
  /// Under shortage, callers that have used more than their share are admitted last.
  bool fair_callers = false;
  /// In the first moments of a shortage, openings are left to their clients' copies instead of
  /// being refused.
  bool await_copies = false;
  /// Share of the openings admitted under shortage that may be less urgent ones beyond their limit,
  /// so that these do not starve while urgent ones fill all slots.
  double reserved_share = 0.05;
  /// Requests in flight per slot at which a first opening goes to another target. The limit allows
  /// one running and one waiting request. A third would wait for two others and miss its latency
  /// objective, which is four to five times the service time of one request.
  double opening_limit = 2.0;
  /// The same limit for a retransmitted opening. Its client has waited for at least 200 ms, so the
  /// request is already late: it may use a free slot, but may not queue ahead of requests that can
  /// still meet their objective.
  double copy_limit = 1.0;
  auto operator==(const Policy&) const -> bool = default;
};

}  // namespace anvildrum::admission
