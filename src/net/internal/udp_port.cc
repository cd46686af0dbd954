#include "net/udp_port.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/posix/stream_descriptor.hpp>
#include <boost/asio/post.hpp>
#include <utility>

#include "net/internal/datagram_batch.h"
#include "net/internal/send_queue.h"
#include "net/internal/udp_socket.h"
#include "net/sockaddr.h"

namespace anvildrum::net {

namespace asio = boost::asio;

struct UdpPort::Impl : internal::Flushable, std::enable_shared_from_this<UdpPort::Impl> {
  Impl(asio::io_context& io, const UdpPortOptions& options, internal::FileDescriptor opened,
       OnDatagram on_datagram)
      : local(internal::BoundEndpoint(opened.Get())),
        family(FamilyOf(options.local)),
        batches_per_wake_up(options.batches_per_wake_up),
        on_datagram(std::move(on_datagram)),
        incoming(options.max_datagram),
        outgoing(options.max_datagram),
        queue(asio::use_service<internal::SendQueue>(io)),
        socket(io, opened.Release()) {}

  auto Wait() -> void {
    this->socket.async_wait(asio::posix::stream_descriptor::wait_read,
                            [self = this->shared_from_this()](boost::system::error_code error) {
                              if (error || self->closed) return;
                              self->WakeUp();
                            });
  }

  auto WakeUp() -> void {
    ++this->counts.wake_ups;
    this->queue.Begin();
    for (auto batch = std::size_t{0}; batch < this->batches_per_wake_up; ++batch) {
      if (!this->ReceiveBatch()) break;
    }
    this->queue.End();
    if (!this->closed) this->Wait();
  }

  /// False when the socket has no more for now.
  auto ReceiveBatch() -> bool {
    const auto received = ::recvmmsg(this->socket.native_handle(), this->incoming.Headers(),
                                     internal::kBatchSize, MSG_DONTWAIT, nullptr);
    if (received <= 0) return false;
    const auto count = static_cast<std::size_t>(received);
    for (auto index = std::size_t{0}; index < count; ++index) {
      this->Deliver(index);
      if (this->closed) return false;
    }
    this->incoming.PrepareReceive(count);
    return count == internal::kBatchSize;
  }

  auto Deliver(std::size_t index) -> void {
    ++this->counts.received;
    if (this->incoming.Truncated(index)) {
      ++this->counts.oversized;
      return;
    }
    this->on_datagram(this->incoming.From(index), this->incoming.Data(index));
  }

  auto Send(const base::Endpoint& to, std::span<const std::uint8_t> data) -> void {
    if (!this->outgoing.Put(this->queued, to, this->family, data)) {
      ++this->counts.send_drops;
      return;
    }
    ++this->queued;
    if (this->queued == internal::kBatchSize) {
      this->Flush();
    } else {
      this->ScheduleFlush();
    }
  }

  auto ScheduleFlush() -> void {
    if (this->flush_due) return;
    this->flush_due = true;
    if (this->queue.IsOpen()) return this->queue.Add(this->shared_from_this());
    asio::post(this->socket.get_executor(), [self = this->shared_from_this()] {
      if (!self->closed) self->Flush();
    });
  }

  auto Flush() -> void override {
    this->flush_due = false;
    auto done = std::size_t{0};
    while (done < this->queued) {
      const auto sent =
          ::sendmmsg(this->socket.native_handle(), this->outgoing.Headers() + done,
                     static_cast<unsigned>(this->queued - done), MSG_DONTWAIT | MSG_NOSIGNAL);
      // sendmmsg stops at the first datagram that fails: without stepping over it, one unreachable
      // peer would hold back everyone else's datagrams behind it.
      if (sent <= 0) {
        ++this->counts.send_drops;
        ++done;
      } else {
        this->counts.sent += static_cast<std::uint64_t>(sent);
        done += static_cast<std::size_t>(sent);
      }
    }
    this->queued = 0;
  }

  base::Endpoint local;
  int family;
  std::size_t batches_per_wake_up;
  OnDatagram on_datagram;
  internal::DatagramBatch incoming;
  internal::DatagramBatch outgoing;
  std::size_t queued = 0;
  bool flush_due = false;
  bool closed = false;
  UdpPortCounts counts;
  internal::SendQueue& queue;
  asio::posix::stream_descriptor socket;
};

auto UdpPort::Open(asio::io_context& io, const UdpPortOptions& options, OnDatagram on_datagram)
    -> base::Result<std::unique_ptr<UdpPort>> {
  auto opened = internal::OpenUdpSocket({.local = options.local,
                                         .receive_buffer = options.receive_buffer,
                                         .send_buffer = options.send_buffer});
  if (!opened) return opened.error();
  auto impl =
      std::make_shared<Impl>(io, options, std::move(opened.value()), std::move(on_datagram));
  impl->Wait();
  return std::unique_ptr<UdpPort>(new UdpPort(std::move(impl)));
}

UdpPort::UdpPort(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

UdpPort::~UdpPort() {
  this->impl->Flush();
  this->impl->closed = true;
  auto ignored = boost::system::error_code{};
  this->impl->socket.close(ignored);
}

auto UdpPort::Send(const base::Endpoint& to, std::span<const std::uint8_t> data) -> void {
  this->impl->Send(to, data);
}

auto UdpPort::Flush() -> void { this->impl->Flush(); }

auto UdpPort::LocalEndpoint() const -> const base::Endpoint& { return this->impl->local; }

auto UdpPort::Counts() const -> const UdpPortCounts& { return this->impl->counts; }

}  // namespace anvildrum::net
