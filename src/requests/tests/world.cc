#include "requests/tests/world.h"

#include <algorithm>

namespace anvildrum::requests::world {
namespace {

auto RandomDuration(World& world, base::Duration low, base::Duration high) -> base::Duration {
  auto span = static_cast<std::uint64_t>((high - low).count()) + 1;
  return low + base::Duration(static_cast<base::Duration::rep>(world.random() % span));
}

auto NetworkDelay(World& world) -> base::Duration {
  if (Chance(world, world.faults.late)) {
    return RandomDuration(world, base::seconds(10), base::seconds(400));
  }
  return RandomDuration(world, base::milliseconds(1), base::milliseconds(12));
}

auto TargetAnswers(World& world, std::size_t agent, const base::FlowKey& flow, const Bytes& bytes,
                   std::uint64_t incarnation) -> void {
  if (world.agents[agent].target_incarnation != incarnation) return;
  Feed(world, agent, TargetDatagram{flow, bytes});
}

auto TargetReceives(World& world, std::size_t agent, const base::FlowKey& flow, const Bytes& bytes)
    -> void {
  auto message = ParseMessage(bytes).value();
  if (!IsRequest(message) || Chance(world, world.faults.drop / 10)) return;
  if (message.echo) world.echo_reached_target = true;
  auto number = NumberIn(bytes);
  auto& user_request = world.user_requests[number];
  ++user_request.executions;
  // A live agent that has lost the flow may still start requests in its queue.
  auto settled = user_request.outcome_at + 2 * world.parameters.queue_limit;
  if (user_request.outcome == Outcome::kUnknown && world.now > settled) {
    user_request.ran_after_unknown = true;
  }
  auto incarnation = world.agents[agent].target_incarnation;
  auto taken = RandomDuration(world, base::milliseconds(1), base::milliseconds(120));
  auto send = [&world, agent, flow, incarnation](base::Duration delay, const Bytes& datagram) {
    After(world, delay, [=, &world] { TargetAnswers(world, agent, flow, datagram, incarnation); });
  };
  if (!Chance(world, 0.2)) {
    return send(taken, MakeResponse(MessageType::kAcknowledgement, message.message_id,
                                    message.token, number));
  }
  send(base::milliseconds(1), BuildEmptyAck(message.message_id));
  auto message_id = static_cast<std::uint16_t>(world.random());
  auto separate = MakeResponse(MessageType::kConfirmable, message_id, message.token, number);
  // Retransmits even if acknowledged.
  for (auto round = 0; round < 3; ++round) send(taken + base::seconds(2) * round, separate);
}

auto HandOn(World& world, std::size_t agent, const OfferHandOn& offer) -> void {
  auto other =
      offer.only_to.value != 0 ? offer.only_to.value - 1 : (agent + 1) % world.agents.size();
  auto left = offer.deadline - world.now;
  Deliver(world, [&world, agent, other, offer, left] {
    Feed(
        world, other,
        HandOnRequested{offer.flow, base::InstanceId{agent + 1}, offer.request, offer.bytes, left});
  });
}

auto AnswerOffer(World& world, std::size_t agent, const AnswerHandOn& answer) -> void {
  auto origin = answer.origin.value - 1;
  Deliver(world, [&world, agent, origin, answer] {
    Feed(world, origin,
         HandOnAnswered{answer.flow, answer.request, base::TargetId{agent + 1}, answer.not_run,
                        answer.bytes});
  });
}

struct Apply {
  World& world;
  std::size_t agent;

