#pragma once

#include <cstdint>

#include "base/types/time.h"
#include "packets/agent.h"

namespace anvildrum::packetd {

enum class ShortageLine : std::uint8_t { kNone, kBegan, kEnded };

/// What the log says about shortages so far.
struct ShortageLog {
  bool said_short = false;        ///< the last line was of a beginning
  base::TimePoint said_at{};      ///< of the last line; the epoch: none yet
  std::uint64_t turned_away = 0;  ///< total at the last check before the shortage
};

/// Openings that were turned away since the start of the process, whatever the reason.
auto TurnedAway(const packets::ShortageCounters& counters) -> std::uint64_t;

/// Returns the line that is due. There is at most one a second; a shortage that begins and ends
/// within that time after a line gets none.
auto NextShortageLine(ShortageLog& log, bool is_short, std::uint64_t turned_away,
                      base::TimePoint now) -> ShortageLine;

}  // namespace anvildrum::packetd
