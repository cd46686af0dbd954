// Processor time of a UDP echo: UdpPort against plain Asio (async_receive_from, then
// async_send_to), in one run, turn by turn. A window of datagrams is kept on the way by a client on
// its own thread; only the echoing thread's processor time counts. Prints a Markdown table with
// medians.
#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/post.hpp>
#include <cstdio>
#include <ctime>
#include <functional>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include "net/sockaddr.h"
#include "net/udp_port.h"

namespace {

using anvildrum::base::Endpoint;
namespace asio = boost::asio;
namespace net = anvildrum::net;

constexpr auto kPackets = 100000;
constexpr auto kRounds = 7;
constexpr auto kLoopback = std::uint32_t{0x7f000001};
constexpr auto kNanosecondsPerSecond = 1e9;

auto Now(clockid_t clock) -> double {
  auto time = timespec{};
  ::clock_gettime(clock, &time);
  return static_cast<double>(time.tv_sec) * kNanosecondsPerSecond +
         static_cast<double>(time.tv_nsec);
}

/// An echo that runs on the io_context given; its address.
struct Echo {
  Endpoint address;
  std::shared_ptr<void> owner;
};

auto OpenUdpPortEcho(asio::io_context& io) -> Echo {
  auto holder = std::make_shared<std::unique_ptr<net::UdpPort>>();
  auto* raw = holder.get();
  *holder = net::UdpPort::Open(io, {.local = anvildrum::base::EndpointFromV4(kLoopback, 0)},
                               [raw](const Endpoint& from, std::span<const std::uint8_t> data) {
                                 (*raw)->Send(from, data);
                               })
                .value();
  return {(*holder)->LocalEndpoint(), holder};
}

/// The floor that the bench compares with.
struct AsioEcho : std::enable_shared_from_this<AsioEcho> {
  explicit AsioEcho(asio::io_context& io)
      : socket(io, asio::ip::udp::endpoint{asio::ip::address_v4::loopback(), 0}) {
    this->socket.set_option(asio::socket_base::receive_buffer_size(4194304));
    this->socket.set_option(asio::socket_base::send_buffer_size(4194304));
  }

  auto Receive() -> void {
    this->socket.async_receive_from(asio::buffer(this->buffer), this->from,
                                    [this](boost::system::error_code error, std::size_t size) {
                                      if (!error) this->Answer(size);
                                    });
  }

  auto Answer(std::size_t size) -> void {
    this->socket.async_send_to(asio::buffer(this->buffer, size), this->from,
                               [this](boost::system::error_code error, std::size_t) {
                                 if (!error) this->Receive();
                               });
  }

  asio::ip::udp::socket socket;
  asio::ip::udp::endpoint from;
  std::array<std::uint8_t, 2048> buffer{};
};

auto OpenAsioEcho(asio::io_context& io) -> Echo {
  auto echo = std::make_shared<AsioEcho>(io);
  echo->Receive();
  const auto port = echo->socket.local_endpoint().port();
  return {anvildrum::base::EndpointFromV4(kLoopback, port), echo};
}

/// Keeps `window` datagrams on the way until kPackets came back; a loss ends the wait for a window.
class Client {
 public:
  Client(const Endpoint& echo, std::size_t size) : bytes(size, 0x5a) {
    const auto address = net::ToSocketAddress(echo, AF_INET);
    this->socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    ::connect(this->socket, reinterpret_cast<const sockaddr*>(&address.storage), address.length);
    const auto patience = timeval{.tv_sec = 0, .tv_usec = 100000};
    ::setsockopt(this->socket, SOL_SOCKET, SO_RCVTIMEO, &patience, sizeof patience);
  }
  Client(const Client&) = delete;
  auto operator=(const Client&) -> Client& = delete;
  ~Client() { ::close(this->socket); }

  auto Run(int window) -> int {
    auto back = 0;
    while (back < kPackets) {
      for (auto sent = 0; sent < window; ++sent) {
        ::send(this->socket, this->bytes.data(), this->bytes.size(), 0);
      }
      for (auto waited = 0; waited < window; ++waited) {
        if (::recv(this->socket, this->bytes.data(), this->bytes.size(), 0) < 0) break;
        ++back;
      }
    }
    return back;
  }

 private:
  int socket = -1;
  std::vector<std::uint8_t> bytes;
};

struct Sample {
  double cpu_ns = 0;  ///< of the echoing thread, a packet
  double packets_per_second = 0;
};

using OpenEcho = Echo (*)(asio::io_context&);

auto Measure(OpenEcho open, std::size_t size, int window) -> Sample {
  auto io = asio::io_context{1};
  auto echo = std::optional{open(io)};
  auto cpu = 0.0;
  auto server = std::thread{[&] {
    const auto start = Now(CLOCK_THREAD_CPUTIME_ID);
    io.run();
    cpu = Now(CLOCK_THREAD_CPUTIME_ID) - start;
  }};
  const auto start = Now(CLOCK_MONOTONIC);
  const auto back = Client{echo->address, size}.Run(window);
  const auto wall = Now(CLOCK_MONOTONIC) - start;
  asio::post(io, [&io] { io.stop(); });
  server.join();
  echo.reset();
  return {cpu / back, back / wall * kNanosecondsPerSecond};
}

auto Median(std::vector<double> values) -> double {
  std::sort(values.begin(), values.end());
  return values[values.size() / 2];
}

struct Series {
  std::vector<double> cpu_ns;
  std::vector<double> rate;
};

auto Add(Series& series, const Sample& sample) -> void {
  series.cpu_ns.push_back(sample.cpu_ns);
  series.rate.push_back(sample.packets_per_second);
}

auto Row(std::size_t size, int window) -> void {
  auto plain = Series{};
  auto port = Series{};
  for (auto round = 0; round < kRounds; ++round) {
    Add(plain, Measure(OpenAsioEcho, size, window));
    Add(port, Measure(OpenUdpPortEcho, size, window));
  }
  const auto plain_cpu = Median(plain.cpu_ns);
  const auto port_cpu = Median(port.cpu_ns);
  const auto plain_rate = Median(plain.rate);
  const auto port_rate = Median(port.rate);
  std::printf("| %zu | %d | %.0f | %.0f | %.2f | %.0f | %.0f | %.2f |\n", size, window, plain_cpu,
              port_cpu, port_cpu / plain_cpu, plain_rate, port_rate, port_rate / plain_rate);
}

}  // namespace

auto main() -> int {
  std::printf("| bytes | window | Asio ns/packet | UdpPort ns/packet | ratio | Asio packets/s |");
  std::printf(" UdpPort packets/s | ratio |\n|---|---|---|---|---|---|---|---|\n");
  for (const auto size : {std::size_t{64}, std::size_t{1200}}) {
    for (const auto window : {1, 8, 64}) Row(size, window);
  }
  return 0;
}
