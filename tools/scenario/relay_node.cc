#include "scenario/relay_node.h"

#include <algorithm>
#include <memory>

#include "config/configuration.h"
#include "relay/store.h"
#include "scenario/nodes.h"
#include "scenario/world.h"

namespace anvildrum::scenario {
namespace {

using platform::Listing;

auto NumberOf(const platform::Object& object) -> std::uint64_t {
  if (object.deleted || object.key != relay::kConfigKey) return 0;
  auto configuration = config::ParseConfiguration(object.value);
  return configuration ? configuration->number : 0;
}

auto ToObjects(const Listing& listing, bool complete) -> relay::PlatformObjects {
  auto objects = relay::PlatformObjects{{}, listing.revision, complete};
  for (const auto& item : listing.items) {
    objects.objects.push_back({item.key, item.revision, item.deleted, item.value, NumberOf(item)});
  }
  return objects;
}

auto ProcessOf(const RelayNode& node) -> Process& { return node.world->processes.at(node.process); }

// The process that listens at a control endpoint, and its node; null when nobody does.
auto Listener(World& world, const base::Endpoint& control) -> BalancerNode* {
  for (const auto& [name, balancer] : world.balancers) {
    if (balancer->record.control == control && world.processes.at(name).up) return balancer.get();
  }
  return nullptr;
}

auto RelayOf(World& world, const std::string& process) -> RelayNode* {
  auto balancer = world.balancers.find(process);
  if (balancer != world.balancers.end()) return &balancer->second->relay;
  for (const auto& [name, agent] : world.agents) {
    if (agent->process == process) return &agent->relay;
  }
  return nullptr;
}

// Carries a message over a connection: in order, whole or not at all.
auto Carry(RelayNode& node, const std::string& to, const base::Endpoint& seen_as,
           const relay::SharedMessage& message) -> void {
  auto& world = *node.world;
  auto& from = ProcessOf(node);
  auto& receiver = world.processes.at(to);
  if (IsCut(world, from, receiver) || !receiver.up) return;
  auto event = relay::PeerMessage{{message->sender()}, seen_as, *message};
  AfterIn(world.clock, receiver, DelayOf(world, from, receiver),
          [&world, to, event, sender = node.process] {
            auto* target = RelayOf(world, to);
            if (target == nullptr) return;
            if (event.endpoint == base::Endpoint{}) {
              target->children[event.sender.value] = sender;
            } else if (!target->links.contains(event.endpoint)) {
              return;
            }
            Feed(*target, event);
          });
}

auto Send(RelayNode& node, const relay::SendPeer& send) -> void {
  if (send.endpoint != base::Endpoint{}) {
    node.links.insert(send.endpoint);
    auto* listener = Listener(*node.world, send.endpoint);
    if (listener != nullptr) Carry(node, listener->name, {}, send.message);
    return;
  }
  auto child = node.children.find(send.to.value);
  if (child == node.children.end()) return;
  auto self = node.world->balancers.find(node.process);
  if (self == node.world->balancers.end()) return;
  Carry(node, child->second, self->second->record.control, send.message);
}

auto StartWatch(RelayNode& node, const relay::StartWatch& watch) -> void {
  auto call = ++node.watch_call;
  auto done = [&node, call](const platform::Outcome<Listing>& outcome) {
    if (call != node.watch_call) return;
    if (const auto* listing = std::get_if<Listing>(&outcome)) {
      return Feed(node, ToObjects(*listing, false));
    }
    auto code = std::get<platform::PlatformError>(outcome).code;
    auto gone = code == platform::PlatformErrorCode::kTooOld;
    Feed(node, relay::PlatformFailed{relay::PlatformCall::kWatch, gone});
  };
  AfterIn(node.world->clock, ProcessOf(node), watch.delay, [&node, call, watch, done] {
    if (call != node.watch_call) return;
    Watch(*node.world, node.process, watch.after, watch.timeout, done);
  });
}

auto StartPoll(RelayNode& node, const relay::PollPlatform& poll) -> void {
  auto call = ++node.poll_call;
  auto done = [&node](const platform::Outcome<Listing>& outcome) {
    if (const auto* listing = std::get_if<Listing>(&outcome)) {
      return Feed(node, ToObjects(*listing, true));
    }
    Feed(node, relay::PlatformFailed{relay::PlatformCall::kPoll, false});
  };
  AfterIn(node.world->clock, ProcessOf(node), poll.delay, [&node, call, done] {
    if (call == node.poll_call) List(*node.world, node.process, "", done);
  });
}

auto StartRead(RelayNode& node, const relay::ReadConfiguration& read) -> void {
  auto done = [&node](const platform::Outcome<Listing>& outcome) {
    const auto* listing = std::get_if<Listing>(&outcome);
    if (listing == nullptr) return;
    for (const auto& object : ToObjects(*listing, false).objects) {
      if (object.key == relay::kConfigKey) Feed(node, relay::ConfigurationRead{object});
    }
  };
  AfterIn(node.world->clock, ProcessOf(node), read.delay,
          [&node, done] { List(*node.world, node.process, std::string(relay::kConfigKey), done); });
}

auto StartDelete(RelayNode& node, const relay::DeleteRecord& record) -> void {
  auto done = [&node, record](const platform::Outcome<std::monostate>& outcome) {
    const auto* error = std::get_if<platform::PlatformError>(&outcome);
    auto conflict = error != nullptr && (error->code == platform::PlatformErrorCode::kConflict ||
                                         error->code == platform::PlatformErrorCode::kNotFound);
    Feed(node, relay::DeleteFinished{record.key, record.if_revision, error == nullptr, conflict});
  };
  Trace(*node.world, node.process + " deletes " + record.key);
  Delete(*node.world, node.process, record.key, record.if_revision, done);
}

auto Arm(RelayNode& node, base::TimePoint at) -> void {
  auto call = ++node.timer_call;
  auto delay = std::max(at - node.world->clock.now, base::Duration{});
  AfterIn(node.world->clock, ProcessOf(node), delay, [&node, call] {
    if (call == node.timer_call) Feed(node, relay::TimerFired{});
  });
}

auto Apply(RelayNode& node, const relay::Effect& effect) -> void {
  if (const auto* send = std::get_if<relay::SendPeer>(&effect)) return Send(node, *send);
  if (const auto* open = std::get_if<relay::SubscribeTo>(&effect)) {
    node.links.insert(open->endpoint);
  }
  if (const auto* drop = std::get_if<relay::DropParent>(&effect)) node.links.erase(drop->endpoint);
  if (std::holds_alternative<relay::StopWatch>(effect)) ++node.watch_call;
  if (const auto* watch = std::get_if<relay::StartWatch>(&effect)) return StartWatch(node, *watch);
  if (const auto* poll = std::get_if<relay::PollPlatform>(&effect)) return StartPoll(node, *poll);
  if (const auto* read = std::get_if<relay::ReadConfiguration>(&effect)) {
    return StartRead(node, *read);
  }
  if (const auto* gone = std::get_if<relay::DeleteRecord>(&effect)) return StartDelete(node, *gone);
  if (const auto* changed = std::get_if<relay::RecordsChanged>(&effect)) {
    return node.on_records(changed->records);
  }
  if (std::holds_alternative<relay::Ready>(effect) && node.on_ready) return node.on_ready();
  if (const auto* timer = std::get_if<relay::SetTimer>(&effect)) return Arm(node, timer->at);
}

}  // namespace

auto Feed(RelayNode& node, const relay::Event& event) -> void {
  auto effects = relay::Step(node.state, event, node.world->clock.now);
  for (const auto& effect : effects) Apply(node, effect);
}

}  // namespace anvildrum::scenario
