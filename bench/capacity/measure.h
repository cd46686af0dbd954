#pragma once

#include <functional>

namespace anvildrum::capacity {

/// Processor time of this thread that one call of `work` takes, in nanoseconds: the least of
/// several batches, because whatever else runs on the machine can only add to it.
auto NanosecondsPerCall(const std::function<void()>& work) -> double;

/// The same for all threads of the process, where a library works in threads of its own.
auto ProcessNanosecondsPerCall(const std::function<void()>& work) -> double;

/// Bytes of the heap in use, the allocator's own overhead included.
auto AllocatedBytes() -> double;

/// Keeps the optimizer from dropping the computation of `value`.
template <typename T>
auto Keep(const T& value) -> void {
  asm volatile("" : : "r,m"(value) : "memory");
}

}  // namespace anvildrum::capacity
