#pragma once

#include <cstdint>

#include "base/types/time.h"

/// Rate limit for openings to a cold target. A target is cold shortly after its start, when it
/// handles fewer requests per second than later, regardless of its slots.
namespace anvildrum::packets {

/// State of the generic cell rate algorithm that limits the openings.
struct ColdAllowance {
  base::TimePoint used_until{};  ///< theoretical arrival time of the next opening
};

/// Whether the target may receive one more opening.
///
/// It receives at most 1.25 * per_second + 2 openings in any second, plus another quarter of
/// `per_second` and 2 if the agent restarted in that second and lost the allowance state.
///
/// Safeguard: when an operator returns a failure domain to service whose targets have become cold,
/// or when new targets join, they are the least loaded ones. Every balancer would send them all of
/// its openings at once, and they would answer none of them in time.
auto MayAdmitCold(const ColdAllowance& allowance, std::uint32_t per_second, base::TimePoint now)
    -> bool;

/// Counts an opening that is delivered to the cold target.
auto CountColdOpening(ColdAllowance& allowance, std::uint32_t per_second, base::TimePoint now)
    -> void;

}  // namespace anvildrum::packets
