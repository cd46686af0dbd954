#pragma once

#include <span>
#include <string>
#include <string_view>
#include <variant>

#include "ctl/types/command.h"

namespace anvildrum::ctl {

/// What the environment supplies where the command line doesn't.
struct Environment {
  std::string platform;  ///< ANVILCTL_PLATFORM: IP:PORT, or several with commas
  std::string user;      ///< USER: the author of patches
};

/// Understands the arguments after the program's name. Stop is help, version or a usage error.
auto ParseCommandLine(std::span<const std::string> arguments, const Environment& environment)
    -> std::variant<Invocation, Stop>;

}  // namespace anvildrum::ctl
