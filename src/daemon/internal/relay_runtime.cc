#include "daemon/internal/relay_runtime.h"

#include "config/configuration.h"
#include "telemetry/log.h"

namespace anvildrum::daemon {
namespace {

using relay::PlatformObject;
using telemetry::Log;
using telemetry::LogLevel;

constexpr auto kEverything = std::string_view{};
constexpr auto kMostChildren = std::size_t{100'000};

auto NumberOf(const platform::Object& object) -> std::uint64_t {
  if (object.deleted || object.key != relay::kConfigKey) return 0;
  auto configuration = config::ParseConfiguration(object.value);
  return configuration ? configuration->number : 0;
}

auto ToObject(const platform::Object& object) -> relay::PlatformObject {
  return {object.key, object.revision, object.deleted, object.value, NumberOf(object)};
}

auto ToObjects(const platform::Listing& listing, bool complete) -> relay::PlatformObjects {
  auto objects = relay::PlatformObjects{{}, listing.revision, complete};
  for (const auto& item : listing.items) objects.objects.push_back(ToObject(item));
  return objects;
}

// All instances of a deployment share its key pairs: the first is this instance's own, and the
// other end may use any of them, which is what lets a pair be replaced without a gap.
auto SecurityOf(const settings::Settings& settings) -> net::RelaySecurity {
  auto security = net::RelaySecurity{};
  security.insecure = settings.insecure_relay;
  if (settings.relay_keys.empty()) return security;
  const auto& own = settings.relay_keys.front();
  security.own = {own.public_key, own.secret_key};
  for (const auto& key : settings.relay_keys) security.accepted.push_back(key.public_key);
  return security;
}

auto AddLink(RelayRefusals& refusals, const net::RelayLinkCounts& counts) -> void {
  refusals.link_handshakes_failed += counts.handshakes_failed;
  refusals.link_malformed += counts.malformed;
}

static_assert(wire::pb::RelayMessage::kSuspicion < kRelayKinds);

auto Count(RelayKindCounts& counts, const wire::pb::RelayMessage& message, std::size_t bytes)
    -> void {
  auto& count = counts.at(static_cast<std::size_t>(message.body_case()));
  ++count.messages;
  count.bytes += bytes;
}

auto AsBytes(const std::string& text) -> wire::BytesView {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

}  // namespace

RelayRuntime::RelayRuntime(Runtime& runtime, relay::RelaySettings settings, Callbacks callbacks)
    : runtime(runtime),
      state(relay::MakeState(std::move(settings))),
      callbacks(std::move(callbacks)),
      timer(runtime.io),
      watch_timer(runtime.io),
      poll_timer(runtime.io),
      read_timer(runtime.io) {}

RelayRuntime::~RelayRuntime() = default;

auto RelayRuntime::Listen(const base::Endpoint& local) -> base::Result<base::Endpoint> {
  auto options = net::RelayServerOptions{};
  options.local = local;
  options.security = SecurityOf(this->runtime.settings);
  options.max_peers = kMostChildren;
  auto receive = [this](const net::RelayPeer& identity, wire::BytesView bytes) {
    this->FromChild(identity, bytes);
  };
  BOOST_LEAF_ASSIGN(this->server,
                    net::RelayServer::Open(this->context, this->runtime.io, options, receive));
  return this->server->LocalEndpoint();
}

auto RelayRuntime::Start() -> void { this->Run(relay::Started{}); }
auto RelayRuntime::Stop() -> void { this->Run(relay::StopRequested{}); }
auto RelayRuntime::State() const -> const relay::State& { return this->state; }

auto RelayRuntime::Refusals() const -> RelayRefusals {
  auto refusals = this->refusals;
  if (this->server != nullptr) refusals.server = this->server->Counts();
  for (const auto& [endpoint, link] : this->links) AddLink(refusals, link.socket->Counts());
  return refusals;
}

auto RelayRuntime::Traffic() const -> const RelayTraffic& { return this->traffic; }

auto RelayRuntime::PeersChanged(std::vector<relay::RelayPeer> peers) -> void {
  this->Run(relay::PeersChanged{std::move(peers)});
}

auto RelayRuntime::Suspect(const relay::RecordSuspected& suspected) -> void {
  this->Run(suspected);
}

auto RelayRuntime::Alive(const std::string& key) -> void { this->Run(relay::RecordAlive{key}); }

auto RelayRuntime::Run(const relay::Event& event) -> void {
  auto effects = relay::Step(this->state, event, Now());
  for (const auto& effect : effects) this->Carry(effect);
}

auto RelayRuntime::Carry(const relay::Effect& effect) -> void {
  if (const auto* send = std::get_if<relay::SendPeer>(&effect)) return this->Send(*send);
  if (const auto* open = std::get_if<relay::SubscribeTo>(&effect)) {
    this->OpenLink(open->endpoint);
    return;
  }
  if (const auto* drop = std::get_if<relay::DropParent>(&effect)) {
    return this->CloseLink(drop->endpoint);
  }
  if (const auto* watch = std::get_if<relay::StartWatch>(&effect)) return this->Watch(*watch);
  if (std::holds_alternative<relay::StopWatch>(effect)) {
    ++this->watch_call;
    return;
  }
  if (const auto* poll = std::get_if<relay::PollPlatform>(&effect)) return this->Poll(*poll);
  if (const auto* read = std::get_if<relay::ReadConfiguration>(&effect)) return this->Read(*read);
  if (const auto* record = std::get_if<relay::DeleteRecord>(&effect)) return this->Delete(*record);
  if (const auto* changed = std::get_if<relay::RecordsChanged>(&effect)) {
    return this->callbacks.on_records(changed->records);
  }
  if (std::holds_alternative<relay::Ready>(effect)) return this->callbacks.on_ready();
  if (const auto* set = std::get_if<relay::SetTimer>(&effect)) return this->Arm(set->at);
}

auto RelayRuntime::Send(const relay::SendPeer& send) -> void {
  auto text = send.message->SerializeAsString();
  Count(this->traffic.sent, *send.message, text.size());
  if (send.endpoint != base::Endpoint{}) {
    auto* link = this->OpenLink(send.endpoint);
    if (link != nullptr && !link->socket->Send(AsBytes(text))) link->waiting = std::move(text);
    return;
  }
  auto child = this->children.find(send.to);
  if (child == this->children.end() || this->server == nullptr) return;
  if (!this->server->Send(child->second, AsBytes(text))) this->children.erase(child);
}

auto RelayRuntime::OpenLink(const base::Endpoint& endpoint) -> Link* {
  auto found = this->links.find(endpoint);
  if (found != this->links.end()) return &found->second;
  auto options = net::RelayLinkOptions{};
  options.parent = endpoint;
  options.security = SecurityOf(this->runtime.settings);
  auto handlers = net::RelayLink::Handlers{};
  handlers.on_message = [this, endpoint](wire::BytesView bytes) {
    this->FromParent(endpoint, bytes);
  };
  handlers.on_up = [this, endpoint] { this->LinkUp(endpoint); };
  auto socket = net::RelayLink::Open(this->context, this->runtime.io, options, handlers);
  if (!socket) {
    Log(LogLevel::kError, "relay_link_failed", {{"peer", base::FormatEndpoint(endpoint)}});
    return nullptr;
  }
  return &this->links.emplace(endpoint, Link{std::move(*socket), {}}).first->second;
}

auto RelayRuntime::CloseLink(const base::Endpoint& endpoint) -> void {
  auto found = this->links.find(endpoint);
  if (found == this->links.end()) return;
  AddLink(this->refusals, found->second.socket->Counts());
  this->links.erase(found);
}

auto RelayRuntime::LinkUp(const base::Endpoint& endpoint) -> void {
  auto found = this->links.find(endpoint);
  if (found == this->links.end() || found->second.waiting.empty()) return;
  auto text = std::exchange(found->second.waiting, {});
  found->second.socket->Send(AsBytes(text));
}

auto RelayRuntime::FromChild(const net::RelayPeer& identity, wire::BytesView bytes) -> void {
  auto message = relay::PeerMessage{};
  if (!message.message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    ++this->refusals.malformed;
    return;
  }
  Count(this->traffic.received, message.message, bytes.size());
  message.sender = {message.message.sender()};
  this->children[message.sender] = identity;
  this->Run(message);
}

auto RelayRuntime::FromParent(const base::Endpoint& endpoint, wire::BytesView bytes) -> void {
  auto message = relay::PeerMessage{};
  if (!message.message.ParseFromArray(bytes.data(), static_cast<int>(bytes.size()))) {
    ++this->refusals.malformed;
    return;
  }
  Count(this->traffic.received, message.message, bytes.size());
  message.sender = {message.message.sender()};
  message.endpoint = endpoint;
  this->Run(message);
}

auto RelayRuntime::Watch(const relay::StartWatch& watch) -> void {
  auto call = ++this->watch_call;
  auto finish = [this, call](platform::Outcome<platform::Listing> outcome) {
    if (call != this->watch_call) return;
    if (const auto* listing = std::get_if<platform::Listing>(&outcome)) {
      return this->Run(ToObjects(*listing, false));
    }
    auto gone =
        std::get<platform::PlatformError>(outcome).code == platform::PlatformErrorCode::kTooOld;
    this->Run(relay::PlatformFailed{relay::PlatformCall::kWatch, gone});
  };
  auto begun = [this, call] {
    if (call == this->watch_call) this->Run(relay::AnswerBegun{relay::PlatformCall::kWatch});
  };
  this->watch_timer.expires_after(watch.delay);
  this->watch_timer.async_wait([this, call, watch, finish, begun](const auto& error) {
    if (error || call != this->watch_call) return;
    this->runtime.platform->Watch(kEverything, watch.after, watch.timeout, finish, begun);
  });
}

auto RelayRuntime::Poll(const relay::PollPlatform& poll) -> void {
  auto finish = [this](platform::Outcome<platform::Listing> outcome) {
    if (const auto* listing = std::get_if<platform::Listing>(&outcome)) {
      return this->Run(ToObjects(*listing, true));
    }
    this->Run(relay::PlatformFailed{relay::PlatformCall::kPoll, false});
  };
  auto begun = [this] { this->Run(relay::AnswerBegun{relay::PlatformCall::kPoll}); };
  this->poll_timer.expires_after(poll.delay);
  this->poll_timer.async_wait([this, finish, begun](const auto& error) {
    if (error) return;
    this->runtime.platform->List(kEverything, finish, begun);
  });
}

auto RelayRuntime::Read(const relay::ReadConfiguration& read) -> void {
  auto finish = [this](const platform::Outcome<platform::Object>& outcome) {
    if (const auto* error = std::get_if<platform::PlatformError>(&outcome)) {
      Log(LogLevel::kWarning, "configuration_not_read",
          {{"code", static_cast<int>(error->code)}, {"status", error->http_status}});
      return;
    }
    this->Run(relay::ConfigurationRead{ToObject(std::get<platform::Object>(outcome))});
  };
  this->read_timer.expires_after(read.delay);
  this->read_timer.async_wait([this, finish](const auto& error) {
    if (!error) this->runtime.platform->Get(relay::kConfigKey, finish);
  });
}

auto RelayRuntime::Delete(const relay::DeleteRecord& record) -> void {
  Log(LogLevel::kWarning, "clearing_dead_announcement",
      {{"key", record.key}, {"revision", record.if_revision}});
  auto finish = [this, record](platform::Outcome<std::monostate> outcome) {
    const auto* error = std::get_if<platform::PlatformError>(&outcome);
    auto conflict = error != nullptr && (error->code == platform::PlatformErrorCode::kConflict ||
                                         error->code == platform::PlatformErrorCode::kNotFound);
    this->Run(relay::DeleteFinished{record.key, record.if_revision, error == nullptr, conflict});
  };
  this->runtime.platform->Delete(record.key, {record.if_revision}, finish);
}

auto RelayRuntime::Arm(base::TimePoint at) -> void {
  this->timer.expires_after(at - Now());
  this->timer.async_wait([this](const auto& error) {
    if (!error) this->Run(relay::TimerFired{});
  });
}

}  // namespace anvildrum::daemon
