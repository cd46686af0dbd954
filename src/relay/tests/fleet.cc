#include "relay/tests/fleet.h"

#include <algorithm>
#include <memory>

#include "relay/tests/fake_platform.h"

namespace anvildrum::relay::fleet {
namespace {

constexpr std::string_view kBalancersPrefix = "balancers/";
constexpr std::uint16_t kPort = 7000;
constexpr std::uint32_t kFirstAddress = 0x0A000001;

auto Schedule(Fleet& fleet, base::TimePoint at, std::function<void()> run) -> void {
  fleet.queue.push({.at = at, .sequence = ++fleet.sequence, .run = std::move(run)});
}

auto IndexOf(const base::Endpoint& endpoint) -> std::size_t {
  return (static_cast<std::size_t>(endpoint.address[13]) << 16U) +
         (static_cast<std::size_t>(endpoint.address[14]) << 8U) + endpoint.address[15] - 1;
}

auto IndexOf(const Fleet& fleet, base::InstanceId instance) -> std::size_t {
  const auto found = fleet.indices.find(instance);
  return found == fleet.indices.end() ? fleet.nodes.size() : found->second;
}

auto IsCut(const Fleet& fleet, std::size_t left, std::size_t right) -> bool {
  return fleet.cuts.contains({std::min(left, right), std::max(left, right)});
}

auto Chance(Fleet& fleet, double probability) -> bool {
  return probability > 0 && std::uniform_real_distribution<>(0, 1)(fleet.random) < probability;
}

auto Jitter(Fleet& fleet) -> base::Duration {
  if (fleet.jitter == base::Duration::zero()) return {};
  return base::Duration(
      std::uniform_int_distribution<base::Duration::rep>(0, fleet.jitter.count())(fleet.random));
}

auto Send(Fleet& fleet, std::size_t from, const SendPeer& send) -> void {
  const bool to_parent = send.endpoint.port != 0;
  const std::size_t to = to_parent ? IndexOf(send.endpoint) : IndexOf(fleet, send.to);
  const std::size_t bytes = send.message->ByteSizeLong();
  fleet.bytes += bytes;
  ++fleet.messages;
  ++fleet.nodes[from].messages_out;
  fleet.nodes[from].bytes_out += bytes;
  if (to >= fleet.nodes.size() || IsCut(fleet, from, to) || Chance(fleet, fleet.loss)) return;
  const RelayPeer& self = fleet.nodes[from].state.settings.self;
  PeerMessage event{.sender = self.instance,
                    .endpoint = to_parent ? base::Endpoint{} : EndpointOf(from),
                    .message = *send.message};
  ScheduleFor(fleet, to, fleet.delay + Jitter(fleet),
              [&fleet, to, bytes, event = std::move(event)] {
                fleet.nodes[to].bytes_in += bytes;
                Deliver(fleet, to, event);
              });
}

/// What a daemon does with the records of balancers.
auto UpdatePeers(Fleet& fleet, std::size_t index, const RecordsChanged& changed) -> void {
  Node& node = fleet.nodes[index];
  bool is_changed = false;
  for (const PlatformObject& object : changed.records) {
    if (!object.key.starts_with(kBalancersPrefix)) continue;
    is_changed = true;
    node.peers.erase(object.key);
    if (object.deleted) continue;
    const std::size_t other = std::stoul(object.key.substr(kBalancersPrefix.size()));
    RelayPeer peer = fleet.nodes[other].state.settings.self;
    peer.incarnation = std::stoull(object.value);
    node.peers.emplace(object.key, std::move(peer));
  }
  if (!is_changed) return;
  PeersChanged event;
  for (const auto& [key, peer] : node.peers) event.peers.push_back(peer);
  ScheduleFor(fleet, index, base::Duration::zero(),
              [&fleet, index, event = std::move(event)] { Deliver(fleet, index, event); });
}

auto NoteInForce(Fleet& fleet, Node& node, const RecordsChanged& changed) -> void {
  for (const PlatformObject& object : changed.records) {
    std::uint64_t& revision = node.revisions[object.key];
    node.went_back = node.went_back || object.revision < revision;
    revision = object.revision;
    if (object.key != kConfigKey) continue;
    node.went_back = node.went_back || object.number <= node.number;
    node.number = object.number;
    node.in_force_at = fleet.now;
  }
}

struct Carry {
  Fleet& fleet;
  std::size_t index;

