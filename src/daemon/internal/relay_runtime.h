#pragma once

#include <array>
#include <boost/asio/steady_timer.hpp>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/internal/runtime.h"
#include "net/relay_socket.h"
#include "relay/relay.h"
#include "wire/datagram.h"

namespace anvildrum::daemon {

/// What the relay's sockets refused before relay::Step saw it, since the start.
struct RelayRefusals {
  net::RelayServerCounts server;             ///< the port for children; an agent has none
  std::uint64_t malformed = 0;               ///< not a RelayMessage
  std::uint64_t link_handshakes_failed = 0;  ///< with parents and seeds
  std::uint64_t link_malformed = 0;          ///< messages of parents that are not of one frame
};

/// Messages of one kind, as ZeroMQ carries them: without its framing, CURVE and TCP.
struct RelayKindCount {
  std::uint64_t messages = 0;
  std::uint64_t bytes = 0;
};

/// By the field number of RelayMessage's body (src/wire/relay.proto); 0 is what named none.
inline constexpr auto kRelayKinds = std::size_t{8};
using RelayKindCounts = std::array<RelayKindCount, kRelayKinds>;

struct RelayTraffic {
  RelayKindCounts sent{};
  RelayKindCounts received{};
};

/// Drives relay::Step with ZeroMQ sockets, platform calls and a timer.
class RelayRuntime {
 public:
  struct Callbacks {
    std::function<void(const std::vector<relay::PlatformObject>&)> on_records;
    std::function<void()> on_ready;
  };

  /// `server` is open on a balancer and null on an agent.
  RelayRuntime(Runtime& runtime, relay::RelaySettings settings, Callbacks callbacks);
  ~RelayRuntime();
  RelayRuntime(const RelayRuntime&) = delete;
  auto operator=(const RelayRuntime&) -> RelayRuntime& = delete;

  /// Binds the port for children. Errors: net::NetError.
  auto Listen(const base::Endpoint& local) -> base::Result<base::Endpoint>;

  auto Start() -> void;
  auto PeersChanged(std::vector<relay::RelayPeer> peers) -> void;
  auto Suspect(const relay::RecordSuspected& suspected) -> void;
  auto Alive(const std::string& key) -> void;
  auto Stop() -> void;

  [[nodiscard]] auto State() const -> const relay::State&;
  [[nodiscard]] auto Refusals() const -> RelayRefusals;
  [[nodiscard]] auto Traffic() const -> const RelayTraffic&;

 private:
  /// A connection to a parent. `waiting` is what was said last while it was not up yet.
  struct Link {
    std::unique_ptr<net::RelayLink> socket;
    std::string waiting;
  };

  auto Run(const relay::Event& event) -> void;
  auto Carry(const relay::Effect& effect) -> void;
  auto Send(const relay::SendPeer& send) -> void;
  auto OpenLink(const base::Endpoint& endpoint) -> Link*;
  auto CloseLink(const base::Endpoint& endpoint) -> void;
  auto LinkUp(const base::Endpoint& endpoint) -> void;
  auto FromChild(const net::RelayPeer& identity, wire::BytesView bytes) -> void;
  auto FromParent(const base::Endpoint& endpoint, wire::BytesView bytes) -> void;
  auto Watch(const relay::StartWatch& watch) -> void;
  auto Poll(const relay::PollPlatform& poll) -> void;
  auto Read(const relay::ReadConfiguration& read) -> void;
  auto Delete(const relay::DeleteRecord& record) -> void;
  auto Arm(base::TimePoint at) -> void;

  Runtime& runtime;
  relay::State state;
  Callbacks callbacks;
  net::RelayContext context;
  std::unique_ptr<net::RelayServer> server;
  std::map<base::Endpoint, Link> links;
  std::map<base::InstanceId, net::RelayPeer> children;
  boost::asio::steady_timer timer;
  boost::asio::steady_timer watch_timer;
  boost::asio::steady_timer poll_timer;
  boost::asio::steady_timer read_timer;
  std::uint64_t watch_call = 0;  ///< answers of earlier watches are ignored
  RelayRefusals refusals;        ///< without the server's, and without those of open links
  RelayTraffic traffic;
};

}  // namespace anvildrum::daemon
