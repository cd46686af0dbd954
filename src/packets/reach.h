#pragma once

#include <cstddef>
#include <vector>

#include "packets/view.h"

/// Which silent agents' machines are asked for a connection, and what it tells.
///
/// Safeguard: an agent's process ends and is back within three seconds, while its target lives; a
/// machine loses power, or is removed, and the flows of its target are lost with it. By silence
/// alone the two look the same, and a balancer waited five seconds before it took either for gone,
/// and five more after its own start. Meanwhile no lost flow of the service was reset: their
/// clients sent into nothing until their deadlines, after each loss of a failure domain, and after
/// each loss of all power that one machine with a record did not come back from. A machine that is
/// up refuses a connection where no process listens; one that is off leaves it unanswered.
namespace anvildrum::packets {

struct ReachPolicy {
  /// A member that has been silent for this long, or for one and a half periods of greeting, is
  /// asked: sooner than it is taken as gone, so that both are known by then.
  base::Duration silent_for = base::milliseconds{400};
  /// Between two questions to a member.
  base::Duration every = base::seconds{1};
};

/// Members to be asked for a connection now, at most `most`, those first that were asked longest
/// ago; they count as asked. Also notes in the view whether this instance hears from nobody at all.
/// Called at each check of stalls.
auto DueProbes(View& view, const ReachPolicy& policy, std::size_t most,
               base::TimePoint running_since, base::TimePoint now) -> std::vector<Address>;

/// How an attempt to connect to a member's machine that was begun at `began` has ended. `answered`:
/// it was accepted or refused.
auto RecordProbeResult(View& view, Address agent, base::TimePoint began, bool answered) -> void;

}  // namespace anvildrum::packets
