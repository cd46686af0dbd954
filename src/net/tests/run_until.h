#pragma once

#include <boost/asio/io_context.hpp>
#include <span>

#include "base/types/endpoint.h"
#include "base/types/time.h"
#include "net/udp_port.h"

namespace anvildrum::net {

/// 127.0.0.1 with a port that the system picks.
inline auto Loopback() -> base::Endpoint {
  constexpr auto address = std::uint32_t{0x7f000001};
  return base::EndpointFromV4(address, 0);
}

/// Runs handlers until the condition holds; false after a limit that a busy machine doesn't reach.
template <typename Condition>
auto RunUntil(boost::asio::io_context& io, Condition condition) -> bool {
  constexpr auto patience = base::seconds{20};
  constexpr auto step = base::milliseconds{20};
  const auto limit = base::Clock::now() + patience;
  while (!condition()) {
    if (base::Clock::now() >= limit) return false;
    io.restart();
    io.run_one_for(step);
  }
  return true;
}

/// A port of 127.0.0.1 where nobody listens.
inline auto UnusedPort(boost::asio::io_context& io) -> base::Endpoint {
  const auto ignore = [](const base::Endpoint&, std::span<const std::uint8_t>) {};
  return UdpPort::Open(io, {.local = Loopback()}, ignore).value()->LocalEndpoint();
}

}  // namespace anvildrum::net
