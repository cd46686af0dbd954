#pragma once

#include <array>
#include <functional>
#include <memory>

#include "base/result.h"
#include "net/udp_port.h"
#include "wire/datagram.h"

namespace anvildrum::daemon {

/// Counts of datagrams that were refused, by wire::WireErrorCode.
struct TunnelCounts {
  std::array<std::uint64_t, wire::kWireErrorCodes> refused{};
  std::uint64_t unsent = 0;  ///< headers and payloads too large for a datagram
};

/// The tunnel's UDP port: opens what comes in, seals what goes out.
class TunnelPort {
 public:
  using OnMessage = std::function<void(const base::Endpoint& from, const wire::Opened& opened)>;

  /// Errors: net::NetError.
  static auto Open(boost::asio::io_context& io, const base::Endpoint& local,
                   const wire::KeyRing& ring, OnMessage on_message)
      -> base::Result<std::unique_ptr<TunnelPort>>;

  auto Send(const base::Endpoint& to, const wire::pb::TunnelHeader& header, wire::BytesView payload)
      -> void;

  [[nodiscard]] auto LocalEndpoint() const -> const base::Endpoint&;
  [[nodiscard]] auto Counts() const -> const TunnelCounts&;
  [[nodiscard]] auto UdpCounts() const -> const net::UdpPortCounts&;

 private:
  TunnelPort(wire::KeyRing ring, OnMessage on_message);
  auto Receive(const base::Endpoint& from, wire::BytesView datagram) -> void;

  wire::KeyRing ring;
  OnMessage on_message;
  std::unique_ptr<net::UdpPort> port;
  wire::Opened opened;
  wire::Bytes scratch;
  TunnelCounts counts;
};

}  // namespace anvildrum::daemon
