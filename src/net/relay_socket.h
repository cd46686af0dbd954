#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <span>
#include <string>
#include <vector>

#include "base/result.h"
#include "base/types/endpoint.h"
#include "base/types/time.h"
#include "net/types/net_error.h"

namespace boost::asio {
class io_context;
}

namespace anvildrum::net {

/// Bytes; the platform's largest value, a megabyte, fits with its key.
inline constexpr auto kDefaultMaxMessage = std::int64_t{2097152};

/// A CURVE key pair (ZeroMQ RFC 26), each key 40 characters of Z85.
struct CurveKeyPair {
  std::string public_key;
  std::string secret_key;
};

auto GenerateCurveKeys() -> CurveKeyPair;

/// How both ends of the relay prove that they belong to the system.
struct RelaySecurity {
  CurveKeyPair own;  ///< this process's keys
  /// Public keys accepted from the other end. Two at once let keys rotate: add the new key to every
  /// other end's list, change the keys of this end, remove the old key from the lists.
  std::vector<std::string> accepted;
  bool insecure = false;  ///< no keys at all (NULL mechanism): only where nobody else can connect
};

/// ZeroMQ's threads and its in-process names; one a process, at most one RelayServer in it.
class RelayContext {
 public:
  RelayContext();
  RelayContext(const RelayContext&) = delete;
  auto operator=(const RelayContext&) -> RelayContext& = delete;
  ~RelayContext();

  struct Impl;
  std::shared_ptr<Impl> impl;
};

/// A connected child as its parent knows it; good until the child reconnects.
struct RelayPeer {
  std::string routing_id;
  auto operator==(const RelayPeer&) const -> bool = default;
};

struct RelayServerOptions {
  base::Endpoint local = {};  ///< TCP; port 0: the system picks one
  RelaySecurity security = {};
  std::size_t max_peers = 256;
  base::Duration peer_idle = base::seconds{60};   ///< a silent peer loses its place after this
  int high_water = 1000;                          ///< messages queued for each peer
  std::int64_t max_message = kDefaultMaxMessage;  ///< bytes; a longer one ends its connection
};

struct RelayServerCounts {
  std::uint64_t received = 0;
  std::uint64_t sent = 0;
  std::uint64_t send_drops = 0;    ///< peer gone, or its queue full
  std::uint64_t keys_refused = 0;  ///< handshakes with a key that isn't accepted
  /// Connections whose handshake is not ZMTP (ZeroMQ RFC 23), has no CURVE key, or is sealed to
  /// another key than the server's.
  std::uint64_t handshakes_malformed = 0;
  std::uint64_t handshakes_broken_off = 0;  ///< connections that ended before it was done
  std::uint64_t peers_refused = 0;          ///< messages of peers over max_peers
  std::uint64_t malformed = 0;              ///< messages that are not of one frame
};

/// The parent's end: a ROUTER socket. Used from the io_context's one thread.
class RelayServer {
 public:
  /// `message` is valid during the call only. The server may be destroyed from inside the call.
  using OnMessage =
      std::function<void(const RelayPeer& from, std::span<const std::uint8_t> message)>;

  /// Errors: NetError kNoKeys, kBadKey, kOption, kBind.
  static auto Open(RelayContext& context, boost::asio::io_context& io,
                   const RelayServerOptions& options, OnMessage on_message)
      -> base::Result<std::unique_ptr<RelayServer>>;

  RelayServer(const RelayServer&) = delete;
  auto operator=(const RelayServer&) -> RelayServer& = delete;
  ~RelayServer();

  /// False when the peer is gone or its queue is full.
  auto Send(const RelayPeer& to, std::span<const std::uint8_t> message) -> bool;

  /// Peers that have spoken and are not known to be gone.
  [[nodiscard]] auto Peers() const -> std::vector<RelayPeer>;
  [[nodiscard]] auto LocalEndpoint() const -> const base::Endpoint&;
  [[nodiscard]] auto Counts() const -> const RelayServerCounts&;

 private:
  struct Impl;
  explicit RelayServer(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

struct RelayLinkOptions {
  base::Endpoint parent = {};
  RelaySecurity security = {};
  int high_water = 1000;                          ///< messages queued while the parent is slow
  std::int64_t max_message = kDefaultMaxMessage;  ///< bytes
  base::Duration handshake = base::seconds{2};  ///< a parent that doesn't finish it is given up on
  base::Duration heartbeat = base::seconds{2};  ///< ZMTP ping; three unanswered mean it is gone
  base::Duration first_retry = base::milliseconds{100};
  base::Duration longest_retry = base::seconds{5};
};

struct RelayLinkCounts {
  std::uint64_t received = 0;
  std::uint64_t sent = 0;
  std::uint64_t send_drops = 0;
  std::uint64_t handshakes_failed = 0;
  std::uint64_t malformed = 0;  ///< messages that are not of one frame
};

/// The child's end: a DEALER socket that connects again by itself, trying the accepted server keys
/// in turn. Used from the io_context's one thread.
class RelayLink {
 public:
  struct Handlers {
    std::function<void(std::span<const std::uint8_t> message)> on_message;
    std::function<void()> on_up = {};    ///< connected and proven; subscribe now
    std::function<void()> on_down = {};  ///< was up, is connecting again
  };

  /// Errors: NetError kNoKeys, kBadKey, kOption, kConnect.
  static auto Open(RelayContext& context, boost::asio::io_context& io,
                   const RelayLinkOptions& options, Handlers handlers)
      -> base::Result<std::unique_ptr<RelayLink>>;

  RelayLink(const RelayLink&) = delete;
  auto operator=(const RelayLink&) -> RelayLink& = delete;
  ~RelayLink();

  /// False while the link is down or its queue is full: nothing is kept for later, since what would
  /// be said after a new connection is said anew from on_up. What was on its way at a break is
  /// lost.
  auto Send(std::span<const std::uint8_t> message) -> bool;

  [[nodiscard]] auto IsUp() const -> bool;
  [[nodiscard]] auto Counts() const -> const RelayLinkCounts&;

 private:
  struct Impl;
  explicit RelayLink(std::shared_ptr<Impl> impl);
  std::shared_ptr<Impl> impl;
};

}  // namespace anvildrum::net
