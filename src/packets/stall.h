#pragma once

#include "base/types/time.h"

namespace anvildrum::packets {

/// Detects that the process was stalled (paused, suspended or without processor time) from the time
/// between two handled events.
///
/// Safeguard: an opening that is refused at once has been offered nowhere else as long as it is
/// younger than 200 ms, when its client sends the first copy. After a stall the sockets contain
/// older openings. Their flows may be open at other targets by now, and a reset would break them.
struct StallWatch {
  base::TimePoint active_at{};       ///< the last event; the epoch: none yet
  base::TimePoint running_since{};   ///< the first event, or the end of the last stall
  base::TimePoint doubtful_until{};  ///< until then, received packets may be old
};

/// Interval at which an idle process records an event.
inline constexpr auto kStallCheck = base::milliseconds{50};

/// Time without events that counts as a stall. It is longer than two checks, which may be late. It
/// is shorter than the 200 ms after which a client sends its first copy, with a margin for the
/// network delay of the opening.
inline constexpr auto kStallAfter = base::milliseconds{120};

/// Time after a stall during which the sockets may still contain packets received during the stall.
/// It is enough to read a full receive buffer of 1 MB, about 5,000 openings of 200 bytes including
/// kernel overhead, at 40 us each.
inline constexpr auto kStallDoubt = base::milliseconds{200};

/// Records an event. Returns whether packets handled now may have waited during a stall.
inline auto NoteEvent(StallWatch& watch, base::TimePoint now) -> bool {
  const auto first = watch.active_at == base::TimePoint{};
  const auto stalled = !first && now - watch.active_at > kStallAfter;
  if (first || stalled) watch.running_since = now;
  if (stalled) watch.doubtful_until = now + kStallDoubt;
  watch.active_at = now;
  return now < watch.doubtful_until;
}

}  // namespace anvildrum::packets
