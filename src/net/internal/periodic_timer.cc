#include "net/periodic_timer.h"

#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <utility>

#include "base/clock.h"

namespace anvildrum::net {

struct PeriodicTimer::Impl : std::enable_shared_from_this<PeriodicTimer::Impl> {
  Impl(boost::asio::io_context& io, base::Duration period, OnTick on_tick)
      : timer(io), period(period), due(base::Now() + period), on_tick(std::move(on_tick)) {}

  auto Wait() -> void {
    this->timer.expires_after(this->due - base::Now());
    this->timer.async_wait([self = this->shared_from_this()](boost::system::error_code error) {
      if (error || self->closed) return;
      self->Tick(base::Now());
    });
  }

  auto Tick(base::TimePoint now) -> void {
    this->due = std::max(this->due + this->period, now);
    this->on_tick(now);
    if (!this->closed) this->Wait();
  }

  boost::asio::steady_timer timer;
  base::Duration period;
  base::TimePoint due;
  OnTick on_tick;
  bool closed = false;
};

PeriodicTimer::PeriodicTimer(boost::asio::io_context& io, base::Duration period, OnTick on_tick)
    : impl(std::make_shared<Impl>(io, period, std::move(on_tick))) {
  this->impl->Wait();
}

PeriodicTimer::~PeriodicTimer() {
  this->impl->closed = true;
  this->impl->timer.cancel();
}

}  // namespace anvildrum::net
