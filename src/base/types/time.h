#pragma once

#include <chrono>

namespace anvildrum::base {

/// The clock of every core: monotonic, passed in as an argument, virtual in tests.
using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

using std::chrono::hours;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::nanoseconds;
using std::chrono::seconds;

}  // namespace anvildrum::base
