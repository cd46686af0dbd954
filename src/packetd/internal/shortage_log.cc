#include "packetd/shortage_log.h"

#include "packetd/metrics.h"

namespace anvildrum::packetd {
namespace {

constexpr auto kLineInterval = base::seconds{1};

}  // namespace

auto TurnedAway(const packets::ShortageCounters& counters) -> std::uint64_t {
  return Sum(counters.turned_away);
}

auto NextShortageLine(ShortageLog& log, bool is_short, std::uint64_t turned_away,
                      base::TimePoint now) -> ShortageLine {
  if (!is_short && !log.said_short) log.turned_away = turned_away;
  if (is_short == log.said_short) return ShortageLine::kNone;
  if (log.said_at != base::TimePoint{} && now - log.said_at < kLineInterval) {
    return ShortageLine::kNone;
  }
  log.said_short = is_short;
  log.said_at = now;
  return is_short ? ShortageLine::kBegan : ShortageLine::kEnded;
}

}  // namespace anvildrum::packetd
