#pragma once

#include <functional>
#include <iosfwd>
#include <string>

#include "base/types/time.h"
#include "ctl/fleet.h"
#include "ctl/object_store.h"
#include "ctl/types/command.h"

/// `anvilctl` without its process: every way out is an argument.
namespace anvildrum::ctl {

struct Edge {
  ObjectStore store;
  FetchStatus fetch_status;
  FetchStatus fetch_metrics;
  std::function<base::Result<void>(const base::Endpoint&)> post_drain;
  std::function<void(base::Duration)> sleep;
  std::function<base::TimePoint()> now;
  std::function<std::string()> wall_time;  ///< RFC 3339
  std::ostream& out;
  std::ostream& err;
};

/// Runs a command and returns the program's exit code (exit_code.h).
auto Run(const Invocation& invocation, Edge& edge) -> int;

}  // namespace anvildrum::ctl
