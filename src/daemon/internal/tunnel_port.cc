#include "daemon/internal/tunnel_port.h"

namespace anvildrum::daemon {
namespace {

// Room for a client's datagram of the usual path MTU with the tunnel's header round it.
constexpr auto kMaxTunnelDatagram = std::size_t{65'507};

static_assert(wire::pb::TunnelHeader::kStandByAck < kTunnelKinds);

auto Count(KindCounts& counts, const wire::pb::TunnelHeader& header, std::size_t bytes) -> void {
  auto& count = counts.at(static_cast<std::size_t>(header.body_case()));
  ++count.datagrams;
  count.bytes += bytes;
}

}  // namespace

TunnelPort::TunnelPort(wire::KeyRing ring, OnMessage on_message)
    : ring(std::move(ring)), on_message(std::move(on_message)) {}

auto TunnelPort::Open(boost::asio::io_context& io, const base::Endpoint& local,
                      const wire::KeyRing& ring, OnMessage on_message)
    -> base::Result<std::unique_ptr<TunnelPort>> {
  auto tunnel = std::unique_ptr<TunnelPort>(new TunnelPort(ring, std::move(on_message)));
  auto options = net::UdpPortOptions{};
  options.local = local;
  options.max_datagram = kMaxTunnelDatagram;
  auto* self = tunnel.get();
  auto receive = [self](const base::Endpoint& from, wire::BytesView datagram) {
    self->Receive(from, datagram);
  };
  BOOST_LEAF_ASSIGN(tunnel->port, net::UdpPort::Open(io, options, receive));
  return tunnel;
}

auto TunnelPort::Receive(const base::Endpoint& from, wire::BytesView datagram) -> void {
  auto error = base::ErrorOf<wire::WireError>(
      [&] { return wire::Open(this->ring, datagram, this->opened); });
  if (error) {
    ++this->counts.refused.at(static_cast<std::size_t>(error->code));
    return;
  }
  Count(this->counts.received, this->opened.header, datagram.size());
  this->on_message(from, this->opened);
}

auto TunnelPort::Send(const base::Endpoint& to, const wire::pb::TunnelHeader& header,
                      wire::BytesView payload) -> void {
  if (!wire::Seal(this->ring, header, payload, this->scratch)) {
    ++this->counts.unsent;
    return;
  }
  Count(this->counts.sent, header, this->scratch.size());
  this->port->Send(to, this->scratch);
}

auto TunnelPort::LocalEndpoint() const -> const base::Endpoint& {
  return this->port->LocalEndpoint();
}
auto TunnelPort::Counts() const -> const TunnelCounts& { return this->counts; }
auto TunnelPort::UdpCounts() const -> const net::UdpPortCounts& { return this->port->Counts(); }

}  // namespace anvildrum::daemon
