#include <optional>
#include <utility>

#include "base/clock.h"
#include "net/internal/handshake_log.h"
#include "net/internal/peer_table.h"
#include "net/internal/relay_context.h"
#include "net/internal/socket_monitor.h"
#include "net/internal/zap_handler.h"
#include "net/internal/zmq_pump.h"
#include "net/relay_socket.h"

namespace anvildrum::net {
namespace {

constexpr auto kHandshake = base::seconds{2};
constexpr auto kSchemeLength = std::string_view{"tcp://"}.size();

auto SetSecurity(zmq::socket_t& socket, const RelaySecurity& security) -> void {
  if (security.insecure) return;
  socket.set(zmq::sockopt::zap_domain, internal::kZapDomain);
  socket.set(zmq::sockopt::curve_server, true);
  socket.set(zmq::sockopt::curve_secretkey, security.own.secret_key);
}

}  // namespace

struct RelayServer::Impl : std::enable_shared_from_this<RelayServer::Impl> {
  Impl(std::shared_ptr<RelayContext::Impl> context, OnMessage on_message,
       const RelayServerOptions& options)
      : context(std::move(context)),
        on_message(std::move(on_message)),
        socket(this->context->zmq, zmq::socket_type::router) {
    this->peers.max_peers = options.max_peers;
    this->peers.idle = options.peer_idle;
  }

  auto Bind(boost::asio::io_context& io, const RelayServerOptions& options) -> base::Result<void> {
    try {
      if (!options.security.insecure) {
        this->zap.emplace(this->context->zmq, io, options.security.accepted);
      }
      internal::SetCommonOptions(this->socket, options.local, options.high_water,
                                 options.max_message);
      this->socket.set(zmq::sockopt::router_mandatory, true);
      this->socket.set(zmq::sockopt::handshake_ivl, internal::Milliseconds(kHandshake));
      SetSecurity(this->socket, options.security);
      this->WatchHandshakes(io);
      this->socket.bind(internal::ZmqAddress(options.local));
    } catch (const zmq::error_t& error) {
      return internal::Fail(NetErrorCode::kBind, error, base::FormatEndpoint(options.local));
    }
    const auto bound = this->socket.get(zmq::sockopt::last_endpoint);
    auto parsed = base::ParseEndpoint(std::string_view{bound}.substr(kSchemeLength));
    if (!parsed) return parsed.error();
    this->local = parsed.value();
    return {};
  }

  auto WatchHandshakes(boost::asio::io_context& io) -> void {
    auto on_event = [weak = this->weak_from_this()](std::uint16_t event, std::uint32_t value) {
      if (const auto self = weak.lock()) internal::NoteEvent(self->handshakes, event, value);
    };
    this->monitor.emplace(this->context->zmq, io, this->socket, internal::HandshakeEvents(),
                          on_event);
  }

  // The weak pointer breaks the cycle server -> pump -> server.
  auto Start(boost::asio::io_context& io) -> void {
    this->pump = std::make_shared<internal::ZmqPump>(io, this->socket, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) self->Receive();
    });
    this->pump->Start();
  }

  auto Receive() -> void {
    auto routing_id = zmq::message_t{};
    if (!this->socket.recv(routing_id, zmq::recv_flags::dontwait)) return;
    auto payload = zmq::message_t{};
    auto parts = 1;
    for (auto more = routing_id.more(); more; more = payload.more()) {
      if (!this->socket.recv(payload, zmq::recv_flags::dontwait)) return;
      ++parts;
    }
    if (parts != 2) {
      ++this->counts.malformed;
      return;
    }
    this->Deliver({routing_id.to_string()}, payload);
  }

  auto Deliver(const RelayPeer& from, const zmq::message_t& payload) -> void {
    if (!internal::Hear(this->peers, from, base::Now())) {
      ++this->counts.peers_refused;
      return;
    }
    ++this->counts.received;
    this->on_message(from, internal::BytesOf(payload));
  }

  auto Send(const RelayPeer& to, std::span<const std::uint8_t> message) -> bool {
    const auto sent = this->SendParts(to, message);
    ++(sent ? this->counts.sent : this->counts.send_drops);
    this->pump->Kick();
    return sent;
  }

  // ROUTER_MANDATORY: without it a message to a peer that has left vanishes, and the peer would
  // keep its place in the table.
  auto SendParts(const RelayPeer& to, std::span<const std::uint8_t> message) -> bool {
    constexpr auto dontwait = zmq::send_flags::dontwait;
    try {
      const auto id = zmq::buffer(to.routing_id);
      if (!this->socket.send(id, dontwait | zmq::send_flags::sndmore)) return false;
      return this->socket.send(zmq::buffer(message.data(), message.size()), dontwait).has_value();
    } catch (const zmq::error_t&) {
      internal::Forget(this->peers, to);
      return false;
    }
  }

  std::shared_ptr<RelayContext::Impl> context;
  OnMessage on_message;
  std::optional<internal::ZapHandler> zap;
  zmq::socket_t socket;
  std::optional<internal::SocketMonitor> monitor;
  base::Endpoint local;
  internal::PeerTable peers;
  internal::HandshakeLog handshakes;
  RelayServerCounts counts;
  std::shared_ptr<internal::ZmqPump> pump;
};

auto RelayServer::Open(RelayContext& context, boost::asio::io_context& io,
                       const RelayServerOptions& options, OnMessage on_message)
    -> base::Result<std::unique_ptr<RelayServer>> {
  auto checked = internal::CheckSecurity(options.security);
  if (!checked) return checked.error();
  auto impl = std::make_shared<Impl>(context.impl, std::move(on_message), options);
  auto bound = impl->Bind(io, options);
  if (!bound) return bound.error();
  impl->Start(io);
  return std::unique_ptr<RelayServer>(new RelayServer(std::move(impl)));
}

RelayServer::RelayServer(std::shared_ptr<Impl> impl) : impl(std::move(impl)) {}

RelayServer::~RelayServer() {
  this->impl->pump->Stop();
  this->impl->monitor->Stop();
}

auto RelayServer::Send(const RelayPeer& to, std::span<const std::uint8_t> message) -> bool {
  return this->impl->Send(to, message);
}

auto RelayServer::Peers() const -> std::vector<RelayPeer> {
  auto peers = std::vector<RelayPeer>{};
  for (const auto& [routing_id, heard] : this->impl->peers.last_heard) {
    peers.push_back({routing_id});
  }
  return peers;
}

auto RelayServer::LocalEndpoint() const -> const base::Endpoint& { return this->impl->local; }

auto RelayServer::Counts() const -> const RelayServerCounts& {
  auto& counts = this->impl->counts;
  if (this->impl->zap) counts.keys_refused = this->impl->zap->Refused();
  counts.handshakes_malformed = this->impl->handshakes.malformed;
  counts.handshakes_broken_off = this->impl->handshakes.broken_off;
  return counts;
}

}  // namespace anvildrum::net
