#pragma once

#include <string_view>

namespace anvildrum::ctl {

inline constexpr std::string_view kHelp =
    R"(anvilctl COMMAND [--platform IP:PORT]... [OPTION]...

Commands:
  status [--json]           number in force, targets, flows and drains of each instance
  get                       the configuration document
  history                   patches that were accepted: number, time, author, id, difference
  apply --base N PATCH.json apply an RFC 6902 patch written against number N
      [--dry-run]             show what it would change and leave it at that
      [--wait]                return when it is in force on every instance that can be reached
      [--id ID] [--author NAME]
  drain TARGET              stop new flows and requests to a target
  check SETTINGS            check a settings file of anvildrumd
  versions BALANCERS        which version of the configuration is in force at balancers of packet
                            flows; BALANCERS is a file of their metrics addresses, one a line
      [--most N]              name at most so many that are late (default 20)

Options:
  -p, --platform IP:PORT    the platform; again for another address of it
                            (default: ANVILCTL_PLATFORM, with commas)
  -o, --operator IP:PORT    status, drain: ask these operator ports and not the platform
  -t, --timeout SECONDS     longest wait of apply --wait (default 10)
      --help, --version

Exit codes:
  0 done   1 refused by a rule   2 usage   3 another number won   4 platform unreachable
  5 unsettled: repeat the same command   6 some instances unreachable, or not in force there
)";

}  // namespace anvildrum::ctl
