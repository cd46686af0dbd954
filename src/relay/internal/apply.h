#pragma once

#include <cstdint>
#include <optional>
#include <span>
#include <string>
#include <vector>

#include "base/types/ids.h"
#include "base/types/time.h"
#include "relay/state.h"
#include "relay/types/effect.h"

namespace anvildrum::relay {

/// A record as it came, with the delta it came as (configuration from a peer).
struct Incoming {
  PlatformObject object;
  std::uint64_t delta_base = 0;  ///< revision; zero: it came whole
  std::string delta{};
};

/// What a set of records claims to be.
struct Claim {
  std::uint64_t base = 0;      ///< every change after this revision ...
  std::uint64_t revision = 0;  ///< ... up to this one is in the set
  bool complete = false;       ///< everything that exists at `revision`
  base::InstanceId from;       ///< peer that sent it; zero: the platform
};

/// Takes what is newer, passes it on to the children and reports it to the role's core.
auto Apply(State& state, std::span<const Incoming> records, const Claim& claim, base::TimePoint now,
           Effects& effects) -> void;

}  // namespace anvildrum::relay
