#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

#include "base/types/time.h"
#include "platform/backoff.h"
#include "platform/types/object.h"

namespace anvildrum::platform {

struct WatchPolicy {
  base::Duration hold = base::seconds(25);    ///< longest wait of one watch
  base::Duration resync = base::seconds(60);  ///< longest time between lists, unless they are so
  double resync_bytes_per_second = 2048;      ///< large that they would take more than this
  /// Between an answer with changes and the next watch: changes that come together are told by one
  /// call instead of one each.
  base::Duration pause{};
  base::Duration start_spread{};  ///< the first list waits up to this
  BackoffPolicy backoff;
};

struct WatchCounters {
  std::uint64_t lists = 0;
  std::uint64_t watches = 0;
  std::uint64_t failures = 0;       ///< calls that failed, or brought nothing but older revisions
  std::uint64_t hung = 0;           ///< watches without an answer in time
  std::uint64_t too_old = 0;        ///< watches from before the platform's history
  std::uint64_t older_refused = 0;  ///< listings and objects older than what is known
  std::uint64_t unreadable = 0;     ///< entries of answers that named no object
  std::uint64_t missed = 0;         ///< changes that a list found and no watch had told
};

/// Follows all objects under a prefix: list, then watch from the list's revision, and list again
/// after whatever could have lost a change.
///
/// Safeguards. (1) A lagging replica, or a platform that was restored from a copy, offers older
/// revisions; taking them would bring back a configuration or a target that is gone. A revision
/// below what was seen is refused and counted, for the listing as a whole and for each key. (2) A
/// watch can hang or skip changes without a sign; instances would go on with an old view for ever.
/// Each watch ends by its deadline, and the next list finds what was skipped, also deletions,
/// because all known keys are compared. (3) The lists of a fleet's prefix are megabytes and would
/// take more of the network than control may spend; the time between two grows with their size.
struct PrefixWatch {
  std::string prefix;
  WatchPolicy policy;
  Backoff backoff;
  std::uint64_t call = 0;      ///< id of the call or timer that is awaited; others are ignored
  std::uint64_t revision = 0;  ///< newest seen
  bool list_next = true;
  bool waits = false;  ///< for a timer, not for an answer
  base::TimePoint resync_at{};
  base::TimePoint watch_since{};
  std::unordered_map<std::string, std::uint64_t> known;  ///< key -> revision
  WatchCounters counters;
};

struct WatchTimerFired {
  std::uint64_t call = 0;
};
struct Listed {
  std::uint64_t call = 0;
  Outcome<Listing> outcome;
};
struct Watched {
  std::uint64_t call = 0;
  Outcome<Listing> outcome;
};
using WatchEvent = std::variant<WatchTimerFired, Listed, Watched>;

struct StartTimer {
  std::uint64_t call = 0;
  base::Duration delay{};
};
struct StartList {
  std::uint64_t call = 0;
};
struct StartWatch {
  std::uint64_t call = 0;
  std::uint64_t after = 0;
  base::Duration hold{};
};

/// `next` is always set; `changes` are in the order of their revisions.
struct WatchEffects {
  std::vector<Object> changes;
  std::optional<std::uint64_t> synced;  ///< all changes up to this revision have been given
  std::variant<StartTimer, StartList, StartWatch> next;
};

auto MakePrefixWatch(std::string_view prefix, const WatchPolicy& policy, std::uint64_t seed)
    -> PrefixWatch;

/// Begins with a list, spread over `start_spread`.
auto Begin(PrefixWatch& watch) -> WatchEffects;

/// Ends a wait after a failed call within this; nothing where there is none.
auto Hasten(PrefixWatch& watch, base::Duration within) -> std::optional<WatchEffects>;

/// Nothing for an answer that is not awaited any more.
auto Step(PrefixWatch& watch, const WatchEvent& event, base::TimePoint now)
    -> std::optional<WatchEffects>;

}  // namespace anvildrum::platform