  auto operator()(const SendToTarget& effect) const -> void {
    TargetReceives(this->world, this->agent, effect.flow, effect.bytes);
  }
  auto operator()(const SendToClient& effect) const -> void {
    auto& at = this->world;
    Deliver(at, [&at, effect] { ClientReceives(at, effect.flow, effect.bytes); });
  }
  auto operator()(const OfferHandOn& effect) const -> void {
    HandOn(this->world, this->agent, effect);
  }
  auto operator()(const AnswerHandOn& effect) const -> void {
    AnswerOffer(this->world, this->agent, effect);
  }
  auto operator()(const CloseFlow& effect) const -> void {
    auto& at = this->world;
    auto index = this->agent;
    After(at, {}, [&at, index, effect] { Feed(at, index, FlowClosed{effect.flow}); });
  }
  auto operator()(const SetTimer& effect) const -> void {
    auto& at = this->world;
    auto index = this->agent;
    auto incarnation = at.agents[index].incarnation;
    After(at, std::max(effect.at - at.now, base::Duration{}), [&at, index, incarnation] {
      if (at.agents[index].incarnation == incarnation) Feed(at, index, Timer{});
    });
  }
  auto operator()(const Count& effect) const -> void { ++this->world.counts[effect.counter]; }
  auto operator()(const TraceMark&) const -> void {}
  auto operator()(const FlowShed&) const -> void {}
};

}  // namespace

auto Chance(World& world, double share) -> bool {
  return std::uniform_real_distribution<>(0, 1)(world.random) < share;
}

auto Deliver(World& world, const World::Job& job) -> void {
  if (!Chance(world, world.faults.drop)) After(world, NetworkDelay(world), job);
  if (Chance(world, world.faults.duplicate)) After(world, NetworkDelay(world), job);
}

auto NumberIn(BytesView datagram) -> std::size_t {
  auto number = std::size_t{0};
  if (datagram.size() < 4) return number;
  for (auto byte : datagram.last(4)) number = number << 8 | byte;
  return number;
}

auto ClientOf(World& world, const base::FlowKey& flow) -> Client& {
  return world.clients[flow.client.port];
}

auto SendToOwner(World& world, const base::FlowKey& flow, const Bytes& bytes) -> void {
  Deliver(world, [&world, flow, bytes] {
    Feed(world, ClientOf(world, flow).owner, ClientDatagram{flow, bytes});
  });
}

auto MakeRequest(std::uint8_t method, std::uint16_t message_id, const Token& token,
                 std::size_t number) -> Bytes {
  auto out =
      Bytes{static_cast<std::uint8_t>(0x40 | token.size), method,
            static_cast<std::uint8_t>(message_id >> 8), static_cast<std::uint8_t>(message_id)};
  out.insert(out.end(), token.bytes.begin(), token.bytes.begin() + token.size);
  out.insert(out.end(), {0xb4, 'h', 'o', 'l', 'd', 0xff});
  for (auto shift : {24, 16, 8, 0}) out.push_back(static_cast<std::uint8_t>(number >> shift));
  return out;
}

auto MakeResponse(MessageType type, std::uint16_t message_id, const Token& token,
                  std::size_t number) -> Bytes {
  auto out = MakeRequest(0x44, message_id, token, number);
  auto plain = Bytes(out.begin(), out.begin() + 4 + token.size);
  plain[0] = static_cast<std::uint8_t>(0x40 | static_cast<int>(type) << 4 | token.size);
  plain.push_back(0xff);
  plain.insert(plain.end(), out.end() - 4, out.end());
  return plain;
}

auto After(World& world, base::Duration delay, World::Job job) -> void {
  world.jobs.emplace(world.now + delay, std::move(job));
}

auto Feed(World& world, std::size_t agent, const Event& event) -> void {
  auto effects = Step(*world.agents[agent].core, event, world.now);
  for (const auto& effect : effects) std::visit(Apply{world, agent}, effect);
}

auto RestartAgent(World& world, std::size_t agent) -> void {
  auto& at = world.agents[agent];
  auto secret = EchoSecret{};
  for (auto& byte : secret) byte = static_cast<std::uint8_t>(world.random());
  at.core = RequestsBuilder{}
                .WithParameters(world.parameters)
                .WithIncarnation(++at.incarnation * 100 + agent)
                .WithEchoSecret(secret)
                .WithSeed(world.random())
                .Build();
}

auto MakeWorld(std::uint64_t seed, const Faults& faults, const Parameters& parameters,
               std::size_t agents, std::size_t clients) -> World {
  auto world = World{};
  world.random.seed(seed);
  world.faults = faults;
  world.parameters = parameters;
  world.agents.resize(agents);
  for (auto i = std::size_t{0}; i < agents; ++i) RestartAgent(world, i);
  for (auto i = std::size_t{0}; i < clients; ++i) {
    auto client = Client{};
    client.flow = {base::EndpointFromV4(0x0a000001, static_cast<std::uint16_t>(i)),
                   base::ServiceIdOf("desk")};
    client.owner = world.random() % agents;
    client.next_message_id = static_cast<std::uint16_t>(world.random());
    world.clients.push_back(client);
  }
  return world;
}

auto RunAll(World& world) -> void {
  while (!world.jobs.empty()) {
    auto first = world.jobs.begin();
    auto job = std::move(first->second);
    world.now = first->first;
    world.jobs.erase(first);
    job();
  }
}

}  // namespace anvildrum::requests::world
