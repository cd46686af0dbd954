#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <functional>

#include "base/types/endpoint.h"
#include "base/types/time.h"

namespace anvildrum::packetd {

/// Whether a target's process is there, by a connection to its port that is kept open and on which
/// nothing is sent. Where the process ends, its system closes the connection, and the next attempt
/// is refused. A target that hangs, or takes no connections for now, is not refused.
///
/// Safeguard: a target that ends without a word is missed after two heartbeats and a half. Its
/// clients' openings and lost flows wait for as long; and after a loss of power an agent whose
/// target does not come back could not say so for two seconds, in which no lost flow of the service
/// was reset.
class TargetWatch {
 public:
  /// Called each time that the target's port refuses a connection, with when the attempt began.
  using OnRefused = std::function<void(base::TimePoint began)>;

  /// `target`: IPv4.
  TargetWatch(boost::asio::io_context& io, const base::Endpoint& target, OnRefused on_refused);

  /// Begins after a moment, in which a target that starts together with this process opens its
  /// port.
  auto Start() -> void;

  /// The target has been heard of: connects, unless there is a connection.
  auto OnTargetAlive() -> void;

  /// Another target stands beside this process from now on.
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
  bool busy = false;  ///< connected, connecting, or about to
};

}  // namespace anvildrum::packetd
