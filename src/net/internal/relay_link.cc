#include <algorithm>
#include <boost/asio/steady_timer.hpp>
#include <optional>
#include <random>
#include <utility>

#include "net/internal/relay_context.h"
#include "net/internal/socket_monitor.h"
#include "net/internal/zmq_pump.h"
#include "net/relay_socket.h"

namespace anvildrum::net {
namespace {

constexpr auto kHeartbeatsMissed = 3;
constexpr auto kFailureEvents = ZMQ_EVENT_HANDSHAKE_FAILED_NO_DETAIL |
                                ZMQ_EVENT_HANDSHAKE_FAILED_PROTOCOL |
                                ZMQ_EVENT_HANDSHAKE_FAILED_AUTH;
constexpr auto kWatchedEvents =
    kFailureEvents | ZMQ_EVENT_HANDSHAKE_SUCCEEDED | ZMQ_EVENT_DISCONNECTED;

auto SetOptions(zmq::socket_t& socket, const RelayLinkOptions& options) -> void {
  using internal::Milliseconds;
  internal::SetCommonOptions(socket, options.parent, options.high_water, options.max_message);
  socket.set(zmq::sockopt::immediate, true);
  socket.set(zmq::sockopt::handshake_ivl, Milliseconds(options.handshake));
  socket.set(zmq::sockopt::heartbeat_ivl, Milliseconds(options.heartbeat));
  socket.set(zmq::sockopt::heartbeat_timeout, Milliseconds(options.heartbeat * kHeartbeatsMissed));
  socket.set(zmq::sockopt::reconnect_ivl, Milliseconds(options.first_retry));
  socket.set(zmq::sockopt::reconnect_ivl_max, Milliseconds(options.longest_retry));
  if (options.security.insecure) return;
  socket.set(zmq::sockopt::curve_publickey, options.security.own.public_key);
  socket.set(zmq::sockopt::curve_secretkey, options.security.own.secret_key);
}

}  // namespace

struct RelayLink::Impl : std::enable_shared_from_this<RelayLink::Impl> {
  Impl(std::shared_ptr<RelayContext::Impl> context, boost::asio::io_context& io,
       const RelayLinkOptions& options, Handlers handlers)
      : context(std::move(context)),
        options(options),
        handlers(std::move(handlers)),
        socket(this->context->zmq, zmq::socket_type::dealer),
        retry(io),
        jitter(std::random_device{}()),
        pause(options.first_retry) {}

  auto Connect(boost::asio::io_context& io) -> base::Result<void> {
    try {
      SetOptions(this->socket, this->options);
      this->WatchEvents(io);
      this->ConnectWithKey();
    } catch (const zmq::error_t& error) {
      return internal::Fail(NetErrorCode::kConnect, error,
                            base::FormatEndpoint(this->options.parent));
    }
    return {};
  }

  // The weak pointer breaks the cycle link -> monitor -> link.
  auto WatchEvents(boost::asio::io_context& io) -> void {
    auto on_event = [weak = this->weak_from_this()](std::uint16_t kind, std::uint32_t) {
      if (const auto self = weak.lock()) self->HandleEvent(kind);
    };
    this->monitor.emplace(this->context->zmq, io, this->socket, kWatchedEvents, on_event);
  }

  auto ConnectWithKey() -> void {
    const auto& keys = this->options.security.accepted;
    if (!this->options.security.insecure) {
      this->socket.set(zmq::sockopt::curve_serverkey, keys[this->key % keys.size()]);
    }
    this->socket.connect(internal::ZmqAddress(this->options.parent));
  }

  // The weak pointer breaks the cycle link -> pump -> link.
  auto Start(boost::asio::io_context& io) -> void {
    this->pump = std::make_shared<internal::ZmqPump>(io, this->socket, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Receive();
    });
    this->pump->Start();
  }

  auto Receive() -> void {
    auto message = zmq::message_t{};
    auto parts = 0;
    do {
      if (!this->socket.recv(message, zmq::recv_flags::dontwait)) return;
      ++parts;
    } while (message.more());
    if (parts != 1) {
      ++this->counts.malformed;
      return;
    }
    ++this->counts.received;
    this->handlers.on_message(internal::BytesOf(message));
  }

