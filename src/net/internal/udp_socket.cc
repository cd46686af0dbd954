#include "net/internal/udp_socket.h"

#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <utility>

#include "net/sockaddr.h"
#include "net/types/net_error.h"

namespace anvildrum::net::internal {
namespace {

auto Fail(NetErrorCode code, std::string where) -> boost::leaf::error_id {
  return boost::leaf::new_error(NetError{code, errno, std::move(where)});
}

auto SetBuffer(int socket, int option, int bytes) -> bool {
  if (bytes == 0) return true;
  return ::setsockopt(socket, SOL_SOCKET, option, &bytes, sizeof bytes) == 0;
}

}  // namespace

FileDescriptor::~FileDescriptor() {
  if (this->value >= 0) ::close(this->value);
}

auto FileDescriptor::Release() -> int { return std::exchange(this->value, -1); }

auto OpenUdpSocket(const UdpSocketOptions& options) -> base::Result<FileDescriptor> {
  const auto family = FamilyOf(options.local);
  auto socket = FileDescriptor{::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
  if (socket.Get() < 0) return Fail(NetErrorCode::kOpen, base::FormatEndpoint(options.local));
  if (!SetBuffer(socket.Get(), SO_RCVBUF, options.receive_buffer)) {
    return Fail(NetErrorCode::kOption, "SO_RCVBUF");
  }
  if (!SetBuffer(socket.Get(), SO_SNDBUF, options.send_buffer)) {
    return Fail(NetErrorCode::kOption, "SO_SNDBUF");
  }
  const auto address = ToSocketAddress(options.local, family);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address.storage);
  if (::bind(socket.Get(), raw, address.length) != 0) {
    return Fail(NetErrorCode::kBind, base::FormatEndpoint(options.local));
  }
  return socket;
}

auto ConnectUdpSocket(const base::Endpoint& remote) -> base::Result<FileDescriptor> {
  const auto family = FamilyOf(remote);
  auto socket = FileDescriptor{::socket(family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0)};
  if (socket.Get() < 0) return Fail(NetErrorCode::kOpen, base::FormatEndpoint(remote));
  const auto address = ToSocketAddress(remote, family);
  const auto* raw = reinterpret_cast<const sockaddr*>(&address.storage);
  if (::connect(socket.Get(), raw, address.length) != 0) {
    return Fail(NetErrorCode::kConnect, base::FormatEndpoint(remote));
  }
  return socket;
}

auto BoundEndpoint(int socket) -> base::Endpoint {
  auto storage = sockaddr_storage{};
  auto length = socklen_t{sizeof storage};
  ::getsockname(socket, reinterpret_cast<sockaddr*>(&storage), &length);
  return FromSocketAddress(storage);
}

}  // namespace anvildrum::net::internal
