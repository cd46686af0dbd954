#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>

#include "base/types/time.h"
#include "platform/backoff.h"

/// Reads of the platform that instances share: whoever reads tells the others, and they put off
/// their own.
namespace anvildrum::platform {

struct SharedReadsPolicy {
  /// Nobody reads while what is known was confirmed this short a while ago.
  base::Duration fresh_for = base::milliseconds{750};
  /// After that each instance waits for a part of this, drawn anew each time. The first one reads,
  /// and the others hear of it before their turn.
  base::Duration spread = base::milliseconds{750};
  /// Between reads that fail.
  BackoffPolicy backoff{.first = base::milliseconds{200}, .cap = base::milliseconds{1000}};
  /// Reads of all instances together while none of them is answered.
  double attempts_per_second = 20;
};

/// When an instance has to read what all of them follow. What is known counts as of the moment at
/// which the read began that brought it, at whichever instance.
///
/// Safeguard: watches wait silently while the platform drops its history, or after their connection
/// went dead, all of them at once where they began together. Instances that went by their watches
/// alone held an old configuration until the platform ended them. A read proves that there is
/// nothing newer; a watch that waits proves nothing. With n instances the fleet reads about once in
/// `fresh_for`; one that hears of nobody reads for itself within `fresh_for` and `spread`.
///
/// Safeguard: instances that the platform does not answer each asked for themselves, so that calls
/// in an outage grew with the fleet. They take turns in failing too: each asks the more seldom the
/// more instances there are, and whoever is answered first tells the others. One that was turned
/// away while others are answered asks after them.
struct SharedReads {
  SharedReadsPolicy policy;
  Backoff backoff;
  std::size_t instances = 1;   ///< that tell each other, this one included
  std::size_t turn_among = 1;  ///< instances when the wait after a failed read was drawn
  std::optional<base::TimePoint> confirmed_at;  ///< nothing before the first read
  base::TimePoint due_at{};                     ///< when this instance reads
  std::optional<base::TimePoint> began_at;      ///< of the read under way
  bool outdated = false;  ///< the read under way began before there was something newer
};

auto MakeSharedReads(const SharedReadsPolicy& policy, std::uint64_t seed) -> SharedReads;

/// The first read is drawn within the spread: whoever begins it first tells the others.
auto Begin(SharedReads& reads, base::TimePoint now) -> void;

/// How many instances tell each other, this one included. Where they have become far fewer, the
/// read after a failed one comes sooner.
auto SetInstances(SharedReads& reads, std::size_t instances, base::TimePoint now) -> void;

/// Mean time between two reads of one instance while none is answered.
auto TurnInOutage(const SharedReads& reads) -> base::Duration;

auto IsReadDue(const SharedReads& reads, base::TimePoint now) -> bool;

auto BeginRead(SharedReads& reads, base::TimePoint now) -> void;

/// The read under way has brought all there is.
auto EndRead(SharedReads& reads, base::TimePoint now) -> void;

/// The read under way has failed: the next one waits for the backoff.
auto FailRead(SharedReads& reads, base::TimePoint now) -> void;

/// Another instance read at `as_of` what this one has, and nothing newer.
auto TakeConfirmation(SharedReads& reads, base::TimePoint as_of, base::TimePoint now) -> void;

/// Another instance has something newer: it is read soon, by each instance at a moment of its own.
auto HastenRead(SharedReads& reads, base::TimePoint now) -> void;

/// How long ago what is known was confirmed; nothing before the first read.
auto AgeOf(const SharedReads& reads, base::TimePoint now) -> std::optional<base::Duration>;

}  // namespace anvildrum::platform
