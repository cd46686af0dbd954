#pragma once

#include <iosfwd>
#include <vector>

#include "scenario/script.h"

namespace anvildrum::scenario {

/// Writes the statements as they were read, for runners in other languages: one JSON object a line,
/// set-up first, then all others by their time.
///
///     {"line": 12, "text": "at 3s c1..c2 open", "set_up": false, "at_ms": 3000,
///      "words": ["c1", "c2", "open"]}
///
/// A word is a string, a number (a per cent is divided by 100), or {"ms": N} for a duration.
auto WritePlan(const std::vector<Line>& lines, std::ostream& out) -> void;

}  // namespace anvildrum::scenario
