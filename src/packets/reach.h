#pragma once

#include <cstddef>
#include <vector>

#include "packets/view.h"

/// Probes the machines of silent agents by connecting to them, and records the results.
///
/// Safeguard: silence alone has two possible causes. An agent's process may restart within three
/// seconds while its target keeps running, or the machine may lose power or be removed, and its
/// target's flows are lost. Without probes a balancer waited five seconds before it considered
/// either gone, and five more after its own start. Meanwhile no lost flow of the service was reset,
/// and clients sent packets without an answer until their deadlines. This happened after each loss
/// of a failure domain, and after each loss of all power if one machine with a record did not come
/// back. A machine that is up refuses a connection to a port on which no process listens; a machine
/// that is off does not answer.
namespace anvildrum::packets {

struct ReachPolicy {
  /// A member is probed after this time of silence, or after one and a half hello periods if that
  /// is longer. This is sooner than a silent member counts as gone, so that the result of the probe
  /// is known by then.
  base::Duration silent_for = base::milliseconds{400};
  /// Time between two probes of a member.
  base::Duration every = base::seconds{1};
};

/// Returns the members to probe now, at most `most`, least recently probed first, and marks them as
/// probed. Also records in View::isolated whether this instance hears from no agent at all. Called
/// at each stall check.
auto DueProbes(View& view, const ReachPolicy& policy, std::size_t most,
               base::TimePoint running_since, base::TimePoint now) -> std::vector<Address>;

/// Records the result of a connection attempt to a member's machine that started at `began`.
/// `answered` means that the connection was accepted or refused.
auto RecordProbeResult(View& view, Address agent, base::TimePoint began, bool answered) -> void;

}  // namespace anvildrum::packets
