#pragma once

#include <cstdint>
#include <iosfwd>
#include <string>
#include <vector>

#include "scenario/script.h"

namespace anvildrum::scenario {

struct Report {
  std::vector<std::string> failures;  ///< of expectations and of what must always hold
  std::uint64_t expectations = 0;     ///< that were looked at
  std::uint64_t streams = 0;          ///< that were established
  std::uint64_t requests = 0;
};

/// The statements that are not set-up by their time, which each of them then has: a statement
/// without one of its own happens with the one before it.
auto InOrder(const std::vector<Line>& lines) -> std::vector<Line>;

/// Runs a script against the role cores. `trace` may be null. Errors: ScriptError.
auto RunScript(const std::vector<Line>& lines, std::uint64_t seed, std::ostream* trace)
    -> base::Result<Report>;

}  // namespace anvildrum::scenario
