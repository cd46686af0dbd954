#pragma once

#include <vector>

#include "packets/view.h"

/// Whom a balancer says hello to, and when.
namespace anvildrum::packets {

struct HelloPolicy {
  /// Between two hellos to an agent while nothing changes, at least: loads are a quarter of a
  /// second old at most where agents are few.
  base::Duration period = base::milliseconds{250};
  /// Hellos a second of a balancer while nothing changes, at most; each is answered by a report.
  /// With 20 us a datagram they take 0.8 % of a core, however many agents there are; the period
  /// grows instead. Reports a second old place openings as evenly as those of 50 ms.
  std::size_t idle_per_second = 200;
  /// Hellos in one check, which comes every 50 ms: what has changed reaches 200 agents in 100 ms,
  /// and a check takes 4 ms of a core in which packets of flows wait.
  std::size_t max_per_check = 100;
};

/// The members that are to be sent a hello now, suspected ones first, then those whose last one was
/// longest ago; they count as greeted. Due is who has not been told of the last change, who is
/// awaited, and whose last hello was a period ago. Sets View::greet_every. Called at each check of
/// stalls.
///
/// Safeguard: with all agents greeted at each change, 91 balancers said hello to 204 agents up to
/// twenty times a second while targets were replaced; hellos and lists filled links of 20 Mbit/s,
/// and half of the clients' packets were lost.
auto DueHellos(View& view, const HelloPolicy& policy, base::TimePoint running_since,
               base::TimePoint now) -> std::vector<Address>;

}  // namespace anvildrum::packets
