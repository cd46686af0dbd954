#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/types/endpoint.h"
#include "base/types/time.h"

namespace anvildrum::load {

struct CommandLine {
  base::Endpoint service;
  unsigned flows = 1;
  std::string observe;  ///< paths; empty for none
  std::string post;
  std::string get;
  std::string report;
  double rate = 1;  ///< POSTs and GETs a second over all flows, each
  base::Duration run_time{};
  base::Duration open_over{};       ///< the flows' streams are opened one by one in this time
  base::Duration requests_after{};  ///< POSTs and GETs begin so long after the start
  base::Duration requests_for{};    ///< and end so long after that; 0: with the run
  base::Duration gap_limit{};
  base::Duration request_timeout{};
  base::Duration report_timeout{};
  /// Sent in the Deadline option of POSTs and GETs; zero: no option.
  base::milliseconds deadline{};
  std::string run_id;  ///< goes before the number in each request's id
  bool json = false;
  bool list_streams = false;  ///< the summary has each stream
};

/// Reads the options. Ends the process on --help, --version and options that TCLAP refuses.
/// Errors: base::EndpointError.
auto ParseCommandLine(int argc, const char* const* argv) -> base::Result<CommandLine>;

}  // namespace anvildrum::load
