#include "tools/load_client/stream.h"

#include <algorithm>

namespace anvildrum::load {
namespace {

constexpr auto kHalfRange = std::uint32_t{1} << 23;
// After this long a notification is fresh whatever its number (RFC 7641, 3.4).
constexpr auto kFreshAnyway = base::seconds{128};

auto Fault(Stream& stream, StreamFault fault, base::TimePoint now) -> void {
  if (stream.fault != StreamFault::kNone) return;
  stream.fault = fault;
  stream.failed = now;
}

auto NoteTarget(Stream& stream, const std::string& target, base::TimePoint now) -> void {
  if (!stream.places.empty() && stream.places.back().target == target) return;
  stream.places.push_back({target, now});
}

auto MeasureGap(Stream& stream, base::TimePoint now) -> void {
  stream.longest_gap = std::max(stream.longest_gap, now - stream.last_fresh);
}

}  // namespace

auto OpenStream(base::TimePoint now) -> Stream {
  auto stream = Stream{};
  stream.last_fresh = now;
  return stream;
}

auto IsFresh(const Stream& stream, std::uint32_t sequence, base::TimePoint now) -> bool {
  if (!stream.established || now > stream.last_fresh + kFreshAnyway) return true;
  auto last = stream.sequence;
  return (last < sequence && sequence - last < kHalfRange) ||
         (last > sequence && last - sequence > kHalfRange);
}

auto OnNotification(Stream& stream, const Notification& notification, base::TimePoint now) -> void {
  if (notification.code / 100 != 2 || !notification.sequence) {
    return Fault(stream, StreamFault::kCancelled, now);
  }
  ++stream.notifications;
  if (!IsFresh(stream, *notification.sequence, now)) {
    ++stream.stale;
    return;
  }
  MeasureGap(stream, now);
  NoteTarget(stream, notification.target, now);
  stream.established = true;
  stream.sequence = *notification.sequence;
  stream.last_fresh = now;
}

auto CheckGap(Stream& stream, base::Duration limit, base::TimePoint now) -> void {
  MeasureGap(stream, now);
  if (now - stream.last_fresh > limit) Fault(stream, StreamFault::kGap, now);
}

auto IsAlive(const Stream& stream, base::Duration limit, base::TimePoint now) -> bool {
  auto cancelled = stream.fault == StreamFault::kCancelled;
  return stream.established && !cancelled && now - stream.last_fresh <= limit;
}

}  // namespace anvildrum::load
