#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "packets/control.h"
#include "packets/view.h"

/// What balancers tell each other of the agents that they know to be live, for those that the
/// platform turns away or tells late.
namespace anvildrum::packets {

/// Agents in one message: with what else a hello says, kMostDrained domains among it, no datagram
/// is longer than an Ethernet frame.
inline constexpr auto kMaxGossipPeers = std::size_t{75};

/// Agents that each message repeats of those that have been known for longer, in turn: what was
/// lost comes again, all of 200 within ten seconds.
inline constexpr auto kGossipRepeats = std::size_t{20};

/// How long an agent counts as new once it has been told of: three messages, of which two may be
/// lost.
inline constexpr auto kGossipNewFor = base::seconds{3};

/// What the regular messages have told so far.
struct GossipState {
  std::unordered_map<Address, base::TimePoint> announced_at;  ///< live agents, and since when
  std::size_t next_repeat = 0;  ///< where agents that are told of again go on
};

/// To a balancer that knows nobody yet: all live agents, in parts.
auto FullGossip(const View& view, base::TimePoint now) -> std::vector<Hello>;

/// The regular message: agents that are new, those first that no message has told of since they
/// came to life, and some of the others.
///
/// Safeguard: a balancer that others name as their seed tells each of them once a second. With all
/// agents in each message its link is filled by what did not change.
auto NextGossip(const View& view, GossipState& turn, base::TimePoint now) -> Hello;

/// The message in parts that fit into a frame each: agents out of reach go apart from a list that
/// leaves them no room.
///
/// Safeguard: a message that is longer than a frame is dropped, and with it what it confirms. A
/// failure domain is out of reach just when the others' agents start again.
auto SplitIntoFrames(const Hello& message) -> std::vector<Hello>;

/// Agents that this balancer has found out of reach, at most kMostOutOfReach. What others have told
/// is not told on: it would outlive its cause among balancers that repeat each other.
auto OutOfReach(const View& view, base::TimePoint running_since, base::TimePoint now)
    -> std::vector<Address>;

}  // namespace anvildrum::packets
