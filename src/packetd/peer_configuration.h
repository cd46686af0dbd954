#pragma once

#include <boost/asio/io_context.hpp>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/result.h"
#include "net/operator_port.h"
#include "packetd/adapter.h"
#include "packetd/settings.h"
#include "packets/types/packet.h"
#include "platform/client.h"

namespace anvildrum::packetd {

/// The configuration from one process to another: each balancer serves what it has in force, some
/// agents what they keep, and a balancer that has none yet asks the balancers that its settings
/// name, and in the end an agent.
///
/// Safeguard: a balancer starts while the platform is away, or turns it away and serves others. It
/// would drop every packet until the platform is back; where it is one of few of its failure domain
/// the fabric sends it packets although it isn't ready. What a peer has in force is no older than
/// what this one would have gone on with, had it not been restarted.
class PeerConfiguration {
 public:
  using OnObject = std::function<void(const platform::Object& object)>;

  /// `on_object` is called with each answer of a peer.
  PeerConfiguration(boost::asio::io_context& io, const Adapter& adapter, const Settings& settings,
                    OnObject on_object);

  /// Begins to serve. Errors: net::NetError.
  auto Open() -> base::Result<void>;

  /// What is answered at Path(): to other processes, wherever it is served.
  [[nodiscard]] auto Answer() -> net::OperatorResponse;
  [[nodiscard]] auto Path() const -> std::string;

  /// What is served from now on.
  auto Keep(const platform::Object& object) -> void;

  /// The platform's revision of what is served; 0: nothing yet.
  [[nodiscard]] auto Revision() const -> std::uint64_t;

  /// Whether a configuration is coming from another process.
  [[nodiscard]] auto IsConfigurationComing() const -> bool;

  /// Asks the settings' balancers one after another until one has a configuration. Called again, it
  /// goes on beside those that do not answer.
  ///
  /// Safeguard: asked all at once, each would send a whole configuration over the same link.
  auto Ask() -> void;

  /// Asks the process at this address, which says that it has a newer one, unless one is being
  /// asked so. The port for such questions is the same at every instance.
  auto AskFor(packets::Address newer) -> void;

  auto SetSeeds(const std::vector<base::Endpoint>& seeds) -> void;

 private:
  struct Peer {
    base::Endpoint endpoint;
    std::unique_ptr<platform::Client> client;
    bool asked = false;  ///< an answer is awaited
  };

  auto AskNext() -> void;
  auto AskOne(Peer& peer, std::function<void()> on_failure) -> void;

  boost::asio::io_context& io;
  const Adapter& adapter;
  base::Endpoint own;
  OnObject on_object;
  std::optional<platform::Object> kept;
  std::string encoded;  ///< of it; empty until somebody asks
  std::vector<std::unique_ptr<Peer>> peers;
  std::size_t next_peer;        ///< as a count that begins anywhere, so that starts are spread
  std::size_t left_to_ask = 0;  ///< peers, until Ask is called again
  std::unique_ptr<Peer> newer;  ///< the last one that said so
  std::unique_ptr<net::OperatorPort> port;
};

}  // namespace anvildrum::packetd
