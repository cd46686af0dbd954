#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/types/time.h"
#include "membership/types/records.h"

namespace anvildrum::membership {

/// State of a target in an instance's view. `kSuspect` is the instance's own observation. The
/// others are the same on every instance with the same records.
enum class TargetState : std::uint8_t { kLive, kSuspect, kDraining };

struct Target {
  TargetRecord record;
  double weight = 1.0;  ///< from the configuration
  bool suspect = false;
  bool draining = false;    ///< by the record or by a DrainNotice
  base::TimePoint since{};  ///< when this instance first saw the incarnation; for slow start
};

auto StateOf(const Target& target) -> TargetState;

/// The targets of one service, sorted by id.
struct ServiceView {
  base::ServiceId id;
  std::vector<Target> targets;
  /// Digest over id, incarnation, draining and weight of each target, without suspicion. Two
  /// instances with the same digest agree on the home of every flow.
  std::uint64_t digest = 0;
};

/// Remainder of a removed target, so that an older record cannot restore it.
struct Tombstone {
  base::TargetId id;
  base::Incarnation incarnation = 0;
  std::uint64_t revision = 0;
};

/// An instance's knowledge of the others. `services`, `tombstones` and `balancers` are sorted (by
/// id, id and instance).
struct View {
  std::vector<ServiceView> services;
  std::vector<Tombstone> tombstones;
  std::vector<BalancerRecord> balancers;
  std::uint64_t revision = 0;  ///< highest applied revision of the platform
};

enum class Applied : std::uint8_t {
  kChanged,    ///< the view has changed
  kUnchanged,  ///< nothing new in the record
  kStale,      ///< refused: older than the known state
};

/// Applies a record. Safeguard: a lagging read, a slow peer or a process that was suspended may
/// offer the record of an earlier process, and packets would be sent to a process that no longer
/// exists. A record with a lower revision, or with the same revision and a lower incarnation, is
/// refused as kStale. So is a removed incarnation, whatever its revision.
///
/// Revisions are compared before incarnations, because incarnations come from a wall clock.
/// Failure: a target drains, its machine's clock is set back, and it starts again. Symptom if
/// incarnations decided: all instances refuse its record, and it serves nobody until the clock has
/// passed the earlier start. The platform's revisions of a key never decrease.
///
/// A later record under another service removes the target from its earlier service.
auto ApplyRecord(View& view, const TargetRecord& record, base::TimePoint now) -> Applied;

/// Removes a target after its record was deleted at `revision`. The removal is kStale if the known
/// record has a higher incarnation or a higher revision.
auto RemoveRecord(View& view, base::TargetId id, base::Incarnation incarnation,
                  std::uint64_t revision) -> Applied;

/// Applies a drain notice of the target's own agent, which arrives before the platform's record. A
/// drain is final for an incarnation, so that an older record cannot end it. The target takes flows
/// again after a restart.
auto ApplyDrain(View& view, base::TargetId id, base::Incarnation incarnation) -> Applied;

/// Notice of an agent that its target was restarted while the platform was unreachable.
struct Restart {
  base::TargetId id;
  base::ServiceId service;
  base::Incarnation incarnation = 0;
  std::uint64_t revision = 0;  ///< of the record in force that the notice is based on
  base::Endpoint tunnel;       ///< sender of the notice
};

/// Sets a new incarnation in the record in force, which keeps its revision. The notice has to match
/// that record's revision, service and tunnel address; otherwise it is kStale. A removed target is
/// therefore not restored, a second agent with the same name at another address is refused, and any
/// later record of the platform has a higher revision and replaces this one.
auto ApplyRestart(View& view, const Restart& restart, base::TimePoint now) -> Applied;

/// Sets this instance's own suspicion. Does not change the digest.
auto SetSuspect(View& view, base::TargetId id, bool suspect) -> Applied;

/// Weight of a target by name. Other targets have a weight of 1.
struct NamedWeight {
  base::TargetId id;
  double weight = 1.0;
};
auto ApplyWeights(View& view, base::ServiceId service, std::span<const NamedWeight> weights)
    -> Applied;

auto ApplyBalancer(View& view, const BalancerRecord& record) -> Applied;
auto RemoveBalancer(View& view, base::InstanceId instance, base::Incarnation incarnation)
    -> Applied;

/// Returns null if unknown. The pointers are valid until the view changes.
auto FindService(const View& view, base::ServiceId id) -> const ServiceView*;
auto FindTarget(const ServiceView& service, base::TargetId id) -> const Target*;
auto FindTarget(const View& view, base::TargetId id) -> const Target*;

}  // namespace anvildrum::membership
