#pragma once

#include "base/types/time.h"

namespace anvildrum::packets {

/// Notices that the process stood still (paused, suspended, out of processor time), by the time
/// between two events that it handles.
///
/// Safeguard: an opening that is refused at once has been offered nowhere else, as long as it is
/// younger than its client's first copy, 200 ms. A process that wakes finds openings in its sockets
/// that are older: their flows may be open at other targets by now, and a reset would break them.
struct StallWatch {
  base::TimePoint active_at{};       ///< the last event; the epoch: none yet
  base::TimePoint running_since{};   ///< the first event, or the end of the last stall
  base::TimePoint doubtful_until{};  ///< until then packets may have waited
};

/// A process with nothing else to do counts an event this often.
inline constexpr auto kStallCheck = base::milliseconds{50};

/// More than two checks, which may come late, and less than the 200 ms of a client's first copy by
/// the time that the rest of an opening's way takes.
inline constexpr auto kStallAfter = base::milliseconds{120};

/// How long after a stall the sockets are taken to hold what came during it. A receive buffer of
/// 1 MB, some 5,000 openings of 200 bytes with the system's overhead, is read within it at 40 us
/// each.
inline constexpr auto kStallDoubt = base::milliseconds{200};

/// Counts an event. Whether packets that are handled now may have waited for too long.
inline auto NoteEvent(StallWatch& watch, base::TimePoint now) -> bool {
  const auto first = watch.active_at == base::TimePoint{};
  const auto stalled = !first && now - watch.active_at > kStallAfter;
  if (first || stalled) watch.running_since = now;
  if (stalled) watch.doubtful_until = now + kStallDoubt;
  watch.active_at = now;
  return now < watch.doubtful_until;
}

}  // namespace anvildrum::packets
