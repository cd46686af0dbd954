#include "base/clock.h"

#include <ctime>

namespace anvildrum::base {

auto Now() -> TimePoint {
  auto time = std::timespec{};
  ::clock_gettime(CLOCK_BOOTTIME, &time);
  return TimePoint(seconds(time.tv_sec) + nanoseconds(time.tv_nsec));
}

}  // namespace anvildrum::base
