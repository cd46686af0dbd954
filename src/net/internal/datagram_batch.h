#pragma once

#include <sys/socket.h>

#include <array>
#include <cstdint>
#include <span>
#include <vector>

#include "base/types/endpoint.h"

namespace anvildrum::net::internal {

/// Datagrams of one recvmmsg or sendmmsg call.
inline constexpr auto kBatchSize = std::size_t{32};

/// Buffers for up to kBatchSize datagrams, allocated once. The headers point into the object, so it
/// stays where it is.
class DatagramBatch {
 public:
  explicit DatagramBatch(std::size_t max_datagram);
  DatagramBatch(const DatagramBatch&) = delete;
  auto operator=(const DatagramBatch&) -> DatagramBatch& = delete;
  ~DatagramBatch() = default;

  /// Makes the first `count` slots, which a recvmmsg has filled, ready for the next one.
  auto PrepareReceive(std::size_t count) -> void;
  [[nodiscard]] auto Data(std::size_t index) const -> std::span<const std::uint8_t>;
  [[nodiscard]] auto Truncated(std::size_t index) const -> bool;
  [[nodiscard]] auto From(std::size_t index) const -> base::Endpoint;

  /// Fills a slot for sendmmsg; false when the datagram or address doesn't fit the socket.
  auto Put(std::size_t index, const base::Endpoint& to, int family,
           std::span<const std::uint8_t> data) -> bool;

  auto Headers() -> mmsghdr* { return this->headers.data(); }

 private:
  std::size_t max_datagram;
  std::vector<std::uint8_t> bytes;
  std::array<mmsghdr, kBatchSize> headers{};
  std::array<iovec, kBatchSize> parts{};
  std::array<sockaddr_storage, kBatchSize> addresses{};
};

}  // namespace anvildrum::net::internal
