#pragma once

namespace anvildrum::ctl {

/// What `anvilctl` ends with; docs/operators/anvilctl.md lists them.
enum ExitCode : int {
  kDone = 0,
  kRefused = 1,              ///< a rule refuses it; or a settings file has faults
  kUsage = 2,                ///< the command line is wrong, or a file can't be read
  kConflict = 3,             ///< another number won
  kPlatformUnreachable = 4,  ///< nothing was changed
  kUnsettled = 5,            ///< it may have taken effect; the same command again settles it
  kIncomplete = 6,           ///< some instances can't be reached, or it isn't in force on them yet
};

}  // namespace anvildrum::ctl
