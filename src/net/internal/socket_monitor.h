#pragma once

#include <boost/asio/io_context.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <zmq.hpp>

#include "net/internal/zmq_pump.h"

namespace anvildrum::net::internal {

/// Brings a ZeroMQ socket's connection events (zmq_socket_monitor(3)) to the io_context.
class SocketMonitor {
 public:
  using OnEvent = std::function<void(std::uint16_t event, std::uint32_t value)>;

  /// `events` is a mask of ZMQ_EVENT_...; the watched socket outlives the monitor. Throws
  /// zmq::error_t.
  SocketMonitor(zmq::context_t& context, boost::asio::io_context& io, zmq::socket_t& watched,
                int events, OnEvent on_event);
  SocketMonitor(const SocketMonitor&) = delete;
  auto operator=(const SocketMonitor&) -> SocketMonitor& = delete;
  ~SocketMonitor();

  /// No call of `on_event` after this.
  auto Stop() -> void;

 private:
  auto Receive() -> void;

  zmq::socket_t& watched;
  zmq::socket_t socket;
  OnEvent on_event;
  std::shared_ptr<ZmqPump> pump;
};

}  // namespace anvildrum::net::internal
