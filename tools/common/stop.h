#pragma once

namespace anvildrum::tools {

/// Lets SIGTERM and SIGINT ask for a graceful stop in place of ending the process.
auto InstallStopHandler() -> void;

/// Whether a stop has been asked for.
auto StopRequested() -> bool;

}  // namespace anvildrum::tools
