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

/// Exchange of the configuration between processes. Each balancer serves the configuration in
/// force, some agents serve a stored copy, and a balancer without a configuration asks the
/// balancers that its settings name and finally an agent.
///
/// Safeguard: a balancer may start while the platform is unavailable, or while the platform rejects
/// its calls but serves others. Without a configuration from a peer it would drop every packet
/// until the platform answers, and where its failure domain has few balancers, the fabric sends it
/// packets although it is not ready. The configuration of a peer is no older than the one that this
/// balancer would have continued to use without the restart.
class PeerConfiguration {
 public:
  using OnObject = std::function<void(const platform::Object& object)>;

  /// `on_object` is called with the object of each successful answer of a peer.
  PeerConfiguration(boost::asio::io_context& io, const Adapter& adapter, const Settings& settings,
                    OnObject on_object);

  /// Starts to serve the configuration. Errors: net::NetError.
  auto Open() -> base::Result<void>;

  /// The response to a GET of Path(), for any port that serves it to other processes.
  [[nodiscard]] auto Answer() -> net::OperatorResponse;
  [[nodiscard]] auto Path() const -> std::string;

  /// Sets the configuration to serve.
  auto Keep(const platform::Object& object) -> void;

  /// The platform's revision of the served configuration; 0 if there is none yet.
  [[nodiscard]] auto Revision() const -> std::uint64_t;

  /// Whether a configuration is being received from another process.
  [[nodiscard]] auto IsConfigurationComing() const -> bool;

  /// Asks the balancers of the settings one after another until one has a configuration. A further
  /// call continues with the next balancers while earlier requests are still unanswered.
  ///
  /// Safeguard: if all were asked at once, each would send a whole configuration over the same
  /// link.
  auto Ask() -> void;

  /// Asks the process at this address, which has announced a newer configuration, unless such a
  /// request is pending. The port for these requests is the same at every instance.
  auto AskFor(packets::Address newer) -> void;

  auto SetSeeds(const std::vector<base::Endpoint>& seeds) -> void;

 private:
  struct Peer {
    base::Endpoint endpoint;
    std::unique_ptr<platform::Client> client;
    bool asked = false;  ///< a request is pending
  };

  auto AskNext() -> void;
  auto AskOne(Peer& peer, std::function<void()> on_failure) -> void;

  boost::asio::io_context& io;
  const Adapter& adapter;
  base::Endpoint own_endpoint;
  OnObject on_object;
  std::optional<platform::Object> kept;
  std::string encoded;  ///< encoding of `kept`; empty until it is requested
  std::vector<std::unique_ptr<Peer>> peers;
  std::size_t next_peer;             ///< modulo their number; starts at random to spread the load
  std::size_t left_to_ask = 0;       ///< peers still to be asked for the last call of Ask
  std::unique_ptr<Peer> newer_peer;  ///< the last process that announced a newer configuration
  std::unique_ptr<net::OperatorPort> port;
};

}  // namespace anvildrum::packetd
