#pragma once

#include <array>
#include <cstdint>
#include <utility>
#include <vector>

#include "admission/types/request_class.h"
#include "base/types/time.h"

namespace anvildrum::admission {

/// Recent openings at a target by priority.
///
/// Safeguard: a configuration may have urgent routes with little or no traffic. If their priority
/// were the only urgent one, all common requests would count as less urgent, and none of them would
/// go first.
struct ActivePriorities {
  struct Entry {
    Priority priority = 0;
    std::array<std::uint32_t, 2> openings{};  ///< current and previous generation
  };
  std::vector<Entry> entries;  ///< by priority, most urgent first; one each
  base::TimePoint began_at{};  ///< start of the current generation
  std::uint32_t total = 0;     ///< openings of both generations
};

/// Records an opening of the priority, once at the first target that it reaches.
auto NoteOpening(ActivePriorities& active, Priority priority, base::TimePoint now) -> void;

/// Returns the range of recent priorities: first, the priority up to which openings are urgent, and
/// then the least urgent one; both are 0 if there is none. Priorities above the first one make up
/// too small a share of the openings to need capacity of their own.
auto RangeOf(const ActivePriorities& active, base::TimePoint now) -> std::pair<Priority, Priority>;

}  // namespace anvildrum::admission
