#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/types/time.h"
#include "tools/load_client/stream.h"
#include "tools/load_client/tally.h"

namespace anvildrum::load {

/// What a run found, as it is printed.
struct Summary {
  const Tally* tally = nullptr;
  std::uint64_t streams = 0;
  std::uint64_t streams_alive = 0;
  std::uint64_t streams_broken = 0;
  std::uint64_t streams_cancelled = 0;  ///< of the broken ones, by an error or a reset
  std::uint64_t notifications = 0;
  std::uint64_t stale_notifications = 0;
  double longest_gap_ms = 0;
  std::uint64_t flows = 0;
  base::TimePoint started;            ///< of the run; what is listed counts from it
  std::vector<const Stream*> listed;  ///< streams to print one by one
  std::uint64_t flows_moved = 0;      ///< flows whose answers named more than one target
};

auto AddStream(Summary& summary, const Stream& stream, base::Duration gap_limit,
               base::TimePoint now) -> void;

/// No wrong answer, no broken stream or report, no double execution, and not all requests in vain.
auto Passed(const Summary& summary) -> bool;

/// One line of JSON.
auto ToJson(const Summary& summary) -> std::string;

/// The same as indented lines.
auto ToText(const Summary& summary) -> std::string;

}  // namespace anvildrum::load
