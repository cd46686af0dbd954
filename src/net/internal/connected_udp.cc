#include "net/connected_udp.h"

#include <sys/socket.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <cerrno>
#include <utility>
#include <vector>

#include "net/internal/send_queue.h"
#include "net/internal/udp_socket.h"
#include "net/sockaddr.h"

namespace anvildrum::net {

namespace asio = boost::asio;

namespace {

constexpr auto kMaxDatagram = std::size_t{65536};
constexpr auto kReadsPerWakeUp = 16;

/// One buffer a thread: a datagram is handled before the next one is read.
auto SharedBuffer() -> std::span<std::uint8_t> {
  thread_local auto buffer = std::vector<std::uint8_t>(kMaxDatagram);
  return buffer;
}

}  // namespace

struct ConnectedUdp::Impl : std::enable_shared_from_this<ConnectedUdp::Impl> {
  Impl(asio::io_context& io, internal::FileDescriptor opened, Handlers handlers)
      : queue(asio::use_service<internal::SendQueue>(io)),
        socket(io, opened.Release()),
        handlers(std::move(handlers)) {}

  auto Wait() -> void {
    this->socket.async_wait(asio::posix::stream_descriptor::wait_read,
                            [self = this->shared_from_this()](boost::system::error_code error) {
                              if (error || self->closed) return;
                              self->WakeUp();
                            });
  }

  auto WakeUp() -> void {
    this->queue.Begin();
    for (auto read = 0; read < kReadsPerWakeUp; ++read) {
      if (!this->Read() || this->closed) break;
    }
    this->queue.End();
    if (!this->closed) this->Wait();
  }

  /// False when the socket has no more for now.
  auto Read() -> bool {
    const auto buffer = SharedBuffer();
    const auto size = ::recv(this->socket.native_handle(), buffer.data(), buffer.size(), 0);
    if (size >= 0) {
      this->handlers.on_datagram(buffer.first(static_cast<std::size_t>(size)));
      return true;
    }
    if (errno != ECONNREFUSED) return false;
    this->handlers.on_refused();
    return true;
  }

  // The system reports a refusal of an earlier datagram on the next call, and then doesn't send
  // what that call brought. Sending it again keeps one refusal from eating a second datagram, which
  // may be the first that a restarted target would have had.
  auto Send(std::span<const std::uint8_t> data) -> bool {
    if (this->SendOnce(data)) return true;
    if (errno != ECONNREFUSED) return false;
    this->PostRefused();
    return this->SendOnce(data);
  }

  auto SendOnce(std::span<const std::uint8_t> data) -> bool {
    return ::send(this->socket.native_handle(), data.data(), data.size(), MSG_NOSIGNAL) >= 0;
  }

  auto PostRefused() -> void {
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
      if (!self->closed) self->handlers.on_refused();
    });
  }

  internal::SendQueue& queue;
  asio::posix::stream_descriptor socket;
  Handlers handlers;
  bool closed = false;
};

auto ConnectedUdp::Open(asio::io_context& io, const base::Endpoint& target, Handlers handlers)
    -> base::Result<std::unique_ptr<ConnectedUdp>> {
  auto opened = internal::ConnectUdpSocket(target);
  if (!opened) return opened.error();
  auto impl = std::make_shared<Impl>(io, std::move(opened.value()), std::move(handlers));
  impl->Wait();
  return std::unique_ptr<ConnectedUdp>(new ConnectedUdp(std::move(impl)));
}

ConnectedUdp::ConnectedUdp(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

ConnectedUdp::~ConnectedUdp() {
  this->impl->closed = true;
  auto ignored = boost::system::error_code{};
  this->impl->socket.close(ignored);
}

auto ConnectedUdp::Send(std::span<const std::uint8_t> data) -> bool {
  return this->impl->Send(data);
}

auto ConnectedUdp::LocalEndpoint() const -> base::Endpoint {
  return internal::BoundEndpoint(this->impl->socket.native_handle());
}

}  // namespace anvildrum::net
