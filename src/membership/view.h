#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "base/types/time.h"
#include "membership/types/records.h"

namespace anvildrum::membership {

/// What an instance thinks of a target. `kSuspect` is its own observation; the others are the same
/// on every instance that has the same records.
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
  /// Over id, incarnation, draining and weight of each target; suspicion is not part of it. Two
  /// instances with the same digest agree on the home of every flow.
  std::uint64_t digest = 0;
};

/// What is left of a target that was removed, so that an older record cannot bring it back.
struct Tombstone {
  base::TargetId id;
  base::Incarnation incarnation = 0;
  std::uint64_t revision = 0;
};

/// All that an instance knows of the others. `services`, `tombstones` and `balancers` are sorted
/// (by id, id and instance).
struct View {
  std::vector<ServiceView> services;
  std::vector<Tombstone> tombstones;
  std::vector<BalancerRecord> balancers;
  std::uint64_t revision = 0;  ///< highest platform revision that was applied
};

enum class Applied : std::uint8_t {
  kChanged,    ///< the view differs now
  kUnchanged,  ///< nothing new in the record
  kStale,      ///< refused: older than what is known
};

/// Takes a record in. Safeguard: a lagging read, a slow peer or a process that wakes may offer the
/// record of an earlier process, which would send packets to a dead one; a record of lower
/// revision, or of the same one with a lower incarnation, is refused as kStale. So is the
/// incarnation that was removed, whatever its revision.
///
/// The revision goes first because incarnations come from a wall clock. Failure: a target drains,
/// its machine's clock is set back, it starts anew. Symptom by incarnation: no instance takes its
/// record, and it serves nobody until the clock has passed the earlier start. The platform's
/// revisions never go back for a key.
///
/// A later record under another service takes the target out of its earlier service.
auto ApplyRecord(View& view, const TargetRecord& record, base::TimePoint now) -> Applied;

/// Takes a target out after its record was deleted at `revision`. A removal of an incarnation older
/// than the known one, or at a lower revision than the known record's, is kStale.
auto RemoveRecord(View& view, base::TargetId id, base::Incarnation incarnation,
                  std::uint64_t revision) -> Applied;

/// Takes in the word of a target's own agent, which comes ahead of the platform's. A drain is final
/// for an incarnation, so that a late record from before cannot end it; the target takes flows
/// again after a restart.
auto ApplyDrain(View& view, base::TargetId id, base::Incarnation incarnation) -> Applied;

/// The word of a target's agent that it was started again while the platform was out of its reach.
struct Restart {
  base::TargetId id;
  base::ServiceId service;
  base::Incarnation incarnation = 0;
  std::uint64_t revision = 0;  ///< of the record in force that it stands on
  base::Endpoint tunnel;       ///< where the word came from
};

/// Puts a new incarnation under the record in force, which keeps its revision. Taken only under the
/// very record that the agent stands on, from its own address and for its service. So nobody comes
/// back who was removed, a second agent of the name elsewhere isn't believed, and whatever the
/// platform takes later has a higher revision and wins. All else is kStale.
auto ApplyRestart(View& view, const Restart& restart, base::TimePoint now) -> Applied;

/// Sets this instance's own suspicion. Leaves the digest as it is.
auto SetSuspect(View& view, base::TargetId id, bool suspect) -> Applied;

/// A target's weight by name; targets not named weigh 1.
struct NamedWeight {
  base::TargetId id;
  double weight = 1.0;
};
auto ApplyWeights(View& view, base::ServiceId service, std::span<const NamedWeight> weights)
    -> Applied;

auto ApplyBalancer(View& view, const BalancerRecord& record) -> Applied;
auto RemoveBalancer(View& view, base::InstanceId instance, base::Incarnation incarnation)
    -> Applied;

/// Null when unknown. The pointers hold until the view changes.
auto FindService(const View& view, base::ServiceId id) -> const ServiceView*;
auto FindTarget(const ServiceView& service, base::TargetId id) -> const Target*;
auto FindTarget(const View& view, base::TargetId id) -> const Target*;

}  // namespace anvildrum::membership
