#pragma once

#include <cstdint>
#include <optional>

#include "base/types/time.h"

/// How old a message between two instances is at most, by the receiver's clock alone.
///
/// Each message carries a mark of its sender's clock and the last mark that the sender has had from
/// the receiver, with the time for which it has held it. The receiver knows when it made that mark:
/// the message was sent no earlier than so long after it, whatever the way and the sockets of both
/// took. Clocks need the same pace, not the same time.
///
/// Safeguard: a message that says "I read this 10 ms ago" is older than that by its way and by the
/// time for which it waited in the socket of a process that stood still. Taken at its word, what it
/// tells counts as newer than it is; told on from one to the next, an old state stays fresh for
/// ever.
namespace anvildrum::base {

/// Marks of one process, in whole milliseconds of its clock.
struct MarkClock {
  /// Drawn anew by each process: a mark of an earlier one is not taken for its own.
  std::uint32_t origin = 0;
  TimePoint started{};
};

/// The last mark that another instance has sent.
struct HeardMark {
  std::uint32_t mark = 0;
  TimePoint at{};  ///< when it was read from the socket
};

/// A mark on its way back to who made it.
struct Echo {
  std::uint32_t mark = 0;
  Duration held{};  ///< between its arrival and its return
  auto operator==(const Echo&) const -> bool = default;
};

/// Marks that are older do not prove anything: it bounds for how long one of an earlier process can
/// be mistaken for an own one, where their origins are that close.
inline constexpr auto kMarkFor = seconds{10};

auto MarkAt(const MarkClock& clock, TimePoint now) -> std::uint32_t;

/// Nothing where the mark has been held for longer than kMarkFor.
auto EchoOf(const HeardMark& heard, TimePoint now) -> std::optional<Echo>;

/// The message that carries this echo was sent at this moment or later; nothing where the mark is
/// not of this process, or older than kMarkFor.
auto SentNotBefore(const MarkClock& clock, const Echo& echo, TimePoint now)
    -> std::optional<TimePoint>;

}  // namespace anvildrum::base
