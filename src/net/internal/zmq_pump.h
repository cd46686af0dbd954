#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <functional>
#include <memory>
#include <zmq.hpp>

namespace anvildrum::net::internal {

/// Turns a ZeroMQ socket's readiness into calls on the io_context.
///
/// ZMQ_FD signals changes, not states: it can be quiet while messages wait, because looking at
/// ZMQ_EVENTS, or any send, takes the signal away. Waiting on it alone would leave messages lying
/// until the next one arrives. So the pump reads on until ZMQ_EVENTS shows nothing, and Kick() has
/// it look again after each send.
class ZmqPump : public std::enable_shared_from_this<ZmqPump> {
 public:
  /// `receive` takes one message from the socket; it may stop the pump.
  ZmqPump(boost::asio::io_context& io, zmq::socket_t& socket, std::function<void()> receive);
  ZmqPump(const ZmqPump&) = delete;
  auto operator=(const ZmqPump&) -> ZmqPump& = delete;
  ~ZmqPump();

  auto Start() -> void;
  /// To be called after each send.
  auto Kick() -> void;
  /// No call of `receive` and no use of the socket after this.
  auto Stop() -> void;

 private:
  auto Wait() -> void;
  auto Drain() -> void;
  auto PostDrain() -> void;
  auto HasMessage() -> bool;

  zmq::socket_t& socket;
  std::function<void()> receive;
  boost::asio::posix::stream_descriptor descriptor;
  bool waiting = false;
  bool posted = false;
  bool stopped = false;
};

}  // namespace anvildrum::net::internal
