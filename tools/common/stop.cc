#include "tools/common/stop.h"

#include <csignal>

namespace anvildrum::tools {
namespace {

volatile std::sig_atomic_t stop_requested = 0;

}  // namespace

auto InstallStopHandler() -> void {
  auto handler = [](int) { stop_requested = 1; };
  std::signal(SIGTERM, handler);
  std::signal(SIGINT, handler);
}

auto StopRequested() -> bool { return stop_requested != 0; }

}  // namespace anvildrum::tools