  auto Self() const -> Node& { return this->fleet.nodes[this->index]; }
  auto operator()(const SendPeer& send) const -> void { Send(this->fleet, this->index, send); }
  auto operator()(const SubscribeTo& /*effect*/) const -> void {}
  auto operator()(const DropParent& /*effect*/) const -> void {}
  auto operator()(const StartWatch& watch) const -> void {
    const std::uint64_t token = ++this->Self().watch_token;
    ScheduleFor(this->fleet, this->index, watch.delay,
                [&fleet = this->fleet, index = this->index, watch, token] {
                  BeginWatch(fleet, index, watch, token);
                });
  }
  auto operator()(const StopWatch& /*effect*/) const -> void {
    ++this->Self().watch_token;
    this->fleet.platform.waiting.erase(this->index);
  }
  auto operator()(const PollPlatform& poll) const -> void {
    BeginPoll(this->fleet, this->index, poll);
  }
  auto operator()(const ReadConfiguration& read) const -> void {
    BeginRead(this->fleet, this->index, read);
  }
  auto operator()(const DeleteRecord& request) const -> void {
    if (this->Self().holds_deletes) return this->Self().held_deletes.push_back(request);
    BeginDelete(this->fleet, this->index, request);
  }
  auto operator()(const RecordsChanged& changed) const -> void {
    NoteInForce(this->fleet, this->Self(), changed);
    UpdatePeers(this->fleet, this->index, changed);
  }
  auto operator()(const Ready& /*effect*/) const -> void { this->Self().is_ready = true; }
  auto operator()(const SetTimer& timer) const -> void {
    const std::uint64_t token = ++this->Self().timer_token;
    ScheduleFor(this->fleet, this->index, timer.at - this->fleet.now,
                [&fleet = this->fleet, index = this->index, token] {
                  if (fleet.nodes[index].timer_token == token) Deliver(fleet, index, TimerFired{});
                });
  }
};

}  // namespace

auto ScheduleFor(Fleet& fleet, std::size_t index, base::Duration delay, std::function<void()> run)
    -> void {
  const std::uint64_t life = fleet.nodes[index].life;
  Schedule(fleet, fleet.now + delay, [&fleet, index, life, run = std::move(run)] {
    if (fleet.nodes[index].up && fleet.nodes[index].life == life) run();
  });
}

auto EndpointOf(std::size_t index) -> base::Endpoint {
  return base::EndpointFromV4(kFirstAddress + static_cast<std::uint32_t>(index), kPort);
}

auto Balancer(std::size_t index, const std::string& domain) -> RelaySettings {
  RelaySettings settings;
  settings.self.name = std::to_string(index);
  settings.self.instance = base::InstanceIdOf(settings.self.name);
  settings.self.control = EndpointOf(index);
  settings.self.failure_domain = domain;
  return settings;
}

auto Agent(std::size_t index, const std::string& domain, const std::string& service)
    -> RelaySettings {
  RelaySettings settings = Balancer(index, domain);
  settings.role = RelayRole::kAgent;
  settings.service = base::ServiceIdOf(service);
  return settings;
}

auto AddNode(Fleet& fleet, RelaySettings settings) -> std::size_t {
  fleet.indices[settings.self.instance] = fleet.nodes.size();
  fleet.nodes.push_back({.state = MakeState(std::move(settings))});
  return fleet.nodes.size() - 1;
}

auto MakeFleet(std::size_t domains, std::size_t balancers, std::size_t agents) -> Fleet {
  Fleet fleet;
  for (std::size_t i = 0; i < domains * balancers; ++i) {
    AddNode(fleet, Balancer(i, "fd" + std::to_string(i / balancers)));
  }
  for (std::size_t i = 0; i < domains * agents; ++i) {
    AddNode(fleet, Agent(fleet.nodes.size(), "fd" + std::to_string(i / agents), "desk"));
  }
  for (Node& node : fleet.nodes) {
    for (std::size_t i = 0; i < domains; ++i) {
      node.state.settings.seeds.push_back(EndpointOf(i * balancers));
    }
  }
  return fleet;
}

auto StartAll(Fleet& fleet) -> void {
  PutObject(fleet, "config", "{\"number\": 1}", 1);
  for (std::size_t i = 0; i < fleet.nodes.size(); ++i) {
    StartNode(fleet, i);
    if (fleet.nodes[i].state.settings.role == RelayRole::kBalancer) Announce(fleet, i);
  }
  RunFor(fleet, base::seconds(30));
}

auto StartNode(Fleet& fleet, std::size_t index) -> void {
  Node& node = fleet.nodes[index];
  RelaySettings settings = node.state.settings;
  ++settings.self.incarnation;
  node = {.state = MakeState(std::move(settings)),
          .up = true,
          .reaches_platform = node.reaches_platform,
          .life = node.life + 1,
          .timer_token = node.timer_token,
          .watch_token = node.watch_token + 1,
          .bytes_in = node.bytes_in,
          .bytes_out = node.bytes_out,
          .messages_out = node.messages_out};
  Deliver(fleet, index, Started{});
}

auto KillNode(Fleet& fleet, std::size_t index) -> void {
  fleet.nodes[index].up = false;
  ++fleet.nodes[index].life;
  fleet.platform.waiting.erase(index);
}

auto Announce(Fleet& fleet, std::size_t index) -> void {
  const RelayPeer& self = fleet.nodes[index].state.settings.self;
  PutObject(fleet, "balancers/" + self.name, std::to_string(self.incarnation));
}

auto Deliver(Fleet& fleet, std::size_t index, const Event& event) -> void {
  if (!fleet.nodes[index].up) return;
  if (fleet.nodes[index].is_paused) {
    fleet.nodes[index].held_events.push_back(event);
    return;
  }
  const Effects effects = Step(fleet.nodes[index].state, event, fleet.now);
  for (const Effect& effect : effects) std::visit(Carry{fleet, index}, effect);
}

auto Pause(Fleet& fleet, std::size_t index) -> void { fleet.nodes[index].is_paused = true; }

auto Resume(Fleet& fleet, std::size_t index) -> void {
  fleet.nodes[index].is_paused = false;
  for (const Event& event : std::exchange(fleet.nodes[index].held_events, {})) {
    Deliver(fleet, index, event);
  }
}

auto ReleaseDeletes(Fleet& fleet, std::size_t index) -> void {
  Node& node = fleet.nodes[index];
  node.holds_deletes = false;
  for (const DeleteRecord& request : std::exchange(node.held_deletes, {})) {
    BeginDelete(fleet, index, request);
  }
}

auto SetCut(Fleet& fleet, std::size_t left, std::size_t right, bool cut) -> void {
  const std::pair<std::size_t, std::size_t> pair{std::min(left, right), std::max(left, right)};
  if (cut) {
    fleet.cuts.insert(pair);
  } else {
    fleet.cuts.erase(pair);
  }
}

auto RunFor(Fleet& fleet, base::Duration duration) -> void {
  RunUntil(fleet, duration, [] { return false; });
}

auto RunUntil(Fleet& fleet, base::Duration limit, const std::function<bool()>& done)
    -> std::optional<base::Duration> {
  const base::TimePoint start = fleet.now;
  while (!done()) {
    if (fleet.queue.empty() || fleet.queue.top().at > start + limit) {
      fleet.now = start + limit;
      return std::nullopt;
    }
    const Item item = fleet.queue.top();
    fleet.queue.pop();
    fleet.now = item.at;
    item.run();
  }
  return fleet.now - start;
}

}  // namespace anvildrum::relay::fleet
