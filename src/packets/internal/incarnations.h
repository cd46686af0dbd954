#pragma once

#include <cstdint>

#include "packets/agent.h"

/// Determines which incarnation of a target sent a heartbeat, and whether to accept it.
namespace anvildrum::packets {

/// Relation of a heartbeat to the known incarnation.
enum class HeartbeatClass : std::uint8_t {
  kCurrent,   ///< a later heartbeat of the known incarnation
  kNext,      ///< the first of an incarnation that started later
  kDoubtful,  ///< may be delayed, or from a target that is gone
};

/// Whether this process has accepted any heartbeat of the target.
auto WasHeard(const LocalTarget& target) -> bool;

auto ClassifyHeartbeat(const LocalTarget& target, const Heartbeat& heartbeat) -> HeartbeatClass;

/// Whether a doubtful heartbeat is confirmed: it follows the remembered one of its incarnation by
/// at least `apart`. Remembers it if it is of another incarnation or its sequence does not rise.
auto ConfirmHeartbeat(LocalTarget& target, const Heartbeat& heartbeat, base::Duration apart,
                      base::TimePoint now) -> bool;

/// Records that the incarnation has left or was replaced. Without a start time, the record covers
/// every incarnation with its id.
auto Retire(LocalTarget& target, const Incarnation& incarnation) -> void;

/// Whether an incarnation with this id has been retired.
auto IsFormerId(const LocalTarget& target, std::uint64_t id) -> bool;

/// Removes the incarnation from the retired ones, since it has proved to be alive.
auto Reinstate(LocalTarget& target, const Incarnation& incarnation) -> void;

}  // namespace anvildrum::packets
