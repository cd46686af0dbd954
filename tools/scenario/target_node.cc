#include <algorithm>

#include "membership/codec.h"
#include "scenario/nodes.h"
#include "scenario/world.h"

namespace anvildrum::scenario {
namespace {

using requests::MessageType;

constexpr auto kLoopback = base::microseconds(50);
constexpr auto kConfirmEvery = 20U;  // every so many notifications is confirmable

auto ProcessOf(TargetNode& node) -> Process& { return node.world->processes.at(node.process); }
auto AgentOf(const TargetNode& node) -> Process& {
  return node.world->processes.at("agent-" + node.name);
}

auto SendBack(TargetNode& node, const base::FlowKey& flow, const Sockets& sockets,
              const Draft& draft) -> void {
  auto& agent = AgentOf(node);
  if (SocketsOf(*node.world, node.name) != sockets) return;
  auto& world = *node.world;
  AfterIn(world.clock, agent, kLoopback, [&world, name = node.name, flow, bytes = Write(draft)] {
    Feed(*world.agents.at(name), agent::TargetDatagram{flow, bytes});
  });
}

auto BodyOf(const TargetNode& node, const std::string& id) -> std::string {
  auto life = node.world->processes.at(node.process).life;
  return "target=" + node.name + "&life=" + std::to_string(life) + "&id=" + id;
}

auto Notify(TargetNode& node, TargetNode::Observer& observer) -> void {
  auto draft = Draft{};
  auto confirm = observer.sequence % kConfirmEvery == 0;
  draft.type = confirm ? MessageType::kConfirmable : MessageType::kNonConfirmable;
  draft.code = kContent;
  draft.message_id = node.message_id++;
  observer.last_message_id = draft.message_id;
  draft.token = observer.token;
  draft.observe = observer.sequence++;
  draft.payload = BodyOf(node, observer.id);
  SendBack(node, observer.flow, observer.sockets, draft);
}

auto NotifyAll(TargetNode& node) -> void {
  auto is_gone = [&](const auto& at) { return at.sockets != SocketsOf(*node.world, node.name); };
  std::erase_if(node.observers, is_gone);
  for (auto& observer : node.observers) Notify(node, observer);
  AfterIn(node.world->clock, ProcessOf(node), node.notify, [&node] { NotifyAll(node); });
}

auto Forget(TargetNode& node, const base::FlowKey& flow, const requests::Token& token) -> void {
  std::erase_if(node.observers,
                [&](const auto& at) { return at.flow == flow && at.token == token; });
}

// The service that the client's address belongs to by the configuration at the platform.
auto CheckCrossing(TargetNode& node, const base::FlowKey& flow, const std::string& query) -> void {
  if (flow.service == base::ServiceIdOf(node.service)) return;
  ++node.world->violations.crossings;
  node.world->violations.notes.push_back("crossing at " + node.name + ": " + query);
}

auto Answer(TargetNode& node, const TargetNode::Job& job) -> void {
  auto message = requests::ParseMessage(job.datagram);
  if (!message) return;
  auto id = FieldOf(QueryOf(job.datagram), "id");
  auto draft = Draft{MessageType::kAcknowledgement,
                     kContent,
                     message->message_id,
                     message->token,
                     {},
                     {},
                     {},
                     BodyOf(node, id)};
  if (message->type == MessageType::kNonConfirmable) draft.type = MessageType::kNonConfirmable;
  if (message->code != kGet) draft.code = kChanged;
  if (message->observe == 0U) {
    Forget(node, job.flow, message->token);
    node.observers.push_back({job.flow, job.sockets, message->token, id});
    draft.observe = node.observers.back().sequence++;
  }
  SendBack(node, job.flow, job.sockets, draft);
}

auto RunNext(TargetNode& node) -> void;

auto Finish(TargetNode& node, const TargetNode::Job& job) -> void {
  --node.running;
  Answer(node, job);
  RunNext(node);
}

// An execution counts from its start: what a target that dies in the middle did may show.
auto Count(TargetNode& node, const TargetNode::Job& job) -> void {
  auto order = node.world->orders.find(FieldOf(QueryOf(job.datagram), "id"));
  if (order == node.world->orders.end()) return;
  ++order->second.executions;
  order->second.ran_at = node.world->clock.now;
}

auto RunNext(TargetNode& node) -> void {
  if (node.running >= node.slots || node.queue.empty()) return;
  ++node.running;
  auto job = std::move(node.queue.front());
  node.queue.pop_front();
  Count(node, job);
  auto time = node.service_time / 2 + Draw(*node.world, node.service_time);
  AfterIn(node.world->clock, ProcessOf(node), time, [&node, job] { Finish(node, job); });
}

// RFC 7252, 4.3.
auto IsPing(const requests::Message& message) -> bool {
  return message.type == MessageType::kConfirmable && message.code == requests::kCodeEmpty;
}

auto Take(TargetNode& node, const TargetNode::Job& job) -> void {
  auto message = requests::ParseMessage(job.datagram);
  if (!message) return;
  if (message->type == MessageType::kReset) {
    std::erase_if(node.observers, [&](const auto& at) {
      return at.flow == job.flow && at.last_message_id == message->message_id;
    });
    return;
  }
  if (IsPing(*message)) {
    auto draft = Draft{};
    draft.type = MessageType::kReset;
    draft.code = requests::kCodeEmpty;
    draft.message_id = message->message_id;
    return SendBack(node, job.flow, job.sockets, draft);
  }
  if (!requests::IsRequest(*message)) return;
  CheckCrossing(node, job.flow, QueryOf(job.datagram));
  node.queue.push_back(job);
  RunNext(node);
}

}  // namespace

auto StartTarget(World& world, const std::string& name) -> void {
  auto& old = *world.targets.at(name);
  auto& process = world.processes.at(old.process);
  if (process.up) return;
  StartProcess(process);
  old.running = 0;
  old.queue.clear();
  old.observers.clear();
  NotifyAll(old);
}

auto ToTarget(World& world, const std::string& name, const base::FlowKey& flow,
              const Bytes& datagram) -> void {
  auto& node = *world.targets.at(name);
  auto& process = ProcessOf(node);
  auto& agent = AgentOf(node);
  if (!process.up) {
    return AfterIn(world.clock, agent, kLoopback, [&world, name, flow] {
      Feed(*world.agents.at(name), agent::TargetUnreachable{flow});
    });
  }
  auto job = TargetNode::Job{flow, SocketsOf(world, name), datagram};
  After(world.clock, kLoopback,
        [&node, &process, job] { Receive(process, [&node, job] { Take(node, job); }); });
}

}  // namespace anvildrum::scenario
