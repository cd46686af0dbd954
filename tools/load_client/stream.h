#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/types/time.h"

namespace anvildrum::load {

/// Why a stream counts as broken.
enum class StreamFault {
  kNone,
  kGap,        ///< no fresh notification for longer than the limit
  kCancelled,  ///< an error, or an answer without Observe, came in place of a notification
};

/// From when on notifications named a target.
struct Place {
  std::string target;
  base::TimePoint since;
};

/// One observation (RFC 7641) as its client sees it.
struct Stream {
  bool established = false;
  std::uint32_t sequence = 0;  ///< Observe value of the last fresh notification
  base::TimePoint last_fresh;  ///< or when the stream was asked for
  base::Duration longest_gap{};
  std::uint64_t notifications = 0;
  std::uint64_t stale = 0;                 ///< notifications that came after a newer one
  StreamFault fault = StreamFault::kNone;  ///< the first one; it stays
  std::vector<Place> places;               ///< targets that served it, in turn
  std::optional<base::TimePoint> failed;   ///< when it got its fault
};

struct Notification {
  unsigned code = 0;                      ///< 205 for 2.05
  std::optional<std::uint32_t> sequence;  ///< the Observe option
  std::string target = {};                ///< that its body names; empty: none
};

auto OpenStream(base::TimePoint now) -> Stream;

/// Whether `sequence` is newer than that of the last fresh notification (RFC 7641, 3.4).
auto IsFresh(const Stream& stream, std::uint32_t sequence, base::TimePoint now) -> bool;

auto OnNotification(Stream& stream, const Notification& notification, base::TimePoint now) -> void;

/// Marks the stream broken when its gap is over the limit.
auto CheckGap(Stream& stream, base::Duration limit, base::TimePoint now) -> void;

/// Whether a fresh notification came within the limit and nothing has cancelled the stream.
auto IsAlive(const Stream& stream, base::Duration limit, base::TimePoint now) -> bool;

}  // namespace anvildrum::load
