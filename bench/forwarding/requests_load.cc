#include <sys/socket.h>
#include <sys/time.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <chrono>
#include <iostream>
#include <nlohmann/json.hpp>

#include "net/sockaddr.h"
#include "net/udp_port.h"
#include "roles.h"
#include "wire/convert.h"
#include "wire/datagram.h"

namespace anvildrum::forwarding {
namespace {

using Clock = std::chrono::steady_clock;

constexpr auto kClientNet = std::uint32_t{0x7f010000};  // 127.1.0.0
constexpr auto kClientPort = std::uint16_t{40'000};
constexpr auto kPatience = timeval{.tv_sec = 0, .tv_usec = 200'000};
constexpr auto kMostLosses = 20U;
constexpr auto kBufferBytes = std::size_t{2048};
constexpr auto kAnswerBytes = std::size_t{64};

// RFC 7252, 3: version 1, token of 8 bytes; code 0.01 (GET), 2.05 (Content).
constexpr auto kConfirmable = std::uint8_t{0x48};
constexpr auto kAcknowledgement = std::uint8_t{0x68};
constexpr auto kGet = std::uint8_t{0x01};
constexpr auto kContent = std::uint8_t{0x45};
constexpr auto kHeaderBytes = std::size_t{12};  // with the token
constexpr auto kPayloadMarker = std::uint8_t{0xff};
constexpr auto kUriPathFeed = std::array<std::uint8_t, 5>{0xb4, 'f', 'e', 'e', 'd'};

struct Asker {
  const RequestsPlan* plan = nullptr;
  wire::KeyRing ring;
  int socket = -1;
  base::Endpoint local;
  std::vector<std::uint16_t> message_ids;  // of each flow
  std::uint32_t next = 0;
  std::uint32_t losses = 0;
  std::uint32_t refused = 0;
  wire::pb::TunnelHeader header;
  wire::Bytes request;
  wire::Bytes sealed;
  wire::Opened opened;
  std::vector<double> delays_us;
};

auto OpenAsker(Asker& asker) -> void {
  asker.socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  auto address = net::ToSocketAddress(asker.plan->agent, AF_INET);
  ::connect(asker.socket, reinterpret_cast<const sockaddr*>(&address.storage), address.length);
  ::setsockopt(asker.socket, SOL_SOCKET, SO_RCVTIMEO, &kPatience, sizeof kPatience);
  auto own = sockaddr_storage{};
  auto length = socklen_t{sizeof own};
  ::getsockname(asker.socket, reinterpret_cast<sockaddr*>(&own), &length);
  asker.local = net::FromSocketAddress(own);
  asker.message_ids.resize(asker.plan->flows);
}

auto WriteRequest(Asker& asker, std::uint32_t index) -> void {
  auto id = ++asker.message_ids[index];
  auto& bytes = asker.request;
  bytes.assign({kConfirmable, kGet, static_cast<std::uint8_t>(id >> 8U),
                static_cast<std::uint8_t>(id & 0xffU)});
  auto sent = Clock::now().time_since_epoch().count();  // the token: the answer brings it back
  const auto* begin = reinterpret_cast<const std::uint8_t*>(&sent);
  bytes.insert(bytes.end(), begin, begin + sizeof sent);
  bytes.insert(bytes.end(), kUriPathFeed.begin(), kUriPathFeed.end());
}

auto SendNext(Asker& asker) -> void {
  auto index = asker.next++ % asker.plan->flows;
  WriteRequest(asker, index);
  auto& packet = *asker.header.mutable_packet();
  asker.header.set_sender(base::InstanceIdOf("b1").value);
  asker.header.set_incarnation(1);
  auto client = base::EndpointFromV4(kClientNet + index, kClientPort);
  wire::WriteFlow({client, base::ServiceIdOf(asker.plan->service)}, *packet.mutable_flow());
  wire::WriteEndpoint(asker.local, *packet.mutable_balancer());
  packet.set_may_open(true);
  if (!wire::Seal(asker.ring, asker.header, asker.request, asker.sealed)) return;
  ::send(asker.socket, asker.sealed.data(), asker.sealed.size(), 0);
}

/// False when it is not an answer.
auto TakeAnswer(Asker& asker, wire::BytesView datagram) -> bool {
  if (!wire::Open(asker.ring, datagram, asker.opened)) return false;
  const auto& answer = asker.opened.payload;
  if (!asker.opened.header.has_reply() || answer.size() < kHeaderBytes) return false;
  if (answer[1] != kContent) ++asker.refused;
  auto sent = Clock::rep{};
  std::copy_n(answer.data() + 4, sizeof sent, reinterpret_cast<std::uint8_t*>(&sent));
  auto delay = Clock::now().time_since_epoch() - Clock::duration(sent);
  asker.delays_us.push_back(std::chrono::duration<double, std::micro>(delay).count());
  return true;
}

auto Ask(Asker& asker) -> void {
  auto buffer = std::array<std::uint8_t, kBufferBytes>{};
  for (auto i = 0U; i < asker.plan->window; ++i) SendNext(asker);
  while (asker.delays_us.size() < asker.plan->requests && asker.losses < kMostLosses) {
    auto size = ::recv(asker.socket, buffer.data(), buffer.size(), 0);
    if (size < 0) {
      ++asker.losses;
      for (auto i = 0U; i < asker.plan->window; ++i) SendNext(asker);
    } else if (TakeAnswer(asker, wire::BytesView(buffer).first(static_cast<std::size_t>(size)))) {
      SendNext(asker);
    }
  }
}

auto Quantile(const std::vector<double>& sorted, double share) -> double {
  if (sorted.empty()) return 0;
  return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

}  // namespace

auto RunRequests(const RequestsPlan& plan) -> int {
  auto asker = Asker{};
  asker.plan = &plan;
  asker.ring.keys = {ReadKey(plan.key)};
  OpenAsker(asker);
  auto start = Clock::now();
  Ask(asker);
  auto seconds = std::chrono::duration<double>(Clock::now() - start).count();
  ::close(asker.socket);
  std::ranges::sort(asker.delays_us);
  auto answers = asker.delays_us.size();
  std::cout << nlohmann::json{{"answers", answers},
                              {"answers_per_second", static_cast<double>(answers) / seconds},
                              {"refused", asker.refused},
                              {"pauses", asker.losses},
                              {"p50_us", Quantile(asker.delays_us, 0.5)},
                              {"p99_us", Quantile(asker.delays_us, 0.99)}}
            << std::endl;
  return 0;
}

auto RunTarget(const base::Endpoint& listen) -> int {
  auto io = boost::asio::io_context{1};
  auto options = net::UdpPortOptions{};
  options.local = listen;
  auto answer = std::vector<std::uint8_t>(kAnswerBytes, 'x');
  answer[kHeaderBytes] = kPayloadMarker;
  auto port = std::unique_ptr<net::UdpPort>{};
  auto opened = net::UdpPort::Open(io, options, [&](const auto& from, auto request) {
    if (request.size() < kHeaderBytes || request[0] != kConfirmable) return;
    std::copy_n(request.begin(), kHeaderBytes, answer.begin());
    answer[0] = kAcknowledgement;
    answer[1] = kContent;
    port->Send(from, answer);
  });
  if (!opened) return 1;
  port = std::move(*opened);
  auto signals = boost::asio::signal_set(io, SIGINT, SIGTERM);
  signals.async_wait([&](auto, auto) { io.stop(); });
  std::cout << "listening" << std::endl;
  io.run();
  return 0;
}

}  // namespace anvildrum::forwarding
