#pragma once

#include <cstdint>

#include "packets/agent.h"

/// Which start of a target a heartbeat is of, and whether it is to be believed.
namespace anvildrum::packets {

/// What a heartbeat is to the incarnation that is known.
enum class HeartbeatClass : std::uint8_t {
  kCurrent,   ///< its next one
  kNext,      ///< the first of an incarnation that started later
  kDoubtful,  ///< may have been said earlier, or by a target that is gone
};

/// Whether any heartbeat has been believed since the process runs.
auto WasHeard(const LocalTarget& target) -> bool;

auto ClassifyHeartbeat(const LocalTarget& target, const Heartbeat& heartbeat) -> HeartbeatClass;

/// Whether a doubtful heartbeat follows an earlier one of its incarnation after `apart`. Remembers
/// it otherwise.
auto ConfirmHeartbeat(LocalTarget& target, const Heartbeat& heartbeat, base::Duration apart,
                      base::TimePoint now) -> bool;

/// The incarnation has left or was replaced. Without a start: any one of its id.
auto Retire(LocalTarget& target, const Incarnation& incarnation) -> void;

/// Whether an incarnation with this id has been retired.
auto IsFormerId(const LocalTarget& target, std::uint64_t id) -> bool;

/// The incarnation has proved that it lives.
auto Reinstate(LocalTarget& target, const Incarnation& incarnation) -> void;

}  // namespace anvildrum::packets
