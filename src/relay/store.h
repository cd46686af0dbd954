#pragma once

#include <boost/unordered/unordered_flat_map.hpp>
#include <cstdint>
#include <deque>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "relay/types/event.h"

namespace anvildrum::relay {

inline constexpr std::string_view kConfigKey = "config";

struct StoredRecord {
  std::uint64_t revision = 0;
  std::uint64_t number = 0;  ///< configuration only
  bool deleted = false;      ///< a tombstone
  base::ServiceId service;   ///< of a target's record; zero for what everyone takes
  std::string value;
};

/// What became of a record that was offered.
enum class Verdict {
  kAccepted,
  kDuplicate,      ///< held already
  kStaleRevision,  ///< older than what is held
  kStaleNumber,    ///< a configuration whose number is not higher
  kConfigDeleted,  ///< a configuration is never taken away
  kForgotten,      ///< not newer than the horizon and not held: it was deleted since
};

/// One configuration change as zstd of the new value with the old one as its prefix.
struct ConfigDelta {
  std::uint64_t from = 0;  ///< revision of the old value
  std::uint64_t to = 0;
  std::uint64_t number = 0;
  std::string bytes;
};

/// Where a tombstone stands, in the order of the deletions.
struct Tombstone {
  base::TimePoint at{};
  std::uint64_t revision = 0;
  std::string key;
};

/// Records by key. Revisions and the configuration's number only rise.
struct Store {
  boost::unordered_flat_map<std::string, StoredRecord> records;
  std::set<std::pair<std::uint64_t, std::string>> by_revision;
  bool complete = false;  ///< a complete set was taken once
  /// Everything up to this revision is held; of no meaning before the first complete set.
  std::uint64_t horizon = 0;
  /// Deletions up to this revision may have been forgotten.
  std::uint64_t floor = 0;
  std::size_t tombstones = 0;
  std::deque<Tombstone> tombstone_queue;
  std::uint64_t shared_digest = 0;
  boost::unordered_flat_map<std::uint64_t, std::uint64_t> service_digests;
  std::uint64_t all_digest = 0;
  std::deque<ConfigDelta> deltas;
};

/// Offers one record. `authoritative`: it is part of a complete set that is as new as the horizon,
/// so an unknown record below the horizon is one that was missed, not one that was deleted.
auto Offer(Store& store, const PlatformObject& object, bool authoritative, base::TimePoint now)
    -> Verdict;

/// Ends a complete set of `revision` >= horizon: what is not in `keys` does not exist. Returns the
/// records that went, as deletions at `revision`.
auto RemoveOthers(Store& store, std::span<const std::string_view> keys, std::uint64_t revision,
                  base::TimePoint now) -> std::vector<PlatformObject>;

/// Forgets tombstones older than `keep` or beyond `most`, oldest first.
auto PruneTombstones(Store& store, base::Duration keep, std::size_t most, base::TimePoint now)
    -> void;

/// Digest over key and revision of the live records that a receiver of `service` takes (zero: all).
/// Equal digests: equal sets, but for a chance of 2^-64.
auto DigestFor(const Store& store, base::ServiceId service) -> std::uint64_t;

/// Whether a receiver of `service` takes this record.
auto IsTakenBy(base::ServiceId record_service, base::ServiceId service) -> bool;

/// The service of key "targets/SERVICE/NAME"; zero for every other key.
auto ServiceOfKey(std::string_view key) -> base::ServiceId;

/// Configuration held; nullptr before the first.
auto FindConfig(const Store& store) -> const StoredRecord*;

}  // namespace anvildrum::relay
