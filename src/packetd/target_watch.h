#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "base/types/endpoint.h"
#include "base/types/time.h"

namespace anvildrum::packetd {

/// Detects the end of a target's process by a TCP connection to its port, which is kept open and on
/// which nothing is sent. When the process ends, the operating system closes the connection and
/// refuses the next attempt. A target that hangs or does not accept connections for a while causes
/// no refusal.
///
/// Safeguard: without this watch, a target that ends without sending a leave is detected only after
/// two and a half heartbeat periods, and the openings of its clients and its lost flows wait for as
/// long. After a power loss, an agent whose target does not restart could not report that for two
/// seconds, during which no lost flow of the service was reset.
class TargetWatch {
 public:
  /// Called each time the target's port refuses a connection, with the start of the attempt.
  using OnRefused = std::function<void(base::TimePoint began)>;

  /// `target`: IPv4.
  TargetWatch(boost::asio::io_context& io, const base::Endpoint& target, OnRefused on_refused);

  /// Connects after a delay, so that a target that starts together with this process can open its
  /// port first.
  auto Start() -> void;

  /// Handles a sign of life from the target: connects, unless a connection exists or is pending.
  auto OnTargetAlive() -> void;

  /// Replaces the watched target.
  auto SetTarget(const base::Endpoint& changed) -> void;

 private:
  auto Connect() -> void;
  auto AwaitClose() -> void;
  auto ConnectIn(base::Duration delay) -> void;

  base::Endpoint target;
  OnRefused on_refused;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  std::array<char, 64> ignored{};
  bool busy = false;  ///< connected, connecting, or waiting to connect
};

}  // namespace anvildrum::packetd
