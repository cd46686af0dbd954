#include "platform/prefix_watch.h"

#include <algorithm>
#include <chrono>
#include <unordered_set>
#include <utility>

namespace anvildrum::platform {
namespace {

auto Wait(PrefixWatch& watch, base::Duration delay, WatchEffects effects = {}) -> WatchEffects {
  watch.waits = true;
  effects.next = StartTimer{++watch.call, delay};
  return effects;
}

auto Retry(PrefixWatch& watch, WatchEffects effects = {}) -> WatchEffects {
  ++watch.counters.failures;
  return Wait(watch, NextDelay(watch.backoff), std::move(effects));
}

auto List(PrefixWatch& watch, WatchEffects effects) -> WatchEffects {
  ++watch.counters.lists;
  effects.next = StartList{++watch.call};
  return effects;
}

auto Watch(PrefixWatch& watch, base::TimePoint now, WatchEffects effects) -> WatchEffects {
  ++watch.counters.watches;
  watch.watch_since = now;
  effects.next = StartWatch{++watch.call, watch.revision, watch.policy.hold};
  return effects;
}

auto CallNext(PrefixWatch& watch, base::TimePoint now, WatchEffects effects = {}) -> WatchEffects {
  if (watch.list_next || now >= watch.resync_at) return List(watch, std::move(effects));
  return Watch(watch, now, std::move(effects));
}

// Takes a change that is newer than what is known of its key.
auto Accept(PrefixWatch& watch, const Object& object, WatchEffects& effects) -> bool {
  auto known = watch.known.find(object.key);
  if (known != watch.known.end() && object.revision <= known->second) return false;
  if (object.deleted) {
    if (known == watch.known.end()) return false;
    watch.known.erase(known);
  } else {
    watch.known.insert_or_assign(object.key, object.revision);
  }
  effects.changes.push_back(object);
  return true;
}

auto SortByRevision(std::vector<Object>& objects) -> void {
  auto older = [](const Object& a, const Object& b) { return a.revision < b.revision; };
  std::stable_sort(objects.begin(), objects.end(), older);
}

// Keys that are known and no longer listed were deleted at the latest in the listing's revision.
auto AcceptAbsences(PrefixWatch& watch, const Listing& listing, WatchEffects& effects) -> void {
  auto listed = std::unordered_set<std::string_view>{};
  for (const auto& object : listing.items) listed.insert(object.key);
  auto gone = std::vector<std::string>{};
  for (const auto& [key, revision] : watch.known) {
    if (!listed.contains(key)) gone.push_back(key);
  }
  std::sort(gone.begin(), gone.end());
  for (const auto& key : gone) {
    watch.known.erase(key);
    effects.changes.push_back(Object{key, listing.revision, true, ""});
  }
}

auto AcceptListing(PrefixWatch& watch, const Listing& listing) -> WatchEffects {
  auto effects = WatchEffects{};
  auto first = watch.revision == 0 && watch.known.empty();
  for (const auto& object : listing.items) {
    auto known = watch.known.find(object.key);
    auto older = known != watch.known.end() && object.revision < known->second;
    if (older) ++watch.counters.older_refused;
    Accept(watch, object, effects);
  }
  AcceptAbsences(watch, listing, effects);
  SortByRevision(effects.changes);
  for (const auto& change : effects.changes) {
    if (!first && change.revision <= watch.revision) ++watch.counters.missed;
  }
  return effects;
}

auto SizeOf(const Listing& listing) -> double {
  auto size = std::size_t{0};
  for (const auto& object : listing.items) size += object.key.size() + object.value.size();
  return static_cast<double>(size);
}

// Drawn from the upper half of the range, so that the fleet's lists have no common moment.
auto TimeToResync(PrefixWatch& watch, const Listing& listing) -> base::Duration {
  auto paced =
      std::chrono::duration<double>(SizeOf(listing) / watch.policy.resync_bytes_per_second);
  auto range = std::max(watch.policy.resync, std::chrono::duration_cast<base::Duration>(paced * 2));
  return range / 2 + Jitter(watch.backoff, range / 2);
}

auto OnListed(PrefixWatch& watch, const Outcome<Listing>& outcome, base::TimePoint now)
    -> WatchEffects {
  const auto* listing = std::get_if<Listing>(&outcome);
  if (listing == nullptr) return Retry(watch);
  if (listing->revision < watch.revision) {
    ++watch.counters.older_refused;
    return Retry(watch);
  }
  watch.counters.unreadable += listing->unreadable;
  auto effects = AcceptListing(watch, *listing);
  watch.revision = listing->revision;
  effects.synced = watch.revision;
  watch.list_next = false;
  watch.resync_at = now + TimeToResync(watch, *listing);
  Reset(watch.backoff);
  return Watch(watch, now, std::move(effects));
}

auto OnWatchFailed(PrefixWatch& watch, PlatformErrorCode code) -> WatchEffects {
  if (code == PlatformErrorCode::kTimeout) ++watch.counters.hung;
  if (code == PlatformErrorCode::kTooOld) ++watch.counters.too_old;
  auto lossy = code == PlatformErrorCode::kTimeout || code == PlatformErrorCode::kTooOld;
  if (lossy) watch.list_next = true;
  return Retry(watch);
}

auto AcceptEvents(PrefixWatch& watch, std::vector<Object> events, WatchEffects& effects) -> void {
  SortByRevision(events);
  for (const auto& object : events) {
    if (object.revision <= watch.revision) {
      ++watch.counters.older_refused;
    } else {
      Accept(watch, object, effects);
    }
  }
}

auto OnWatched(PrefixWatch& watch, const Outcome<Listing>& outcome, base::TimePoint now)
    -> WatchEffects {
  if (const auto* error = std::get_if<PlatformError>(&outcome)) {
    return OnWatchFailed(watch, error->code);
  }
  const auto& listing = std::get<Listing>(outcome);
  if (listing.revision < watch.revision) {
    ++watch.counters.older_refused;
    watch.list_next = true;
    return Retry(watch);
  }
  watch.counters.unreadable += listing.unreadable;
  auto effects = WatchEffects{};
  AcceptEvents(watch, listing.items, effects);
  auto moved = listing.revision > watch.revision;
  watch.revision = listing.revision;
  effects.synced = watch.revision;
  // Safeguard: a platform that answers watches at once with nothing new would be called in a tight
  // loop by every watcher; such an answer is waited out like a failure.
  auto hasty = !moved && now - watch.watch_since < watch.policy.hold / 2;
  if (hasty) return Retry(watch, std::move(effects));
  Reset(watch.backoff);
  if (moved && watch.policy.pause > base::Duration{}) {
    return Wait(watch, watch.policy.pause, std::move(effects));
  }
  return CallNext(watch, now, std::move(effects));
}

auto CallOf(const WatchEvent& event) -> std::uint64_t {
  return std::visit([](const auto& any) { return any.call; }, event);
}

}  // namespace

auto MakePrefixWatch(std::string_view prefix, const WatchPolicy& policy, std::uint64_t seed)
    -> PrefixWatch {
  auto watch = PrefixWatch{};
  watch.prefix = prefix;
  watch.policy = policy;
  watch.backoff = MakeBackoff(policy.backoff, seed);
  return watch;
}

auto Begin(PrefixWatch& watch) -> WatchEffects {
  return Wait(watch, Jitter(watch.backoff, watch.policy.start_spread));
}

auto Hasten(PrefixWatch& watch, base::Duration within) -> std::optional<WatchEffects> {
  if (!watch.waits || watch.backoff.failures == 0) return std::nullopt;
  Reset(watch.backoff);
  return Wait(watch, Jitter(watch.backoff, within));
}

auto Step(PrefixWatch& watch, const WatchEvent& event, base::TimePoint now)
    -> std::optional<WatchEffects> {
  if (CallOf(event) != watch.call) return std::nullopt;
  watch.waits = false;
  if (const auto* listed = std::get_if<Listed>(&event)) {
    return OnListed(watch, listed->outcome, now);
  }
  if (const auto* watched = std::get_if<Watched>(&event)) {
    return OnWatched(watch, watched->outcome, now);
  }
  return CallNext(watch, now);
}

}  // namespace anvildrum::platform
