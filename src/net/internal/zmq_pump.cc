#include "net/internal/zmq_pump.h"

#include <boost/asio/post.hpp>
#include <utility>

namespace anvildrum::net::internal {

namespace {

constexpr auto kMessagesPerTurn = 64;

}  // namespace

ZmqPump::ZmqPump(boost::asio::io_context& io, zmq::socket_t& socket, std::function<void()> receive)
    : socket(socket), receive(std::move(receive)), descriptor(io, socket.get(zmq::sockopt::fd)) {}

ZmqPump::~ZmqPump() { this->Stop(); }

auto ZmqPump::Start() -> void { this->PostDrain(); }

auto ZmqPump::Kick() -> void {
  if (!this->stopped && this->HasMessage()) this->PostDrain();
}

auto ZmqPump::Stop() -> void {
  if (this->stopped) return;
  this->stopped = true;
  this->descriptor.release();  // the descriptor is ZeroMQ's to close
}

auto ZmqPump::HasMessage() -> bool {
  return (this->socket.get(zmq::sockopt::events) & ZMQ_POLLIN) != 0;
}

auto ZmqPump::PostDrain() -> void {
  if (this->posted) return;
  this->posted = true;
  boost::asio::post(this->descriptor.get_executor(), [self = this->shared_from_this()] {
    self->posted = false;
    if (!self->stopped) self->Drain();
  });
}

auto ZmqPump::Drain() -> void {
  for (auto message = 0; message < kMessagesPerTurn; ++message) {
    if (!this->HasMessage()) {
      this->Wait();
      return;
    }
    this->receive();
    if (this->stopped) return;
  }
  this->PostDrain();
}

auto ZmqPump::Wait() -> void {
  if (this->waiting) return;
  this->waiting = true;
  this->descriptor.async_wait(boost::asio::posix::stream_descriptor::wait_read,
                              [self = this->shared_from_this()](boost::system::error_code error) {
                                self->waiting = false;
                                if (!error && !self->stopped) self->Drain();
                              });
}

}  // namespace anvildrum::net::internal
