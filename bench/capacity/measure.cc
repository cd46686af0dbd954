#include "measure.h"

#include <algorithm>
#include <cstdint>
#include <ctime>
#include <limits>

namespace anvildrum::capacity {
namespace {

constexpr auto kBatches = 15;
constexpr auto kBatchNanoseconds = 4e6;
constexpr auto kNanosecondsPerSecond = 1e9;

auto ThreadNanoseconds() -> double {
  auto now = std::timespec{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &now);
  return static_cast<double>(now.tv_sec) * kNanosecondsPerSecond + static_cast<double>(now.tv_nsec);
}

auto TimeBatch(const std::function<void()>& work, std::uint64_t calls) -> double {
  auto start = ThreadNanoseconds();
  for (auto i = std::uint64_t{0}; i < calls; ++i) work();
  return ThreadNanoseconds() - start;
}

auto CallsPerBatch(const std::function<void()>& work) -> std::uint64_t {
  auto calls = std::uint64_t{1};
  while (TimeBatch(work, calls) < kBatchNanoseconds) calls *= 2;
  return calls;
}

}  // namespace

auto NanosecondsPerCall(const std::function<void()>& work) -> double {
  auto calls = CallsPerBatch(work);
  auto least = std::numeric_limits<double>::max();
  for (auto i = 0; i < kBatches; ++i) {
    least = std::min(least, TimeBatch(work, calls) / static_cast<double>(calls));
  }
  return least;
}

}  // namespace anvildrum::capacity
