#pragma once

#include <cstdint>
#include <optional>

#include "base/types/ids.h"
#include "packets/drain.h"
#include "packets/types/packet.h"
#include "packets/types/place.h"

namespace anvildrum::packets {

/// The part of a service's id that travels in a stamp.
inline auto TagOf(base::ServiceId service) -> std::uint16_t {
  constexpr auto mask = (std::uint64_t{1} << kServiceTagBits) - 1;
  return static_cast<std::uint16_t>(service.value & mask);
}

enum class TargetState : std::uint8_t {
  kUnknown,   ///< the agent has just started and has not heard of its target yet
  kAbsent,    ///< the target has left
  kReady,     ///< takes openings
  kDraining,  ///< keeps its flows, is given no opening
  kStopping,  ///< the agent's process ends in a moment
};

/// What an agent tells balancers of its target.
struct TargetReport {
  Address agent = 0;
  base::ServiceId service{};
  std::uint64_t start = 0;     ///< differs between starts of the agent's process
  std::uint64_t sequence = 0;  ///< rises within a start
  TargetState state = TargetState::kUnknown;
  std::uint32_t in_flight = 0;    ///< requests at work, openings without an answer
  std::uint32_t held = 0;         ///< open flows
  std::uint32_t slots = 0;        ///< requests that the target works on at once
  bool cold = false;              ///< just started, and slow for now
  std::uint32_t wanted_list = 0;  ///< digest of a list of peers that the agent lacks; 0: none
  DomainTag domain = 0;           ///< where the agent runs
  std::uint64_t revision = 0;     ///< the platform's, of the configuration that it keeps; 0: none
  DrainedDomains drained{};       ///< told to a balancer that has another, older set
};

/// One start of a target. An id may be used again by a later start, which holds nothing of before.
struct Incarnation {
  std::uint64_t id = 0;                     ///< digest of the target's id
  std::optional<std::uint64_t> started_ms;  ///< Unix time of the start by the target's own clock
  auto operator==(const Incarnation&) const -> bool = default;
};

/// What a target tells the agent beside it.
struct Heartbeat {
  Incarnation incarnation;
  base::ServiceId service{};
  std::uint64_t sequence = 0;  ///< rises with each heartbeat of an incarnation, from its start anew
  bool draining = false;
  std::uint32_t slots = 0;
  std::uint32_t cold_ms = 0;  ///< how much longer it is slow after its start
};

}  // namespace anvildrum::packets
