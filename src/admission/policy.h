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
  auto operator==(const Policy&) const -> bool = default;
};

}  // namespace anvildrum::admission
