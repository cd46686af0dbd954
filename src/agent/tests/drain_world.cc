#include "agent/tests/drain_world.h"

#include <algorithm>

#include "requests/coap_message.h"
#include "wire/convert.h"

namespace anvildrum::agent {
namespace {

constexpr auto kTick = base::milliseconds(20);
constexpr auto kHop = base::milliseconds(1);
constexpr auto kContent = std::uint8_t{0x45};
constexpr auto kUnavailable = std::uint8_t{0xa3};
constexpr auto kHeaderAndToken = std::size_t{12};
constexpr auto kPost = std::uint8_t{2};
const auto kBalancer = base::EndpointFromV4(0x7f000002, 11);

auto RecordOf(std::size_t number) -> membership::TargetRecord {
  auto record = membership::TargetRecord{};
  record.name = "desk-" + std::to_string(number);
  record.id = base::TargetIdOf(record.name);
  record.service_name = "desk";
  record.service = kDeskService;
  record.instance = base::InstanceIdOf("agent-" + record.name);
  record.incarnation = 1;
  record.tunnel = base::EndpointFromV4(0x7f000001, static_cast<std::uint16_t>(100 + number));
  record.failure_domain = "boston-1";
  record.slots = 4;
  record.connections = 100000;
  record.revision = number + 1;
  return record;
}

auto BalancerRecord() -> membership::BalancerRecord {
  auto record = membership::BalancerRecord{};
  record.name = "b1";
  record.instance = base::InstanceIdOf("b1");
  record.incarnation = 1;
  record.tunnel = kBalancer;
  record.failure_domain = "boston-1";
  return record;
}

auto Push(DrainWorld& world, const base::Endpoint& from, const SendTunnel& send) -> void {
  world.queue.push({world.now + kHop, ++world.order, from, send.to, send.header, send.payload});
}

auto StepDesk(DrainWorld& world, std::size_t desk, const Event& event) -> void;

// A 2.05 response in the ACK of the request, with its 8-byte token.
auto AnswerTo(const requests::Message& request) -> wire::Bytes {
  auto bytes = wire::Bytes(kHeaderAndToken);
  bytes[0] = 0x68;
  bytes[1] = kContent;
  bytes[2] = static_cast<std::uint8_t>(request.message_id >> 8);
  bytes[3] = static_cast<std::uint8_t>(request.message_id);
  std::ranges::copy(request.token.bytes, bytes.begin() + 4);
  return bytes;
}

// The same response with an Observe option (RFC 7641, 3.1).
auto Observed(TargetStream& stream, const requests::Message& request) -> wire::Bytes {
  auto bytes = AnswerTo(request);
  ++stream.sequence;
  bytes.push_back(0x62);
  bytes.push_back(static_cast<std::uint8_t>(stream.sequence >> 8));
  bytes.push_back(static_cast<std::uint8_t>(stream.sequence));
  bytes.push_back(0xff);
  bytes.push_back('x');
  return bytes;
}

auto RunTarget(DrainWorld& world, std::size_t desk, const SendTarget& send) -> void {
  auto request = requests::ParseMessage(send.payload);
  if (request && request->code == requests::kCodeEmpty &&
      request->type == requests::MessageType::kConfirmable) {
    auto pong = requests::BuildReset(request->message_id);
    return StepDesk(world, desk, TargetDatagram{send.flow, pong});
  }
  if (!request || !requests::IsRequest(*request)) return;
  auto& at = world.desks[desk];
  if (at.refuses) {
    auto refusal = AnswerTo(*request);
    refusal[1] = kUnavailable;
    return StepDesk(world, desk, TargetDatagram{send.flow, refusal});
  }
  if (request->code == kPost) ++at.posts;
  auto answer = AnswerTo(*request);
  if (request->observe == 0U) {
    auto stream = TargetStream{send.flow, request->token.bytes, 1};
    answer = Observed(stream, *request);
    at.streams.push_back(stream);
  }
  StepDesk(world, desk, TargetDatagram{send.flow, answer});
}

auto ApplyEffect(DrainWorld& world, std::size_t desk, const Effect& effect) -> void {
  auto& at = world.desks[desk];
  if (const auto* send = std::get_if<SendTunnel>(&effect)) return Push(world, at.tunnel, *send);
  if (const auto* send = std::get_if<SendTarget>(&effect)) return RunTarget(world, desk, *send);
  if (const auto* close = std::get_if<CloseTarget>(&effect)) {
    std::erase_if(at.streams, [&](const auto& stream) { return stream.flow == close->flow; });
    return;
  }
  if (!std::holds_alternative<Drained>(effect)) return;
  at.drained = true;
  at.drained_at = world.now;
}

auto StepDesk(DrainWorld& world, std::size_t desk, const Event& event) -> void {
  auto effects = Step(world.desks[desk].agent, event, world.now);
  for (const auto& effect : effects) ApplyEffect(world, desk, effect);
}

auto DeskAt(const DrainWorld& world, const base::Endpoint& tunnel) -> std::size_t {
  auto found = std::ranges::find(world.desks, tunnel, &Desk::tunnel);
  return static_cast<std::size_t>(found - world.desks.begin());
}

auto AtBalancer(DrainWorld& world, const InQueue& item) -> void {
  if (item.header.has_reply()) {
    auto flow = wire::ReadFlow(item.header.reply().flow());
    world.received[*flow].push_back({world.now, DeskAt(world, item.from), item.payload});
  }
  if (!item.header.has_probe()) return;
  auto answer = SendTunnel{item.from, {}, {}};
  answer.header.set_sender(base::InstanceIdOf("b1").value);
  answer.header.set_incarnation(1);
  answer.header.mutable_probe_answer()->set_sequence(item.header.probe().sequence());
  Push(world, kBalancer, answer);
}

auto Arrive(DrainWorld& world, const InQueue& item) -> void {
  if (item.to == kBalancer) return AtBalancer(world, item);
  auto desk = DeskAt(world, item.to);
  if (world.cuts.contains({item.from, item.to})) return;
  if (desk == world.desks.size() || world.desks[desk].drained) return;
  StepDesk(world, desk, TunnelMessage{item.from, &item.header, item.payload});
}

auto Notify(DrainWorld& world) -> void {
  if (world.now < world.next_notification) return;
  world.next_notification = world.now + world.notification_period;
  for (auto desk = std::size_t{0}; desk < world.desks.size(); ++desk) {
    if (world.desks[desk].drained) continue;
    for (auto& stream : world.desks[desk].streams) {
      auto request = requests::Message{};
      request.token = {stream.token, 8};
      request.message_id = static_cast<std::uint16_t>(0x8000 + stream.sequence);
      auto bytes = Observed(stream, request);
      bytes[0] = 0x58;  // NON
      StepDesk(world, desk, TargetDatagram{stream.flow, bytes});
    }
  }
}

}  // namespace

auto MakeDrainWorld(std::size_t desks, std::size_t hand_overs) -> DrainWorld {
  auto world = DrainWorld{};
  auto policy = AgentPolicy{};
  policy.hand_overs_per_period = hand_overs;
  policy.requests.queue_size = 100000;
  for (auto i = std::size_t{0}; i < desks; ++i) {
    auto secret = requests::EchoSecret{};
    secret[0] = static_cast<std::uint8_t>(i + 1);
    auto agent = AgentBuilder{}
                     .WithPolicy(policy)
                     .WithRecord(RecordOf(i))
                     .WithEchoSecret(secret)
                     .WithSeed(i + 1)
                     .Build();
    world.desks.push_back({std::move(agent), RecordOf(i).tunnel, {}, 0, false, false, {}});
  }
  for (auto desk = std::size_t{0}; desk < desks; ++desk) {
    for (auto i = std::size_t{0}; i < desks; ++i) {
      StepDesk(world, desk, TargetRecordChanged{RecordOf(i)});
    }
    StepDesk(world, desk, BalancerRecordChanged{BalancerRecord()});
  }
  return world;
}

auto RunFor(DrainWorld& world, base::Duration span) -> void {
  for (auto end = world.now + span; world.now < end;) {
    auto next = world.now + kTick;
    while (!world.queue.empty() && world.queue.top().due <= next) {
      auto item = world.queue.top();
      world.queue.pop();
      world.now = std::max(world.now, item.due);
      Arrive(world, item);
    }
    world.now = next;
    Notify(world);
    for (auto desk = std::size_t{0}; desk < world.desks.size(); ++desk) {
      if (!world.desks[desk].drained) StepDesk(world, desk, Timer{});
    }
  }
}

auto FlowOfClient(std::uint32_t client) -> base::FlowKey {
  return {base::EndpointFromV4(0x0a000000 + client, 7000), kDeskService};
}

auto FromClient(DrainWorld& world, const base::FlowKey& flow, const wire::Bytes& bytes) -> void {
  auto takes = [](const Desk& desk) { return desk.agent.phase == Phase::kServing; };
  auto desk = std::ranges::find_if(world.desks, takes);
  auto send = SendTunnel{desk->tunnel, {}, bytes};
  send.header.set_sender(base::InstanceIdOf("b1").value);
  send.header.set_incarnation(1);
  auto* packet = send.header.mutable_packet();
  wire::WriteFlow(flow, *packet->mutable_flow());
  wire::WriteEndpoint(kBalancer, *packet->mutable_balancer());
  packet->set_may_open(true);
  Push(world, kBalancer, send);
}

auto BeginDrain(DrainWorld& world, std::size_t desk) -> void {
  StepDesk(world, desk, DrainRequested{});
  auto record = RecordOf(desk);
  record.draining = true;
  record.revision += world.desks.size();
  for (auto i = std::size_t{0}; i < world.desks.size(); ++i) {
    StepDesk(world, i, TargetRecordChanged{record});
  }
}

auto Kill(DrainWorld& world, std::size_t desk) -> void {
  world.desks[desk].drained = true;
  world.desks[desk].streams.clear();
}

auto RemoveRecord(DrainWorld& world, std::size_t desk) -> void {
  auto record = RecordOf(desk);
  for (auto i = std::size_t{0}; i < world.desks.size(); ++i) {
    if (i == desk) continue;
    StepDesk(world, i, TargetRecordRemoved{record.id, record.incarnation, record.revision + 100});
  }
}

auto Cut(DrainWorld& world, std::size_t one, std::size_t other) -> void {
  auto left = world.desks[one].tunnel;
  auto right = world.desks[other].tunnel;
  world.cuts.insert({left, right});
  world.cuts.insert({right, left});
}

auto OwnerOf(const DrainWorld& world, const base::FlowKey& flow) -> std::size_t {
  auto owns = [&](const Desk& desk) {
    return !desk.drained && desk.agent.directory.owned.contains(flow);
  };
  auto found = std::ranges::find_if(world.desks, owns);
  return static_cast<std::size_t>(found - world.desks.begin());
}

auto ObserveGet() -> wire::Bytes { return {0x41, 1, 0, 1, 5, 0x60, 0x54, 'f', 'e', 'e', 'd'}; }

auto PostHold(std::uint16_t message_id, std::uint8_t token) -> wire::Bytes {
  return {0x41,
          kPost,
          static_cast<std::uint8_t>(message_id >> 8),
          static_cast<std::uint8_t>(message_id),
          token,
          0xb4,
          'h',
          'o',
          'l',
          'd'};
}

}  // namespace anvildrum::agent
