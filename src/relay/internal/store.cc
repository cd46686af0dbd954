#include "relay/store.h"

#include <algorithm>

namespace anvildrum::relay {
namespace {

constexpr std::string_view kTargetsPrefix = "targets/";

/// The odd factor spreads a revision over all bits before it meets the key's hash.
constexpr std::uint64_t kRevisionFactor = 0x9E3779B97F4A7C15ULL;

auto DigestOf(std::string_view key, std::uint64_t revision) -> std::uint64_t {
  const std::uint64_t mixed = base::HashName(key) ^ (revision * kRevisionFactor);
  return (mixed ^ (mixed >> 29)) * kRevisionFactor;
}

/// Adds a live record to the digests, or takes it out again.
auto ToggleDigest(Store& store, std::string_view key, const StoredRecord& record) -> void {
  if (record.deleted) return;
  const std::uint64_t digest = DigestOf(key, record.revision);
  store.all_digest ^= digest;
  if (record.service.value == 0) {
    store.shared_digest ^= digest;
    return;
  }
  const auto place = store.service_digests.try_emplace(record.service.value, 0).first;
  place->second ^= digest;
  if (place->second == 0) store.service_digests.erase(place);
}

auto JudgeKnown(const StoredRecord& held, const PlatformObject& object) -> Verdict {
  if (object.revision < held.revision) return Verdict::kStaleRevision;
  if (object.revision == held.revision) return Verdict::kDuplicate;
  return Verdict::kAccepted;
}

/// A restored platform or a lagging read may offer a number that was left behind; taking it would
/// put an older configuration in force. The number alone is not enough either: after a restore a
/// new patch may reuse a number, so the revision must rise with it.
auto JudgeConfig(const StoredRecord* held, const PlatformObject& object) -> Verdict {
  if (object.deleted) return Verdict::kConfigDeleted;
  if (held == nullptr) return Verdict::kAccepted;
  const Verdict verdict = JudgeKnown(*held, object);
  if (verdict != Verdict::kAccepted) return verdict;
  return object.number > held->number ? Verdict::kAccepted : Verdict::kStaleNumber;
}

auto Judge(const Store& store, const StoredRecord* held, const PlatformObject& object,
           bool authoritative) -> Verdict {
  if (object.key == kConfigKey) return JudgeConfig(held, object);
  if (held != nullptr) return JudgeKnown(*held, object);
  // Failure: a peer that missed a deletion offers the record after its tombstone was dropped here.
  // Symptom: traffic to a target that left. The horizon says that everything up to it is held, so a
  // record below it that is not held is one that was deleted.
  const bool is_settled = store.complete && object.revision <= store.horizon;
  if (is_settled && !authoritative) return Verdict::kForgotten;
  return Verdict::kAccepted;
}

auto Put(Store& store, const PlatformObject& object, base::TimePoint now) -> void {
  StoredRecord& record = store.records[object.key];
  const bool was_known = record.revision != 0;
  if (was_known) {
    ToggleDigest(store, object.key, record);
    store.by_revision.erase({record.revision, object.key});
    if (record.deleted) --store.tombstones;
  }
  record.revision = object.revision;
  record.number = object.number;
  record.deleted = object.deleted;
  record.service = ServiceOfKey(object.key);
  record.value = object.deleted ? std::string{} : object.value;
  if (record.deleted) {
    ++store.tombstones;
    store.tombstone_queue.push_back({.at = now, .revision = object.revision, .key = object.key});
  }
  store.by_revision.emplace(object.revision, object.key);
  ToggleDigest(store, object.key, record);
}

}  // namespace

auto ServiceOfKey(std::string_view key) -> base::ServiceId {
  if (!key.starts_with(kTargetsPrefix)) return {};
  const std::string_view rest = key.substr(kTargetsPrefix.size());
  return base::ServiceIdOf(rest.substr(0, rest.find('/')));
}

auto IsTakenBy(base::ServiceId record_service, base::ServiceId service) -> bool {
  return service.value == 0 || record_service.value == 0 || record_service == service;
}

auto Offer(Store& store, const PlatformObject& object, bool authoritative, base::TimePoint now)
    -> Verdict {
  const auto found = store.records.find(object.key);
  const StoredRecord* held = found == store.records.end() ? nullptr : &found->second;
  const Verdict verdict = Judge(store, held, object, authoritative);
  if (verdict == Verdict::kAccepted) Put(store, object, now);
  return verdict;
}

auto RemoveOthers(Store& store, std::span<const std::string_view> keys, std::uint64_t revision,
                  base::TimePoint now) -> std::vector<PlatformObject> {
  std::vector<std::string_view> named(keys.begin(), keys.end());
  std::sort(named.begin(), named.end());
  std::vector<PlatformObject> gone;
  for (const auto& [key, record] : store.records) {
    if (record.deleted || record.revision > revision || key == kConfigKey) continue;
    if (std::binary_search(named.begin(), named.end(), key)) continue;
    gone.push_back({.key = key, .revision = revision, .deleted = true, .value = {}, .number = 0});
  }
  for (const PlatformObject& object : gone) Put(store, object, now);
  return gone;
}

auto PruneTombstones(Store& store, base::Duration keep, std::size_t most, base::TimePoint now)
    -> void {
  while (!store.tombstone_queue.empty()) {
    const Tombstone& oldest = store.tombstone_queue.front();
    if (now - oldest.at <= keep && store.tombstones <= most) return;
    const auto found = store.records.find(oldest.key);
    const bool stands = found != store.records.end() && found->second.deleted &&
                        found->second.revision == oldest.revision;
    if (stands) {
      store.floor = std::max(store.floor, oldest.revision);
      store.by_revision.erase({oldest.revision, oldest.key});
      store.records.erase(found);
      --store.tombstones;
    }
    store.tombstone_queue.pop_front();
  }
}

auto DigestFor(const Store& store, base::ServiceId service) -> std::uint64_t {
  if (service.value == 0) return store.all_digest;
  const auto found = store.service_digests.find(service.value);
  const std::uint64_t own = found == store.service_digests.end() ? 0 : found->second;
  return store.shared_digest ^ own;
}

auto FindConfig(const Store& store) -> const StoredRecord* {
  const auto found = store.records.find(std::string(kConfigKey));
  return found == store.records.end() ? nullptr : &found->second;
}

}  // namespace anvildrum::relay
