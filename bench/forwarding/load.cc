#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstring>
#include <iostream>
#include <nlohmann/json.hpp>
#include <thread>

#include "net/sockaddr.h"
#include "roles.h"

namespace anvildrum::forwarding {
namespace {

constexpr auto kBufferBytes = std::size_t{2048};
constexpr auto kEvents = 64;
constexpr auto kLossMs = 200;  // nothing came back for so long: what is on its way is lost
constexpr auto kMostLosses = 20U;
constexpr auto kNsPerUs = 1e3;
constexpr auto kNsPerSecond = 1e9;
constexpr auto kClientNet = std::uint32_t{0x7f010000};  // 127.1.0.0
constexpr auto kPace = 64U;                             // clients of RunHold between two pauses

auto NowNs() -> std::uint64_t {
  auto time = std::chrono::steady_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::nanoseconds(time).count());
}

auto Connect(int socket, const base::Endpoint& to) -> void {
  auto address = net::ToSocketAddress(to, AF_INET);
  ::connect(socket, reinterpret_cast<const sockaddr*>(&address.storage), address.length);
}

struct Loader {
  const LoadPlan* plan = nullptr;
  std::uint32_t first_flow = 0;
  std::uint32_t round = 0;
  int poll = -1;
  std::vector<int> sockets;
  std::vector<std::uint8_t> bytes;
  std::vector<double> delays_us;
  std::uint32_t next = 0;
  std::uint32_t losses = 0;
  double seconds = 0;
};

auto OpenSockets(Loader& loader) -> void {
  loader.poll = ::epoll_create1(EPOLL_CLOEXEC);
  for (auto i = 0U; i < loader.plan->flows; ++i) {
    auto socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    Connect(socket, loader.plan->to[(loader.first_flow + i) % loader.plan->to.size()]);
    auto event = epoll_event{.events = EPOLLIN, .data = {.u32 = i}};
    ::epoll_ctl(loader.poll, EPOLL_CTL_ADD, socket, &event);
    loader.sockets.push_back(socket);
  }
}

auto SendNext(Loader& loader) -> void {
  auto index = loader.next++ % loader.plan->flows;
  auto stamp = Stamp{loader.first_flow + index, loader.round, NowNs()};
  std::memcpy(loader.bytes.data(), &stamp, sizeof stamp);
  ::send(loader.sockets[index], loader.bytes.data(), loader.plan->size, 0);
}

/// Counts what came back to one socket and sends as many anew.
auto Drain(Loader& loader, std::uint32_t index, std::uint32_t& back) -> void {
  auto buffer = std::array<std::uint8_t, kBufferBytes>{};
  while (::recv(loader.sockets[index], buffer.data(), buffer.size(), 0) > 0) {
    auto stamp = Stamp{};
    std::memcpy(&stamp, buffer.data(), sizeof stamp);
    if (stamp.round != loader.round) continue;
    loader.delays_us.push_back(static_cast<double>(NowNs() - stamp.sent_ns) / kNsPerUs);
    ++back;
    SendNext(loader);
  }
}

auto Exchange(Loader& loader, std::uint32_t packets) -> void {
  auto events = std::array<epoll_event, kEvents>{};
  for (auto back = 0U; back < packets && loader.losses < kMostLosses;) {
    auto ready = ::epoll_wait(loader.poll, events.data(), kEvents, kLossMs);
    for (auto i = 0; i < ready; ++i) Drain(loader, events[i].data.u32, back);
    if (ready > 0) continue;
    ++loader.losses;
    ++loader.round;
    for (auto i = 0U; i < loader.plan->window; ++i) SendNext(loader);
  }
}

auto Run(Loader& loader) -> void {
  OpenSockets(loader);
  for (auto i = 0U; i < loader.plan->window; ++i) SendNext(loader);
  Exchange(loader, loader.plan->warm_up);
  loader.delays_us.clear();
  auto start = NowNs();
  Exchange(loader, loader.plan->packets / loader.plan->threads);
  loader.seconds = static_cast<double>(NowNs() - start) / kNsPerSecond;
  for (auto socket : loader.sockets) ::close(socket);
  ::close(loader.poll);
}

auto Quantile(const std::vector<double>& sorted, double share) -> double {
  if (sorted.empty()) return 0;
  return sorted[static_cast<std::size_t>(share * static_cast<double>(sorted.size() - 1))];
}

auto Report(const std::vector<Loader>& loaders) -> void {
  auto delays = std::vector<double>{};
  auto rate = 0.0;
  auto losses = 0U;
  for (const auto& loader : loaders) {
    delays.insert(delays.end(), loader.delays_us.begin(), loader.delays_us.end());
    rate += static_cast<double>(loader.delays_us.size()) / loader.seconds;
    losses += loader.losses;
  }
  std::ranges::sort(delays);
  std::cout << nlohmann::json{{"answers_per_second", rate},
                              {"answers", delays.size()},
                              {"pauses", losses},
                              {"p50_us", Quantile(delays, 0.5)},
                              {"p99_us", Quantile(delays, 0.99)}}
            << std::endl;
}

}  // namespace

auto RunLoad(const LoadPlan& plan) -> int {
  auto loaders = std::vector<Loader>(plan.threads);
  for (auto i = 0U; i < plan.threads; ++i) {
    loaders[i].plan = &plan;
    loaders[i].first_flow = i * plan.flows;
    loaders[i].bytes.resize(std::max<std::size_t>(plan.size, sizeof(Stamp)));
    loaders[i].delays_us.reserve(plan.packets + plan.warm_up);
  }
  {
    auto threads = std::vector<std::jthread>{};
    for (auto& loader : loaders) threads.emplace_back([&loader] { Run(loader); });
  }
  Report(loaders);
  return 0;
}

auto RunHold(const base::Endpoint& to, std::uint32_t flows) -> int {
  auto stamp = Stamp{};
  for (auto i = 0U; i < flows; ++i) {
    auto socket = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
    auto local = sockaddr_in{};
    local.sin_family = AF_INET;
    local.sin_addr.s_addr = htonl(kClientNet + i);
    ::bind(socket, reinterpret_cast<const sockaddr*>(&local), sizeof local);
    Connect(socket, to);
    stamp.flow = i;
    ::send(socket, &stamp, sizeof stamp, 0);
    ::close(socket);
    if (i % kPace == 0) std::this_thread::sleep_for(std::chrono::milliseconds(1));
  }
  return 0;
}

}  // namespace anvildrum::forwarding
