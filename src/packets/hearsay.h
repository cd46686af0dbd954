#pragma once

#include <cstddef>
#include <vector>

#include "packets/control.h"
#include "packets/view.h"

/// What balancers tell each other of the agents that they know to be live, for those that the
/// platform turns away or tells late.
namespace anvildrum::packets {

/// Agents in one message: with what else a hello says, no datagram is longer than an Ethernet
/// frame.
inline constexpr auto kMostHearsay = std::size_t{85};

/// Agents that each message repeats of those that have been known for longer, in turn: what was
/// lost comes again, all of 200 within ten seconds.
inline constexpr auto kHearsayAgain = std::size_t{20};

/// How long an agent counts as new: three messages, of which two may be lost.
inline constexpr auto kHearsayNew = base::seconds{3};

/// To a balancer that knows nobody yet: all live agents, in parts.
auto WholeHearsay(const View& view, base::TimePoint now) -> std::vector<Hello>;

/// The regular message: agents that are new, and some of the others. `from`: where these go on.
///
/// Safeguard: a balancer that others name as their seed tells each of them once a second. With all
/// agents in each message its link is filled by what did not change.
auto NextHearsay(const View& view, std::size_t& from, base::TimePoint now) -> Hello;

/// Agents that this balancer has found out of reach, at most kMostOutOfReach. What others have told
/// is not told on: it would outlive its cause among balancers that repeat each other.
auto OutOfReach(const View& view, base::TimePoint running_since, base::TimePoint now)
    -> std::vector<Address>;

}  // namespace anvildrum::packets
