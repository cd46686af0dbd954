#pragma once

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

/// A UDP socket of one flow towards its target, which tells flows apart by the source port. It has
/// the system's default buffers and shares its read buffer, so thousands of them are cheap. Used
/// from the io_context's one thread.
class ConnectedUdp {
 public:
  struct Handlers {
    /// `data` is valid during the call only. The socket may be destroyed from inside the call.
    std::function<void(std::span<const std::uint8_t> data)> on_datagram;
    /// Nothing listens at the target's port (ICMP port unreachable, RFC 1122, 4.1.3.3). May come
    /// late, and more than once.
    std::function<void()> on_refused;
  };

  /// Errors: NetError kOpen (at the limit of descriptors, say), kConnect.
  static auto Open(boost::asio::io_context& io, const base::Endpoint& target, Handlers handlers)
      -> base::Result<std::unique_ptr<ConnectedUdp>>;

  ConnectedUdp(const ConnectedUdp&) = delete;
  auto operator=(const ConnectedUdp&) -> ConnectedUdp& = delete;
  ~ConnectedUdp();

  /// Sends at once; false when the system did not take the datagram.
  auto Send(std::span<const std::uint8_t> data) -> bool;

  /// Where the target sees the flow come from.
  [[nodiscard]] auto LocalEndpoint() const -> base::Endpoint;

 private:
  struct Impl;
  explicit ConnectedUdp(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace anvildrum::net
