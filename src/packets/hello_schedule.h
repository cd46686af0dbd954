#pragma once

#include <vector>

#include "packets/view.h"

/// Schedules a balancer's hellos to its agents.
namespace anvildrum::packets {

struct HelloPolicy {
  /// Minimum time between two hellos to an agent while nothing changes. With few agents, reported
  /// loads are at most a quarter of a second old.
  base::Duration period = base::milliseconds{250};
  /// Maximum number of hellos that a balancer sends per second while nothing changes; each is
  /// answered by a report. At 20 us a datagram they take 0.8 % of a core for any number of agents,
  /// because the period grows with that number. Openings are spread as evenly with reports that are
  /// a second old as with reports that are 50 ms old.
  std::size_t idle_per_second = 200;
  /// Maximum number of hellos in one check; checks run every 50 ms. A change reaches 200 agents in
  /// 100 ms, and a check takes 4 ms of a core, during which packets of flows wait.
  std::size_t max_per_check = 100;
};

/// Returns the members to which a hello is due now and marks it as sent. Suspected members come
/// first, then the others by the time of their last hello, oldest first. A hello is due to a member
/// that has not been told of the last change, that is awaited, or whose last hello was a period
/// ago. Sets View::hello_interval. Called at each stall check.
///
/// Safeguard: when every change sent a hello to all agents, 91 balancers sent hellos to 204 agents
/// up to twenty times a second while targets were replaced. Hellos and lists filled links of
/// 20 Mbit/s, and half of the clients' packets were lost.
auto DueHellos(View& view, const HelloPolicy& policy, base::TimePoint running_since,
               base::TimePoint now) -> std::vector<Address>;

}  // namespace anvildrum::packets
