#include "tools/fabric_standin/relay.h"

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/steady_timer.hpp>
#include <iostream>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>

#include "tools/fabric_standin/control.h"

namespace anvildrum::fabric {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;
using Error = boost::system::error_code;

constexpr auto kMaxDatagram = std::size_t{65507};
constexpr auto kIdleLimit = base::hours{1};
constexpr auto kSweepInterval = base::minutes{1};
constexpr auto kBatch = 64;
constexpr auto kReceiveBuffer = 4 << 20;

using Buffer = std::array<char, kMaxDatagram>;

auto ToUdp(const base::Endpoint& endpoint) -> udp::endpoint {
  auto v6 = asio::ip::address_v6(endpoint.address);
  if (!base::IsV4(endpoint)) return {v6, endpoint.port};
  return {asio::ip::make_address_v4(asio::ip::v4_mapped, v6), endpoint.port};
}

auto FromUdp(const udp::endpoint& endpoint) -> base::Endpoint {
  if (endpoint.address().is_v4()) {
    return base::EndpointFromV4(endpoint.address().to_v4().to_uint(), endpoint.port());
  }
  return {endpoint.address().to_v6().to_bytes(), endpoint.port()};
}

/// A bound socket with the buffer of its receive loop.
struct Port {
  explicit Port(asio::io_context& io) : socket(io) {}
  udp::socket socket;
  udp::endpoint sender;
};

/// The socket that stands for one client of one service, so that its flow keeps a source address.
struct Upstream {
  explicit Upstream(asio::io_context& io) : port(io) {}
  Port port;
  base::Endpoint client;
  base::TimePoint last_used;
};

struct ServicePort {
  ServicePort(asio::io_context& io, Service of) : port(io), service(std::move(of)) {}
  Port port;
  Service service;
  std::unordered_map<base::Endpoint, std::shared_ptr<Upstream>> upstreams;
};

struct Relay {
  asio::io_context io;
  Fabric fabric;
  std::vector<std::unique_ptr<ServicePort>> services;
  std::unique_ptr<Port> control;
  std::unique_ptr<Buffer> buffer = std::make_unique<Buffer>();
};

auto Bind(Port& port, const udp::endpoint& address) -> void {
  port.socket.open(address.protocol());
  port.socket.bind(address);
  port.socket.non_blocking(true);
  auto ignored = Error{};
  port.socket.set_option(asio::socket_base::receive_buffer_size(kReceiveBuffer), ignored);
}

auto SendNow(Relay& relay, Port& port, std::string_view packet, const base::Endpoint& to) -> void {
  auto error = Error{};
  port.socket.send_to(asio::buffer(packet.data(), packet.size()), ToUdp(to), 0, error);
  if (error) ++relay.fabric.counts.socket_errors;
}

/// `owner` keeps the port alive until a delayed packet has left.
auto Send(Relay& relay, const std::shared_ptr<void>& owner, Port& port, std::string_view packet,
          const Delivery& delivery) -> void {
  if (delivery.delay <= base::Duration::zero()) {
    SendNow(relay, port, packet, delivery.to);
    return;
  }
  auto timer = std::make_shared<asio::steady_timer>(relay.io, delivery.delay);
  timer->async_wait([&relay, &port, owner, timer, to = delivery.to,
                     copy = std::string(packet)](const Error& error) {
    if (!error && port.socket.is_open()) SendNow(relay, port, copy, to);
  });
}

/// Reads what waits at the port, a batch at a time so that the other ports get their turn, and
/// waits for more; `handle` gets each packet.
template <typename Handle>
auto Receive(Relay& relay, const std::shared_ptr<void>& owner, Port& port, Handle handle) -> void {
  port.socket.async_wait(udp::socket::wait_read, [&relay, owner, &port, handle](const Error& wait) {
    if (wait || !port.socket.is_open()) return;
    for (auto left = kBatch; left > 0 && port.socket.is_open(); --left) {
      auto error = Error{};
      auto size = port.socket.receive_from(asio::buffer(*relay.buffer), port.sender, 0, error);
      if (error == asio::error::would_block) break;
      if (error) {
        ++relay.fabric.counts.socket_errors;
        break;
      }
      handle(std::string_view(relay.buffer->data(), size));
    }
    Receive(relay, owner, port, handle);
  });
}

auto ReceiveFromBalancers(Relay& relay, ServicePort& service,
                          const std::shared_ptr<Upstream>& upstream) -> void {
  Receive(relay, upstream, upstream->port,
          [&relay, &service, raw = upstream.get()](std::string_view packet) {
            raw->last_used = base::Clock::now();
            auto sender = FromUdp(raw->port.sender);
            for (const auto& delivery : ReturnToClient(relay.fabric, sender, raw->client)) {
              Send(relay, nullptr, service.port, packet, delivery);
            }
          });
}

auto OpenUpstream(Relay& relay, ServicePort& service, const base::Endpoint& client)
    -> std::shared_ptr<Upstream> {
  auto upstream = std::make_shared<Upstream>(relay.io);
  try {
    Bind(upstream->port, {ToUdp(service.service.address).address(), 0});
  } catch (const boost::system::system_error&) {
    ++relay.fabric.counts.socket_errors;
    return nullptr;
  }
  upstream->client = client;
  service.upstreams[client] = upstream;
  ReceiveFromBalancers(relay, service, upstream);
  return upstream;
}

auto UpstreamOf(Relay& relay, ServicePort& service, const base::Endpoint& client)
    -> std::shared_ptr<Upstream> {
  auto found = service.upstreams.find(client);
  if (found != service.upstreams.end()) return found->second;
  return OpenUpstream(relay, service, client);
}

auto ReceiveFromClients(Relay& relay, ServicePort& service) -> void {
  Receive(relay, nullptr, service.port, [&relay, &service](std::string_view packet) {
    auto upstream = UpstreamOf(relay, service, FromUdp(service.port.sender));
    if (upstream == nullptr) return;
    upstream->last_used = base::Clock::now();
    for (const auto& delivery : SprayToBalancers(relay.fabric, service.service.name)) {
      Send(relay, upstream, upstream->port, packet, delivery);
    }
  });
}

auto ReceiveControl(Relay& relay) -> void {
  Receive(relay, nullptr, *relay.control, [&relay](std::string_view packet) {
    auto answer = HandleControl(relay.fabric, packet);
    SendNow(relay, *relay.control, answer, FromUdp(relay.control->sender));
  });
}

auto CloseIdle(Relay& relay, base::TimePoint now) -> void {
  for (auto& service : relay.services) {
    std::erase_if(service->upstreams, [&](auto& entry) {
      if (now - entry.second->last_used < kIdleLimit) return false;
      entry.second->port.socket.close();
      return true;
    });
  }
}

auto SweepLater(Relay& relay, asio::steady_timer& timer) -> void {
  timer.expires_after(kSweepInterval);
  timer.async_wait([&relay, &timer](const Error& error) {
    if (error) return;
    CloseIdle(relay, base::Clock::now());
    SweepLater(relay, timer);
  });
}

auto Announce(std::string_view what, const Port& port) -> void {
  std::cout << "listening " << what << ' '
            << base::FormatEndpoint(FromUdp(port.socket.local_endpoint())) << std::endl;
}

auto BindAll(Relay& relay, const CommandLine& line) -> void {
  for (const auto& service : line.services) {
    auto& port = *relay.services.emplace_back(std::make_unique<ServicePort>(relay.io, service));
    Bind(port.port, ToUdp(service.address));
  }
  if (!line.control) return;
  relay.control = std::make_unique<Port>(relay.io);
  Bind(*relay.control, ToUdp(*line.control));
}

auto Start(Relay& relay) -> void {
  for (auto& service : relay.services) {
    ReceiveFromClients(relay, *service);
    Announce("service " + service->service.name, service->port);
  }
  if (!relay.control) return;
  ReceiveControl(relay);
  Announce("control", *relay.control);
}

}  // namespace

auto RunRelay(const CommandLine& line) -> void {
  auto relay = Relay{};
  relay.fabric.balancers = line.balancers;
  relay.fabric.faults.client_delay = line.client_delay;
  relay.fabric.faults.balancer_delay = line.balancer_delay;
  relay.fabric.random.seed(line.seed);
  auto signals = asio::signal_set(relay.io, SIGTERM, SIGINT);
  signals.async_wait([&](const Error&, int) { relay.io.stop(); });
  BindAll(relay, line);
  auto sweep = asio::steady_timer(relay.io);
  SweepLater(relay, sweep);
  Start(relay);
  relay.io.run();
}

}  // namespace anvildrum::fabric
