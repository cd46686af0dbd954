#pragma once

#include <cstdint>
#include <optional>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "packets/drain.h"
#include "packets/types/packet.h"
#include "packets/types/place.h"
#include "packets/types/route_set.h"

namespace anvildrum::packets {

/// The low bits of a service's id that a stamp carries.
inline auto TagOf(base::ServiceId service) -> std::uint16_t {
  constexpr auto mask = (std::uint64_t{1} << kServiceTagBits) - 1;
  return static_cast<std::uint16_t>(service.value & mask);
}

enum class TargetState : std::uint8_t {
  kUnknown,   ///< the agent has just started and has not heard of its target yet
  kAbsent,    ///< the target has left
  kReady,     ///< the target accepts openings
  kDraining,  ///< the target keeps its flows but receives no openings
  kStopping,  ///< the agent's process is about to end
  kStarting,  ///< the target is ready, and its agent will soon deliver openings to it
};

/// An agent's report to a balancer about its target.
struct TargetReport {
  Address agent = 0;
  base::ServiceId service{};
  std::uint64_t start = 0;     ///< differs between starts of the agent's process
  std::uint64_t sequence = 0;  ///< rises within a start
  TargetState state = TargetState::kUnknown;
  std::uint32_t in_flight = 0;       ///< requests in progress and unanswered openings
  std::uint32_t held = 0;            ///< open flows
  std::uint32_t slots = 0;           ///< requests that the target processes concurrently
  bool cold = false;                 ///< slow after its start
  std::uint32_t wanted_list = 0;     ///< digest of a requested peer list; 0 if none
  DomainTag domain = 0;              ///< failure domain of the agent
  std::uint64_t revision = 0;        ///< platform revision of its configuration copy; 0 if none
  DrainedDomains drained{};          ///< set only if the balancer has an older, different set
  std::uint32_t wanted_classes = 0;  ///< digest of requested route classes; 0 if none
  std::uint32_t answered = 0;        ///< requests that ended in the last one to two seconds
  std::uint32_t failed = 0;          ///< of these, the failed ones
  /// Mean of recent requests without the wait in the target's queue; zero: unknown. Reports carry
  /// it in whole microseconds.
  base::Duration service_time{};
  /// Routes of which the target may hold flows. An agent that does not know all flows of its
  /// target, and one that reports no set, may hold flows of any route.
  RouteSet routes = kAllRoutes;
};

/// One run of a target's process. A later run may use the same id, but holds none of the flows of
/// an earlier one.
struct Incarnation {
  std::uint64_t id = 0;                     ///< hash of the target's id
  std::optional<std::uint64_t> started_ms;  ///< Unix time of the start by the target's own clock
  auto operator==(const Incarnation&) const -> bool = default;
};

/// A target's heartbeat to its local agent.
struct Heartbeat {
  Incarnation incarnation;
  base::ServiceId service{};
  std::uint64_t sequence = 0;  ///< increases with each heartbeat of an incarnation
  bool draining = false;
  std::uint32_t slots = 0;
  std::uint32_t cold_ms = 0;  ///< remaining time in ms of its slow phase after the start
};

}  // namespace anvildrum::packets
