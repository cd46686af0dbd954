#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <span>

#include "base/result.h"
#include "base/types/endpoint.h"
#include "net/types/net_error.h"

namespace boost::asio {
class io_context;
}

namespace anvildrum::net {

struct UdpPortOptions {
  base::Endpoint local = {};             ///< port 0: the system picks one
  std::size_t max_datagram = 2048;       ///< bytes; a longer datagram is counted and dropped
  int receive_buffer = 4 * 1024 * 1024;  ///< bytes asked of SO_RCVBUF; the system may cap it
  int send_buffer = 4 * 1024 * 1024;     ///< bytes asked of SO_SNDBUF
  std::size_t batches_per_wake_up = 4;   ///< bound on one port's turn, so that others get theirs
};

/// Counts since the port was opened.
struct UdpPortCounts {
  std::uint64_t wake_ups = 0;
  std::uint64_t received = 0;
  std::uint64_t sent = 0;
  std::uint64_t send_drops = 0;  ///< full socket buffer, no route, wrong family or too long
  std::uint64_t oversized = 0;   ///< received datagrams longer than max_datagram
};

/// A non-blocking UDP socket on an io_context. Datagrams come in by recvmmsg and leave by sendmmsg,
/// up to 32 a call. Used from the io_context's one thread.
class UdpPort {
 public:
  /// `data` is valid during the call only. The port may be destroyed from inside the call.
  using OnDatagram =
      std::function<void(const base::Endpoint& from, std::span<const std::uint8_t> data)>;

  /// Errors: NetError kOpen, kOption, kBind.
  static auto Open(boost::asio::io_context& io, const UdpPortOptions& options,
                   OnDatagram on_datagram) -> base::Result<std::unique_ptr<UdpPort>>;

  UdpPort(const UdpPort&) = delete;
  auto operator=(const UdpPort&) -> UdpPort& = delete;
  ~UdpPort();

  /// Queues a copy of the datagram. All that one handler queues leaves in order when that handler
  /// has returned, or earlier when 32 are waiting. What can't be sent is dropped and counted, as a
  /// network would.
  auto Send(const base::Endpoint& to, std::span<const std::uint8_t> data) -> void;

  /// Sends what is queued now.
  auto Flush() -> void;

  /// The bound address, with the port that the system picked.
  [[nodiscard]] auto LocalEndpoint() const -> const base::Endpoint&;

  [[nodiscard]] auto Counts() const -> const UdpPortCounts&;

 private:
  struct Impl;
  explicit UdpPort(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace anvildrum::net
