#include "membership/view.h"

#include <xxhash.h>

#include <algorithm>
#include <bit>

namespace anvildrum::membership {
namespace {

constexpr auto kDefaultWeight = 1.0;

template <typename Range, typename Value, typename Projection>
auto LowerBound(Range& range, const Value& value, Projection projection) {
  return std::ranges::lower_bound(range, value, {}, projection);
}

auto IdOfService(const ServiceView& service) -> base::ServiceId { return service.id; }
auto IdOfTarget(const Target& target) -> base::TargetId { return target.record.id; }
auto IdOfTombstone(const Tombstone& tombstone) -> base::TargetId { return tombstone.id; }
auto IdOfBalancer(const BalancerRecord& record) -> base::InstanceId { return record.instance; }

struct DigestEntry {
  std::uint64_t id;
  std::uint64_t incarnation;
  std::uint64_t weight;
  std::uint64_t draining;
};

auto UpdateDigest(ServiceView& service) -> void {
  auto digest = service.id.value;
  for (const auto& target : service.targets) {
    auto entry = DigestEntry{target.record.id.value, target.record.incarnation,
                             std::bit_cast<std::uint64_t>(target.weight), target.draining};
    digest = XXH3_64bits_withSeed(&entry, sizeof(entry), digest);
  }
  service.digest = digest;
}

// A target and the service that it belongs to. Both are null if the target is unknown.
struct TargetLocation {
  ServiceView* service = nullptr;
  Target* target = nullptr;
};

auto FindLocation(View& view, base::TargetId id) -> TargetLocation {
  for (auto& service : view.services) {
    auto found = LowerBound(service.targets, id, IdOfTarget);
    if (found != service.targets.end() && found->record.id == id) return {&service, &*found};
  }
  return {};
}

auto ServiceOf(View& view, base::ServiceId id) -> ServiceView& {
  auto found = LowerBound(view.services, id, IdOfService);
  if (found != view.services.end() && found->id == id) return *found;
  return *view.services.insert(found, ServiceView{id, {}, 0});
}

auto Erase(const TargetLocation& location) -> void {
  auto& targets = location.service->targets;
  targets.erase(targets.begin() + (location.target - targets.data()));
  UpdateDigest(*location.service);
}

// Whether a record of another incarnation is older than the known one. Revisions of the platform
// decide, since incarnations come from a wall clock.
auto IsEarlier(base::Incarnation incarnation, std::uint64_t revision, base::Incarnation known,
               std::uint64_t known_revision) -> bool {
  if (revision != known_revision) return revision < known_revision;
  return incarnation < known;
}

auto HasTombstone(const View& view, const TargetRecord& record) -> bool {
  auto found = LowerBound(view.tombstones, record.id, IdOfTombstone);
  if (found == view.tombstones.end() || found->id != record.id) return false;
  return record.incarnation == found->incarnation || record.revision <= found->revision;
}

auto AddTombstone(View& view, const Tombstone& tombstone) -> bool {
  auto found = LowerBound(view.tombstones, tombstone.id, IdOfTombstone);
  if (found == view.tombstones.end() || found->id != tombstone.id) {
    view.tombstones.insert(found, tombstone);
    return true;
  }
  if (found->revision >= tombstone.revision) return false;
  *found = tombstone;
  return true;
}

auto InsertTarget(View& view, Target target) -> void {
  auto& service = ServiceOf(view, target.record.service);
  auto found = LowerBound(service.targets, target.record.id, IdOfTarget);
  service.targets.insert(found, std::move(target));
  UpdateDigest(service);
}

auto UpdateSameIncarnation(const TargetLocation& location, const TargetRecord& record) -> Applied {
  auto& target = *location.target;
  if (record.revision < target.record.revision) return Applied::kStale;
  if (record.revision == target.record.revision) return Applied::kUnchanged;
  target.record = record;
  target.draining = target.draining || record.draining;
  UpdateDigest(*location.service);
  return Applied::kChanged;
}

}  // namespace

auto StateOf(const Target& target) -> TargetState {
  if (target.draining) return TargetState::kDraining;
  return target.suspect ? TargetState::kSuspect : TargetState::kLive;
}

auto ApplyRecord(View& view, const TargetRecord& record, base::TimePoint now) -> Applied {
  if (HasTombstone(view, record)) return Applied::kStale;
  auto location = FindLocation(view, record.id);
  if (location.target != nullptr) {
    const auto& known = location.target->record;
    if (record.incarnation == known.incarnation) return UpdateSameIncarnation(location, record);
    if (IsEarlier(record.incarnation, record.revision, known.incarnation, known.revision)) {
      return Applied::kStale;
    }
  }
  auto weight = kDefaultWeight;
  if (location.target != nullptr) {
    if (location.service->id == record.service) weight = location.target->weight;
    Erase(location);
  }
  InsertTarget(view, Target{record, weight, false, record.draining, now});
  view.revision = std::max(view.revision, record.revision);
  return Applied::kChanged;
}

auto RemoveRecord(View& view, base::TargetId id, base::Incarnation incarnation,
                  std::uint64_t revision) -> Applied {
  auto location = FindLocation(view, id);
  if (location.target != nullptr) {
    const auto& known = location.target->record;
    if (known.incarnation > incarnation || known.revision > revision) return Applied::kStale;
  }
  auto is_newest = AddTombstone(view, {id, incarnation, revision});
  view.revision = std::max(view.revision, revision);
  if (location.target == nullptr) return is_newest ? Applied::kUnchanged : Applied::kStale;
  Erase(location);
  return Applied::kChanged;
}

auto ApplyDrain(View& view, base::TargetId id, base::Incarnation incarnation) -> Applied {
  auto location = FindLocation(view, id);
  if (location.target == nullptr) return Applied::kStale;
  if (location.target->record.incarnation != incarnation) return Applied::kStale;
  if (location.target->draining) return Applied::kUnchanged;
  location.target->draining = true;
  UpdateDigest(*location.service);
  return Applied::kChanged;
}

auto ApplyRestart(View& view, const Restart& restart, base::TimePoint now) -> Applied {
  auto location = FindLocation(view, restart.id);
  if (location.target == nullptr) return Applied::kStale;
  auto record = location.target->record;
  auto matches_record = record.service == restart.service && record.revision == restart.revision &&
                        record.tunnel == restart.tunnel;
  if (!matches_record) return Applied::kStale;
  if (record.incarnation == restart.incarnation) return Applied::kUnchanged;
  record.incarnation = restart.incarnation;
  record.draining = false;
  return ApplyRecord(view, record, now);
}

auto SetSuspect(View& view, base::TargetId id, bool suspect) -> Applied {
  auto location = FindLocation(view, id);
  if (location.target == nullptr) return Applied::kStale;
  if (location.target->suspect == suspect) return Applied::kUnchanged;
  location.target->suspect = suspect;
  return Applied::kChanged;
}

auto ApplyWeights(View& view, base::ServiceId service, std::span<const NamedWeight> weights)
    -> Applied {
  auto& service_view = ServiceOf(view, service);
  auto before = service_view.digest;
  for (auto& target : service_view.targets) {
    auto named = std::ranges::find(weights, target.record.id, &NamedWeight::id);
    target.weight = named == weights.end() ? kDefaultWeight : named->weight;
  }
  UpdateDigest(service_view);
  return before == service_view.digest ? Applied::kUnchanged : Applied::kChanged;
}

auto ApplyBalancer(View& view, const BalancerRecord& record) -> Applied {
  auto found = LowerBound(view.balancers, record.instance, IdOfBalancer);
  if (found == view.balancers.end() || found->instance != record.instance) {
    view.balancers.insert(found, record);
    return Applied::kChanged;
  }
  if (record.incarnation == found->incarnation && record.revision == found->revision) {
    return Applied::kUnchanged;
  }
  if (IsEarlier(record.incarnation, record.revision, found->incarnation, found->revision)) {
    return Applied::kStale;
  }
  *found = record;
  view.revision = std::max(view.revision, record.revision);
  return Applied::kChanged;
}

auto RemoveBalancer(View& view, base::InstanceId instance, base::Incarnation incarnation)
    -> Applied {
  auto found = LowerBound(view.balancers, instance, IdOfBalancer);
  if (found == view.balancers.end() || found->instance != instance) return Applied::kUnchanged;
  if (found->incarnation > incarnation) return Applied::kStale;
  view.balancers.erase(found);
  return Applied::kChanged;
}

auto FindService(const View& view, base::ServiceId id) -> const ServiceView* {
  auto found = LowerBound(view.services, id, IdOfService);
  return found != view.services.end() && found->id == id ? &*found : nullptr;
}

auto FindTarget(const ServiceView& service, base::TargetId id) -> const Target* {
  auto found = LowerBound(service.targets, id, IdOfTarget);
  return found != service.targets.end() && found->record.id == id ? &*found : nullptr;
}

auto FindTarget(const View& view, base::TargetId id) -> const Target* {
  for (const auto& service : view.services) {
    const auto* target = FindTarget(service, id);
    if (target != nullptr) return target;
  }
  return nullptr;
}

}  // namespace anvildrum::membership
