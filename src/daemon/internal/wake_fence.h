#pragma once

#include <cstdint>
#include <optional>

#include "base/types/time.h"
#include "relay/state.h"

namespace anvildrum::daemon {

/// Keeps clients' packets out of a balancer that was not run for a while, until it knows again what
/// is in force.
///
/// Safeguard: while a balancer is stopped, an address may be moved from one service to another.
/// Woken, it finds packets for the new service in its sockets and, by its old tables, sends them to
/// targets of the earlier one. Packets that come before it is up to date are dropped; the clients'
/// retransmissions take another way or come later.
struct WakeFence {
  base::TimePoint last_run{};
  std::optional<base::TimePoint> woken;  ///< set while the fence is up
  std::uint64_t stops = 0;
  std::uint64_t dropped = 0;
};

/// To be called at each event, before anything else. Returns whether the fence is up.
auto NoteRun(WakeFence& fence, base::TimePoint now) -> bool;

/// Takes the fence down once a parent was heard, or a watch of the platform's own has asked, for
/// long enough after the wake that what waited in the sockets is behind it. With neither in reach
/// it goes down after a limit: then nobody in reach knows better.
auto LiftFence(WakeFence& fence, const relay::State& relay, base::TimePoint now) -> void;

}  // namespace anvildrum::daemon
