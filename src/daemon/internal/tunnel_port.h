#pragma once

#include <array>
#include <functional>
#include <memory>

#include "base/result.h"
#include "net/udp_port.h"
#include "wire/datagram.h"

namespace anvildrum::daemon {

/// Datagrams of one kind, with their whole UDP payload.
struct KindCount {
  std::uint64_t datagrams = 0;
  std::uint64_t bytes = 0;
};

/// By the field number of TunnelHeader's body (src/wire/tunnel.proto); 0 is unused.
inline constexpr auto kTunnelKinds = std::size_t{32};
using KindCounts = std::array<KindCount, kTunnelKinds>;

/// Counts of datagrams; those that were refused by wire::WireErrorCode.
struct TunnelCounts {
  std::array<std::uint64_t, wire::kWireErrorCodes> refused{};
  KindCounts sent{};
  KindCounts received{};
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
