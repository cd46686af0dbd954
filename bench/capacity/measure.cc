#include "measure.h"

#include <malloc.h>

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <limits>

namespace anvildrum::capacity {
namespace {

constexpr auto kBatches = 15;
constexpr auto kBatchNanoseconds = 4e6;
constexpr auto kNanosecondsPerSecond = 1e9;

auto ReadNanoseconds(clockid_t clock) -> double {
  auto now = std::timespec{};
  clock_gettime(clock, &now);
  return static_cast<double>(now.tv_sec) * kNanosecondsPerSecond + static_cast<double>(now.tv_nsec);
}

auto TimeBatch(clockid_t clock, const std::function<void()>& work, std::uint64_t calls) -> double {
  auto start = ReadNanoseconds(clock);
  for (auto i = std::uint64_t{0}; i < calls; ++i) work();
  return ReadNanoseconds(clock) - start;
}

auto CallsPerBatch(clockid_t clock, const std::function<void()>& work) -> std::uint64_t {
  auto calls = std::uint64_t{1};
  while (TimeBatch(clock, work, calls) < kBatchNanoseconds) calls *= 2;
  return calls;
}

auto LeastPerCall(clockid_t clock, const std::function<void()>& work) -> double {
  auto calls = CallsPerBatch(clock, work);
  auto least = std::numeric_limits<double>::max();
  for (auto i = 0; i < kBatches; ++i) {
    least = std::min(least, TimeBatch(clock, work, calls) / static_cast<double>(calls));
  }
  return least;
}

}  // namespace

auto NanosecondsPerCall(const std::function<void()>& work) -> double {
  return LeastPerCall(CLOCK_THREAD_CPUTIME_ID, work);
}

auto ProcessNanosecondsPerCall(const std::function<void()>& work) -> double {
  return LeastPerCall(CLOCK_PROCESS_CPUTIME_ID, work);
}

auto AllocatedBytes() -> double {
  auto info = mallinfo2();
  return static_cast<double>(info.uordblks + info.hblkhd);
}

}  // namespace anvildrum::capacity
