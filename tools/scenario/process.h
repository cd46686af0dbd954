#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "base/types/time.h"

namespace anvildrum::scenario {

using Action = std::function<void()>;

/// What happens, in the order of the virtual time.
struct Clock {
  struct Entry {
    base::TimePoint at;
    std::uint64_t sequence = 0;
    Action action;
  };
  base::TimePoint now{base::hours(1)};
  std::uint64_t sequence = 0;
  std::vector<Entry> heap;
};

inline constexpr base::TimePoint kStart{base::hours(1)};

auto After(Clock& clock, base::Duration delay, Action action) -> void;
/// Runs everything due up to `until`.
auto RunUntil(Clock& clock, base::TimePoint until) -> void;

/// A process: what reaches it while it is stopped (SIGSTOP) waits, what reaches it dead is lost.
struct Process {
  std::string name;
  std::string domain;
  bool up = false;
  std::uint64_t life = 0;  ///< rises with each start and end
  bool frozen = false;
  std::vector<Action> backlog;
};

/// Runs the action in the process after the delay, unless this life of it has ended.
auto AfterIn(Clock& clock, Process& process, base::Duration delay, Action action) -> void;
/// Runs what a datagram causes: now, when the process wakes, or never.
auto Receive(Process& process, Action action) -> void;

auto StartProcess(Process& process) -> void;
auto EndProcess(Process& process) -> void;
auto Freeze(Process& process) -> void;
auto Wake(Process& process) -> void;

}  // namespace anvildrum::scenario
