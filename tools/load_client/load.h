#pragma once

#include <coap3/coap.h>

#include <cstdint>
#include <vector>

#include "tools/load_client/command_line.h"
#include "tools/load_client/flow.h"
#include "tools/load_client/summary.h"
#include "tools/load_client/tally.h"

namespace anvildrum::load {

/// A run's whole state, reached from libcoap's callbacks by the context's app data.
struct Load {
  CommandLine line;
  Tally tally;
  std::vector<Flow> flows;
  std::uint64_t next_request = 1;
  base::TimePoint started;
  bool stopping = false;  ///< nothing new is sent
};

/// Sends the load, waits for the outstanding answers and prints the summary on standard output.
/// Ends early on SIGTERM or SIGINT. Returns whether the run passed.
auto RunLoad(const CommandLine& line) -> bool;

}  // namespace anvildrum::load
