#include "packetd/peer_configuration.h"

#include <algorithm>
#include <string>
#include <utility>
#include <variant>

#include "packetd/internal/common.h"
#include "telemetry/log.h"

namespace anvildrum::packetd {
namespace {

using telemetry::Log;
using telemetry::LogLevel;

// A peer that is off does not answer. While a configuration is needed it is asked again.
constexpr auto kAnswerWithin = base::milliseconds{500};

constexpr auto kOk = 200U;
constexpr auto kUnavailable = 503U;

}  // namespace

PeerConfiguration::PeerConfiguration(boost::asio::io_context& io, const Adapter& adapter,
                                     const Settings& settings, OnObject on_object)
    : io(io),
      adapter(adapter),
      own_endpoint(settings.heartbeats),
      on_object(std::move(on_object)),
      next_peer(StartSeed(settings)) {
  this->SetSeeds(settings.seeds);
}

auto PeerConfiguration::Open() -> base::Result<void> {
  auto opened = net::OperatorPort::Open(this->io, {.local = this->own_endpoint});
  if (!opened) return opened.error();
  this->port = std::move(opened.value());
  this->port->Route("GET", this->Path(),
                    [this](const net::OperatorRequest&) { return this->Answer(); });
  return {};
}

auto PeerConfiguration::Path() const -> std::string {
  return this->adapter.dialect->get(this->adapter.configuration_key).target;
}

// The encoded text is kept, because many processes ask at the same moment and encoding is most of
// the work.
auto PeerConfiguration::Answer() -> net::OperatorResponse {
  if (!this->kept) {
    return {.status = kUnavailable, .content_type = "application/json", .body = "{}"};
  }
  if (this->encoded.empty()) this->encoded = this->adapter.encode_object(*this->kept);
  return {.status = kOk, .content_type = "application/json", .body = this->encoded};
}

auto PeerConfiguration::Keep(const platform::Object& object) -> void {
  this->kept = object;
  this->encoded.clear();
}

auto PeerConfiguration::Revision() const -> std::uint64_t {
  return this->kept ? this->kept->revision : 0;
}

auto PeerConfiguration::AskFor(packets::Address address) -> void {
  if (this->newer_peer && this->newer_peer->asked) return;
  this->newer_peer = std::make_unique<Peer>();
  this->newer_peer->endpoint = base::EndpointFromV4(address, this->own_endpoint.port);
  this->AskOne(*this->newer_peer, [] {});
}

auto PeerConfiguration::SetSeeds(const std::vector<base::Endpoint>& seeds) -> void {
  this->peers.clear();
  for (const auto& seed : seeds) {
    if (seed == this->own_endpoint) continue;
    auto peer = std::make_unique<Peer>();
    peer->endpoint = seed;
    this->peers.push_back(std::move(peer));
  }
}

auto PeerConfiguration::IsConfigurationComing() const -> bool {
  const auto is_coming = [](const std::unique_ptr<Peer>& peer) {
    return peer != nullptr && peer->client != nullptr && peer->client->IsReceivingObject();
  };
  return is_coming(this->newer_peer) ||
         std::any_of(this->peers.begin(), this->peers.end(), is_coming);
}

auto PeerConfiguration::Ask() -> void {
  this->left_to_ask = this->peers.size();
  this->AskNext();
}

auto PeerConfiguration::AskNext() -> void {
  if (this->kept || this->IsConfigurationComing()) return;
  while (this->left_to_ask > 0) {
    --this->left_to_ask;
    auto& peer = *this->peers[this->next_peer++ % this->peers.size()];
    if (!peer.asked) return this->AskOne(peer, [this] { this->AskNext(); });
  }
}

// The callback may refer to the peer: the peer owns the client, and the client owns the callback.
auto PeerConfiguration::AskOne(Peer& peer, std::function<void()> on_failure) -> void {
  if (peer.client == nullptr) {
    peer.client = std::make_unique<platform::Client>(platform::ClientBuilder{}
                                                         .WithEndpoint(peer.endpoint)
                                                         .WithCallTimeout(kAnswerWithin)
                                                         .WithDialect(*this->adapter.dialect)
                                                         .Build(this->io));
  }
  peer.asked = true;
  const auto on_answer = [this, &peer, on_failure = std::move(on_failure)](
                             const platform::Outcome<platform::Object>& outcome) {
    peer.asked = false;
    if (const auto* error = std::get_if<platform::PlatformError>(&outcome)) {
      Log(LogLevel::kDebug, "peer_without_configuration",
          {{"code", static_cast<int>(error->code)}, {"status", error->http_status}});
      return on_failure();
    }
    this->on_object(std::get<platform::Object>(outcome));
  };
  peer.client->Get(this->adapter.configuration_key, on_answer);
}

}  // namespace anvildrum::packetd
