#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/signal_set.hpp>
#include <cstring>
#include <iostream>

#include "roles.h"

namespace anvildrum::forwarding {
namespace {

namespace asio = boost::asio;
using asio::ip::udp;

constexpr auto kBufferBytes = std::size_t{2048};
constexpr auto kSocketBuffer = 4 * 1024 * 1024;  // as UdpPort's
constexpr auto kMostFlows = std::size_t{1} << 20U;

auto ToAsio(const base::Endpoint& endpoint) -> udp::endpoint {
  auto bytes = asio::ip::address_v6::bytes_type{};
  std::copy(endpoint.address.begin(), endpoint.address.end(), bytes.begin());
  auto address = asio::ip::make_address_v4(asio::ip::v4_mapped, asio::ip::address_v6(bytes));
  return {address, endpoint.port};
}

/// One direction: receives at one socket, sends from the other, one datagram at a time.
struct Direction {
  Direction(udp::socket& in, udp::socket& out) : in(in), out(out) {}

  template <typename Route>
  auto Receive(const Route& route) -> void {
    this->in.async_receive_from(asio::buffer(this->buffer), this->from,
                                [this, &route](boost::system::error_code error, std::size_t size) {
                                  if (error) return this->Receive(route);
                                  this->Forward(route, size);
                                });
  }

  template <typename Route>
  auto Forward(const Route& route, std::size_t size) -> void {
    auto stamp = Stamp{};
    if (size < sizeof stamp) return this->Receive(route);
    std::memcpy(&stamp, this->buffer.data(), sizeof stamp);
    if (stamp.flow >= kMostFlows) return this->Receive(route);
    this->out.async_send_to(
        asio::buffer(this->buffer, size), route(stamp.flow, this->from),
        [this, &route](boost::system::error_code, std::size_t) { this->Receive(route); });
  }

  udp::socket& in;
  udp::socket& out;
  udp::endpoint from;
  std::array<std::uint8_t, kBufferBytes> buffer{};
};

auto Open(asio::io_context& io, const udp::endpoint& local) -> udp::socket {
  auto socket = udp::socket(io, local);
  socket.set_option(asio::socket_base::receive_buffer_size(kSocketBuffer));
  socket.set_option(asio::socket_base::send_buffer_size(kSocketBuffer));
  return socket;
}

}  // namespace

auto RunRelay(const base::Endpoint& front, const std::vector<base::Endpoint>& sinks) -> int {
  auto io = asio::io_context{1};
  auto front_socket = Open(io, ToAsio(front));
  auto back_socket = Open(io, {asio::ip::address_v4::loopback(), 0});
  auto targets = std::vector<udp::endpoint>{};
  for (const auto& sink : sinks) targets.push_back(ToAsio(sink));
  auto clients = std::vector<udp::endpoint>(kMostFlows);
  auto to_sink = [&](std::uint32_t flow, const udp::endpoint& from) -> const udp::endpoint& {
    clients[flow] = from;
    return targets[flow % targets.size()];
  };
  auto to_client = [&](std::uint32_t flow, const udp::endpoint&) -> const udp::endpoint& {
    return clients[flow];
  };
  auto forth = Direction(front_socket, back_socket);
  auto back = Direction(back_socket, front_socket);
  forth.Receive(to_sink);
  back.Receive(to_client);
  auto signals = asio::signal_set(io, SIGINT, SIGTERM);
  signals.async_wait([&](auto, auto) { io.stop(); });
  std::cout << "listening" << std::endl;
  io.run();
  return 0;
}

}  // namespace anvildrum::forwarding
