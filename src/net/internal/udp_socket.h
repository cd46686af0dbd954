#pragma once

#include "base/result.h"
#include "base/types/endpoint.h"

namespace anvildrum::net::internal {

struct UdpSocketOptions {
  base::Endpoint local;
  int receive_buffer = 0;  ///< bytes; 0: the system's default
  int send_buffer = 0;
};

/// A file descriptor that is closed with its owner.
class FileDescriptor {
 public:
  explicit FileDescriptor(int value) : value(value) {}
  FileDescriptor(FileDescriptor&& other) noexcept : value(other.Release()) {}
  FileDescriptor(const FileDescriptor&) = delete;
  auto operator=(const FileDescriptor&) -> FileDescriptor& = delete;
  auto operator=(FileDescriptor&&) -> FileDescriptor& = delete;
  ~FileDescriptor();

  [[nodiscard]] auto Get() const -> int { return this->value; }
  auto Release() -> int;

 private:
  int value = -1;
};

/// A bound, non-blocking UDP socket. Errors: NetError kOpen, kOption, kBind.
auto OpenUdpSocket(const UdpSocketOptions& options) -> base::Result<FileDescriptor>;

/// A non-blocking UDP socket that talks to `remote` alone. Errors: NetError kOpen, kConnect.
auto ConnectUdpSocket(const base::Endpoint& remote) -> base::Result<FileDescriptor>;

/// The address that the socket is bound to.
auto BoundEndpoint(int socket) -> base::Endpoint;

}  // namespace anvildrum::net::internal
