#include "net/signals.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <utility>

namespace anvildrum::net {
namespace {

struct HeldSignals {
  boost::asio::io_context io{1};
  boost::asio::signal_set signals{io, SIGTERM, SIGINT, SIGHUP};
};

// A signal_set gives its signals their default action, death, back when it is destroyed. The
// process still has sockets to close and logs to write after that.
auto HoldSignalsUntilExit() -> void {
  [[maybe_unused]] static const auto* const held = new HeldSignals;
}

}  // namespace

struct StopSignal::Impl : std::enable_shared_from_this<StopSignal::Impl> {
  Impl(boost::asio::io_context& io, OnStop on_stop)
      : signals(io, SIGTERM, SIGINT), on_stop(std::move(on_stop)) {}

  auto Wait() -> void {
    this->signals.async_wait(
        [self = this->shared_from_this()](boost::system::error_code error, int signal) {
          if (error || self->closed) return;
          HoldSignalsUntilExit();
          self->on_stop(signal);
        });
  }

  boost::asio::signal_set signals;
  OnStop on_stop;
  bool closed = false;
};

StopSignal::StopSignal(boost::asio::io_context& io, OnStop on_stop)
    : impl(std::make_shared<Impl>(io, std::move(on_stop))) {
  this->impl->Wait();
}

StopSignal::~StopSignal() {
  this->impl->closed = true;
  auto ignored = boost::system::error_code{};
  this->impl->signals.clear(ignored);
}

}  // namespace anvildrum::net
