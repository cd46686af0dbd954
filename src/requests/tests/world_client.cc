// Clients of the simulation.
#include <algorithm>

#include "requests/tests/world.h"

namespace anvildrum::requests::world {
namespace {

constexpr auto kSends = 5;  // the first transmission and MAX_RETRANSMIT more (RFC 7252, 4.8)

auto Transmit(World& world, const base::FlowKey& flow, std::size_t exchange) -> void {
  auto& sent = ClientOf(world, flow).exchanges[exchange];
  if (!sent.open || sent.acknowledged) return;
  if (sent.sends == kSends) return;
  SendToOwner(world, flow, sent.bytes);
  auto timeout = base::seconds(2 << sent.sends++);
  After(world, timeout + timeout * static_cast<int>(world.random() % 50) / 100,
        [&world, flow, exchange] { Transmit(world, flow, exchange); });
}

auto RandomToken(World& world) -> Token {
  auto token = Token{};
  token.size = static_cast<std::uint8_t>(world.random() % 3);  // short ones repeat
  for (auto i = 0; i < token.size; ++i) {
    token.bytes[i] = static_cast<std::uint8_t>(world.random() % 2);
  }
  return token;
}

// A client uses a token for one open exchange at a time (RFC 7252, 5.3.1).
auto FreeToken(World& world, const Client& client) -> Token {
  auto is_open = [&](const Token& token) {
    return std::any_of(client.exchanges.begin(), client.exchanges.end(),
                       [&](const auto& at) { return at.open && at.token == token; });
  };
  auto token = Token{};
  if (world.faults.reuse_tokens) token = RandomToken(world);
  while (!world.faults.reuse_tokens ? token.size == 0 : is_open(token)) {
    token.size = 4;
    for (auto& byte : std::span(token.bytes).first(4)) {
      byte = static_cast<std::uint8_t>(world.random());
    }
  }
  return token;
}

auto OpenExchange(World& world, Client& client, std::size_t user_request, BytesView echo) -> void {
  auto exchange = Exchange{};
  exchange.user_request = user_request;
  exchange.message_id = client.next_message_id++;
  exchange.token = FreeToken(world, client);
  exchange.bytes = MakeRequest(world.user_requests[user_request].method, exchange.message_id,
                               exchange.token, user_request);
  auto message = ParseMessage(exchange.bytes).value();
  if (world.faults.deadlines && Chance(world, 0.8)) {
    auto deadline = static_cast<std::uint32_t>(30 + world.random() % 371);
    exchange.bytes = ForTarget(message, exchange.message_id, exchange.token, deadline);
  }
  if (!echo.empty()) exchange.bytes = WithEcho(ParseMessage(exchange.bytes).value(), echo);
  client.exchanges.push_back(exchange);
  Transmit(world, client.flow, client.exchanges.size() - 1);
}

auto Close(World& world, Exchange& exchange, Outcome outcome) -> void {
  exchange.open = false;
  auto& user_request = world.user_requests[exchange.user_request];
  if (user_request.outcome != Outcome::kPending) return;
  user_request.outcome = outcome;
  user_request.outcome_at = world.now;
}

auto OnFinal(World& world, Client& client, Exchange& exchange, const Message& message) -> void {
  if (message.code == kCodeUnauthorized && message.echo) {
    auto user_request = exchange.user_request;
    exchange.open = false;
    OpenExchange(world, client, user_request, *message.echo);
    return;
  }
  if (message.code == kCodeServiceUnavailable) return Close(world, exchange, Outcome::kNotRun);
  if (message.code == kCodeGatewayTimeout) return Close(world, exchange, Outcome::kUnknown);
  if (NumberIn(message.whole) != exchange.user_request) {
    world.user_requests[exchange.user_request].foreign_answer = true;
  }
  Close(world, exchange, Outcome::kAnswered);
}

auto FindExchange(World& world, Client& client, const Message& message) -> Exchange* {
  auto piggybacked = message.type == MessageType::kAcknowledgement;
  for (auto& exchange : client.exchanges) {
    auto open = exchange.open;
    if (world.faults.lenient && !open) {
      // Accepts a repeated challenge of an earlier message of the same request.
      open = message.code == kCodeUnauthorized &&
             world.user_requests[exchange.user_request].outcome == Outcome::kPending;
    }
    if (!open || exchange.token != message.token) continue;
    if (!piggybacked || exchange.message_id == message.message_id) return &exchange;
  }
  return nullptr;
}

}  // namespace

auto ClientReceives(World& world, const base::FlowKey& flow, const Bytes& bytes) -> void {
  auto& client = ClientOf(world, flow);
  auto message = ParseMessage(bytes).value();
  if (message.code == kCodeEmpty) {
    for (auto& exchange : client.exchanges) {
      if (exchange.open && exchange.message_id == message.message_id) exchange.acknowledged = true;
    }
    return;
  }
  auto* exchange = FindExchange(world, client, message);
  if (message.type == MessageType::kConfirmable) {
    auto known = exchange != nullptr;
    // A duplicate CON is acknowledged and dropped (RFC 7252, 4.2).
    if (!client.seen.insert(message.message_id).second) {
      return SendToOwner(world, flow, BuildEmptyAck(message.message_id));
    }
    SendToOwner(world, flow,
                known ? BuildEmptyAck(message.message_id) : BuildReset(message.message_id));
  }
  if (exchange != nullptr) OnFinal(world, client, *exchange, message);
}

auto SubmitRequest(World& world, std::size_t client, std::uint8_t method) -> std::size_t {
  auto& at = world.clients[client];
  auto number = world.user_requests.size();
  auto user_request = UserRequest{};
  user_request.method = method;
  user_request.flow = at.flow;
  world.user_requests.push_back(user_request);
  OpenExchange(world, at, number, {});
  After(world, kMaxTransmitWait, [&world, client, number] {
    for (auto& exchange : world.clients[client].exchanges) {
      if (exchange.user_request == number && exchange.open) {
        Close(world, exchange, Outcome::kTimeout);
      }
    }
  });
  return number;
}

}  // namespace anvildrum::requests::world
