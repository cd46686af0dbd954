#pragma once

#include <functional>
#include <memory>

#include "base/types/time.h"

namespace boost::asio {
class io_context;
}

namespace anvildrum::net {

/// Calls back every `period` until destroyed. Ticks that a busy or paused process missed are
/// skipped, not made up for: a process that wakes from a long pause would otherwise run thousands
/// of them in a row.
class PeriodicTimer {
 public:
  using OnTick = std::function<void(base::TimePoint now)>;

  PeriodicTimer(boost::asio::io_context& io, base::Duration period, OnTick on_tick);
  PeriodicTimer(const PeriodicTimer&) = delete;
  auto operator=(const PeriodicTimer&) -> PeriodicTimer& = delete;
  ~PeriodicTimer();

 private:
  struct Impl;
  std::shared_ptr<Impl> impl;
};

}  // namespace anvildrum::net
