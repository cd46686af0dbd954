#include "scenario/records.h"

#include "membership/codec.h"
#include "scenario/world.h"

namespace anvildrum::scenario {
namespace {

// Far enough from zero to be set back from.
constexpr auto kWallStart = base::hours(1000);

auto NameOfKey(const std::string& key) -> std::string { return key.substr(key.rfind('/') + 1); }

auto ApplyTarget(const relay::PlatformObject& object, membership::View& view, base::TimePoint now)
    -> void {
  if (!object.deleted) {
    auto record = membership::ParseTargetRecord(object.key, object.revision, object.value);
    if (record) membership::ApplyRecord(view, *record, now);
    return;
  }
  auto id = base::TargetIdOf(NameOfKey(object.key));
  const auto* known = membership::FindTarget(view, id);
  if (known == nullptr) return;
  membership::RemoveRecord(view, id, known->record.incarnation, object.revision);
}

auto ApplyBalancer(const relay::PlatformObject& object, membership::View& view) -> void {
  if (!object.deleted) {
    auto record = membership::ParseBalancerRecord(object.key, object.revision, object.value);
    if (record) membership::ApplyBalancer(view, *record);
    return;
  }
  auto instance = base::InstanceIdOf(NameOfKey(object.key));
  auto balancers = view.balancers;
  for (const auto& known : balancers) {
    if (known.instance == instance) {
      membership::RemoveBalancer(view, instance, known.incarnation);
    }
  }
}

}  // namespace

auto ToRelayPeer(const membership::BalancerRecord& record) -> relay::RelayPeer {
  return {record.name, record.instance, record.incarnation, record.control, record.failure_domain};
}

auto ApplyObject(const relay::PlatformObject& object, membership::View& view, base::TimePoint now)
    -> void {
  if (object.key.starts_with(membership::kTargetPrefix)) return ApplyTarget(object, view, now);
  if (object.key.starts_with(membership::kBalancerPrefix)) return ApplyBalancer(object, view);
}

auto IncarnationAt(const World& world, const std::string& process) -> base::Incarnation {
  auto jumped = world.wall_clocks.find(process);
  auto offset = jumped == world.wall_clocks.end() ? base::Duration{} : jumped->second;
  auto wall = kWallStart + world.clock.now.time_since_epoch() + offset;
  return static_cast<base::Incarnation>(base::Duration(wall).count()) + 1;
}

}  // namespace anvildrum::scenario
