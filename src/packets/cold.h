#pragma once

#include <cstdint>

#include "base/types/time.h"

/// How many openings a target is given while it is cold: it has just started, and bears fewer
/// requests a second than later, whatever its slots say.
namespace anvildrum::packets {

/// What was given so far, as a generic cell rate algorithm keeps it.
struct ColdAllowance {
  base::TimePoint used_until{};  ///< up to when the rate is used up
};

/// Whether the target may be given one opening more.
///
/// With `per_second` openings it gets at most 1.25 * per_second + 2 in any second, and as much
/// again as a quarter and 2 where the agent was started again in that second and has forgotten what
/// it gave.
///
/// Safeguard: an operator takes a failure domain back whose targets have all become cold, or empty
/// targets join; being the least loaded they would be given all openings at once, of each balancer,
/// and answer none of them in time.
auto MayAdmitCold(const ColdAllowance& allowance, std::uint32_t per_second, base::TimePoint now)
    -> bool;

auto CountColdOpening(ColdAllowance& allowance, std::uint32_t per_second, base::TimePoint now)
    -> void;

}  // namespace anvildrum::packets
