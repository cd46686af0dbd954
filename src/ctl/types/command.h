#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "base/types/endpoint.h"
#include "base/types/time.h"

namespace anvildrum::ctl {

struct StatusCommand {
  bool as_json = false;
};

struct GetCommand {};

struct HistoryCommand {};

struct ApplyCommand {
  std::uint64_t base = 0;
  std::string file;
  std::string id;  ///< empty: derived from base, author and patch
  std::string author;
  bool dry_run = false;
  bool wait = false;
};

struct DrainCommand {
  std::string target;
};

struct CheckCommand {
  std::string file;
};

struct VersionsCommand {
  std::string file;       ///< metrics addresses of balancers
  std::size_t most = 20;  ///< late balancers that are named
};

using Command = std::variant<StatusCommand, GetCommand, HistoryCommand, ApplyCommand, DrainCommand,
                             CheckCommand, VersionsCommand>;

/// A command line that was understood.
struct Invocation {
  Command command;
  std::vector<base::Endpoint> platform;  ///< tried in turn
  /// Operator ports to ask instead of those that are announced at the platform.
  std::vector<base::Endpoint> operators;
  base::seconds wait_limit{10};
};

/// Text to print instead of running a command.
struct Stop {
  int exit_code = 0;
  std::string text;
};

}  // namespace anvildrum::ctl
