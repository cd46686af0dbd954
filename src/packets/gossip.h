#pragma once

#include <cstddef>
#include <unordered_map>
#include <vector>

#include "packets/control.h"
#include "packets/view.h"

/// Gossip: balancers tell each other which agents are live, because the platform may reject a
/// balancer's requests or notify it late.
namespace anvildrum::packets {

/// Maximum number of agents in one message. Together with the other contents of a hello, including
/// kMaxDrained domains, no datagram is longer than an Ethernet frame.
inline constexpr auto kMaxGossipPeers = std::size_t{75};

/// Number of agents that are no longer new and that each message repeats, round robin. Lost entries
/// are thus sent again, all of 200 agents within ten seconds.
inline constexpr auto kGossipRepeats = std::size_t{20};

/// Time for which an agent counts as new after its first announcement: three messages, two of which
/// may be lost.
inline constexpr auto kGossipNewFor = base::seconds{3};

/// Tracks what the regular messages have announced so far.
struct GossipState {
  std::unordered_map<Address, base::TimePoint>
      announced_at;             ///< live agents, time of the first announcement
  std::size_t next_repeat = 0;  ///< index at which the repeats continue
};

/// Returns all live agents, in parts, for a balancer that knows no agent yet.
auto FullGossip(const View& view, base::TimePoint now) -> std::vector<Hello>;

/// Returns the next regular message: new agents, starting with those that no message has announced
/// since they became live, and kGossipRepeats of the others.
///
/// Safeguard: a balancer that others use as a seed sends each of them a message once a second. With
/// all agents in each message, unchanged entries would fill its link.
auto NextGossip(const View& view, GossipState& state, base::TimePoint now) -> Hello;

/// Splits the message into parts that each fit into a frame. Unreachable agents are sent separately
/// if the list of peers leaves no room for them.
///
/// Safeguard: a message that is longer than a frame is dropped, and the confirmation of the
/// configuration in it is lost. Both lists can be long at once: a failure domain may be unreachable
/// while the agents of the others restart.
auto SplitIntoFrames(const Hello& message) -> std::vector<Hello>;

/// Returns the agents that this balancer itself has found unreachable, at most kMaxOutOfReach.
/// Agents that only other balancers reported are left out: balancers that repeat each other would
/// keep the report alive after its cause has gone.
auto OutOfReach(const View& view, base::TimePoint running_since, base::TimePoint now)
    -> std::vector<Address>;

}  // namespace anvildrum::packets