  auto HandleEvent(std::uint16_t kind) -> void {
    if (kind == ZMQ_EVENT_HANDSHAKE_SUCCEEDED) {
      this->pause = this->options.first_retry;
      this->SetUp(true);
      return;
    }
    if ((kind & kFailureEvents) != 0) {
      ++this->counts.handshakes_failed;
      this->TryNextKeyLater();
    }
    this->SetUp(false);
  }

  auto SetUp(bool now_up) -> void {
    if (this->up == now_up) return;
    this->up = now_up;
    const auto& handler = now_up ? this->handlers.on_up : this->handlers.on_down;
    if (handler) handler();
  }

  // The parent may already have its next key, or still its previous one. ZeroMQ alone would try the
  // same key for ever. The pause grows and is drawn at random, so that the children of a parent
  // that restarts don't all come back at the same moment.
  auto TryNextKeyLater() -> void {
    if (this->options.security.accepted.size() < 2 || this->retry_pending) return;
    this->retry_pending = true;
    auto draw = std::uniform_int_distribution<base::Duration::rep>{this->pause.count() / 2,
                                                                   this->pause.count()};
    this->retry.expires_after(base::Duration{draw(this->jitter)});
    this->pause = std::min(this->pause * 2, this->options.longest_retry);
    this->retry.async_wait([weak = weak_from_this()](boost::system::error_code error) {
      const auto self = weak.lock();
      if (error || !self || self->closed) return;
      self->retry_pending = false;
      if (!self->up) self->TryNextKey();
    });
  }

  auto TryNextKey() -> void {
    ++this->key;
    try {
      this->socket.disconnect(internal::ZmqAddress(this->options.parent));
      this->ConnectWithKey();
    } catch (const zmq::error_t&) {
      this->TryNextKeyLater();
    }
  }

  // After a break ZeroMQ goes on taking messages for the old connection until it tries the next
  // one, and loses them. Refusing while the link is down tells the caller instead.
  auto Send(std::span<const std::uint8_t> message) -> bool {
    const auto sent = this->up && this->SendNow(message);
    ++(sent ? this->counts.sent : this->counts.send_drops);
    return sent;
  }

  auto SendNow(std::span<const std::uint8_t> message) -> bool {
    const auto bytes = zmq::buffer(message.data(), message.size());
    const auto sent = this->socket.send(bytes, zmq::send_flags::dontwait).has_value();
    this->pump->Kick();
    return sent;
  }

  auto Close() -> void {
    this->closed = true;
    this->retry.cancel();
    this->pump->Stop();
    this->monitor->Stop();
  }

  std::shared_ptr<RelayContext::Impl> context;
  RelayLinkOptions options;
  Handlers handlers;
  zmq::socket_t socket;
  std::optional<internal::SocketMonitor> monitor;
  boost::asio::steady_timer retry;
  std::minstd_rand jitter;
  base::Duration pause;
  std::size_t key = 0;
  bool retry_pending = false;
  bool up = false;
  bool closed = false;
  RelayLinkCounts counts;
  std::shared_ptr<internal::ZmqPump> pump;
};

auto RelayLink::Open(RelayContext& context, boost::asio::io_context& io,
                     const RelayLinkOptions& options, Handlers handlers)
    -> base::Result<std::unique_ptr<RelayLink>> {
  auto checked = internal::CheckSecurity(options.security);
  if (!checked) return checked.error();
  auto impl = std::make_shared<Impl>(context.impl, io, options, std::move(handlers));
  auto connected = impl->Connect(io);
  if (!connected) return connected.error();
  impl->Start(io);
  return std::unique_ptr<RelayLink>(new RelayLink(std::move(impl)));
}

RelayLink::RelayLink(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

RelayLink::~RelayLink() { this->impl->Close(); }

auto RelayLink::Send(std::span<const std::uint8_t> message) -> bool {
  return this->impl->Send(message);
}

auto RelayLink::IsUp() const -> bool { return this->impl->up; }

auto RelayLink::Counts() const -> const RelayLinkCounts& { return this->impl->counts; }

}  // namespace anvildrum::net
