#include "net/internal/datagram_batch.h"

#include <algorithm>

#include "net/sockaddr.h"

namespace anvildrum::net::internal {

DatagramBatch::DatagramBatch(std::size_t max_datagram)
    : max_datagram(max_datagram), bytes(max_datagram * kBatchSize) {
  for (auto index = std::size_t{0}; index < kBatchSize; ++index) {
    this->parts[index].iov_base = this->bytes.data() + index * max_datagram;
    this->parts[index].iov_len = max_datagram;
    this->headers[index].msg_hdr.msg_iov = &this->parts[index];
    this->headers[index].msg_hdr.msg_iovlen = 1;
    this->headers[index].msg_hdr.msg_name = &this->addresses[index];
  }
  this->PrepareReceive(kBatchSize);
}

auto DatagramBatch::PrepareReceive(std::size_t count) -> void {
  for (auto index = std::size_t{0}; index < count; ++index) {
    this->headers[index].msg_hdr.msg_namelen = sizeof(sockaddr_storage);
  }
}

auto DatagramBatch::Data(std::size_t index) const -> std::span<const std::uint8_t> {
  const auto* begin = this->bytes.data() + index * this->max_datagram;
  return {begin, this->headers[index].msg_len};
}

auto DatagramBatch::Truncated(std::size_t index) const -> bool {
  return (this->headers[index].msg_hdr.msg_flags & MSG_TRUNC) != 0;
}

auto DatagramBatch::From(std::size_t index) const -> base::Endpoint {
  return FromSocketAddress(this->addresses[index]);
}

auto DatagramBatch::Put(std::size_t index, const base::Endpoint& to, int family,
                        std::span<const std::uint8_t> data) -> bool {
  if (data.size() > this->max_datagram) return false;
  const auto address = ToSocketAddress(to, family);
  if (address.length == 0) return false;
  this->addresses[index] = address.storage;
  this->headers[index].msg_hdr.msg_namelen = address.length;
  this->parts[index].iov_len = data.size();
  std::copy(data.begin(), data.end(), this->bytes.data() + index * this->max_datagram);
  return true;
}

}  // namespace anvildrum::net::internal
