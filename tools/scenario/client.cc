#include "scenario/client.h"

#include <algorithm>
#include <utility>

#include "requests/types/parameters.h"
#include "scenario/world.h"

namespace anvildrum::scenario {
namespace {

using requests::Message;
using requests::MessageType;

constexpr auto kSends = 5U;  // MAX_RETRANSMIT and the first (RFC 7252, 4.8)
constexpr auto kSilence = base::seconds(10);
constexpr auto kOnTheWay =
    base::seconds(1);  // what an earlier target had sent when the stream moved
constexpr auto kClassMask = 0xe0;
constexpr auto kSuccess = 2 << 5;
constexpr auto kSequenceHalf = 1U << 23U;  // RFC 7641, 3.4

auto Retransmit(World& world, Client& client, std::size_t index) -> void {
  auto& exchange = client.exchanges.at(index);
  if (!exchange.open || exchange.acknowledged || exchange.sends == kSends) return;
  FromClient(world, client, exchange.bytes);
  auto timeout = base::seconds(2U << exchange.sends++);
  After(world.clock, timeout + Draw(world, timeout / 2),
        [&world, &client, index] { Retransmit(world, client, index); });
}

auto NextToken(Client& client) -> requests::Token {
  auto token = requests::Token{};
  token.size = 4;
  auto value = client.next_token++;
  for (auto i = 0U; i < token.size; ++i) {
    token.bytes.at(i) = static_cast<std::uint8_t>(value >> (8U * i));
  }
  return token;
}

auto Begin(World& world, Client& client, Exchange exchange) -> void {
  client.exchanges.push_back(std::move(exchange));
  Retransmit(world, client, client.exchanges.size() - 1);
}

auto Settle(World& world, Exchange& exchange, Outcome outcome) -> void {
  exchange.open = false;
  auto& order = world.orders.at(exchange.order);
  if (order.outcome != Outcome::kPending) return;
  order.outcome = outcome;
  order.told = world.clock.now;
  Trace(world, order.client + " " + order.id + " " + NameOf(outcome));
}

auto GiveUpLater(World& world, Client& client, const std::string& id) -> void {
  After(world.clock, requests::kMaxTransmitWait, [&world, &client, id] {
    for (auto& at : client.exchanges) {
      if (at.order == id && at.open) Settle(world, at, Outcome::kTimeout);
    }
  });
}

auto RepeatWithEcho(World& world, Client& client, std::size_t index, const Message& challenge)
    -> void {
  auto& before = client.exchanges.at(index);
  before.open = false;
  auto next = Exchange{};
  next.order = before.order;
  next.confirmed = true;
  next.message_id = client.next_message_id++;
  next.token = before.token;
  auto renamed =
      requests::WithIdentity(before.bytes, MessageType::kConfirmable, next.message_id, next.token);
  auto message = requests::ParseMessage(renamed);
  if (message) next.bytes = requests::WithEcho(*message, *challenge.echo);
  Begin(world, client, std::move(next));
}

auto OutcomeOf(std::uint8_t code) -> Outcome {
  if (code == requests::kCodeServiceUnavailable) return Outcome::kNotRun;
  if (code == requests::kCodeGatewayTimeout) return Outcome::kUnknown;
  return (code & kClassMask) == kSuccess ? Outcome::kAnswered : Outcome::kOther;
}

auto CheckAnswer(World& world, const Client& client, const std::string& id, BytesView bytes)
    -> void {
  auto body = PayloadOf(bytes);
  if (FieldOf(body, "id") == id) return;
  ++world.violations.wrong_answers;
  world.violations.notes.push_back("wrong answer at " + client.name + " for " + id + ": " + body);
}

auto Break(World& world, const Client& client, Stream& stream, const std::string& why) -> void {
  if (!stream.broken.empty()) return;
  stream.broken = why;
  Trace(world, client.name + " stream broken: " + why);
}

auto IsFresh(const Stream& stream, const Message& message) -> bool {
  if (stream.notifications == 0) return true;
  auto ahead = (*message.observe - stream.last_sequence) & (2 * kSequenceHalf - 1);
  return ahead != 0 && ahead < kSequenceHalf;  // else reordered or doubled
}

// Whether the target's streams may go on at another one: it was told to leave, or it was lost.
auto MayMove(const World& world, const std::string& target) -> bool {
  return world.leaving.contains(target) || world.lost.contains(target);
}

// A stream keeps its target for life, but for two cases: a target that was told to leave may hand
// it to another, and that of a lost target may be taken over by a stand-by. Either has to go on
// with a higher sequence number, or the client takes it for old news.
auto CheckTarget(World& world, const Client& client, Stream& stream, const std::string& target)
    -> void {
  if (stream.target == target) return;
  auto name = stream.target.substr(0, stream.target.find('/'));
  if (!stream.target.empty() && !MayMove(world, name)) {
    return Break(world, client, stream, "moved to " + target);
  }
  if (!stream.target.empty()) stream.moved = world.clock.now;
  stream.target = target;
}

auto HearStream(World& world, Client& client, Stream& stream, const Message& message) -> void {
  auto body = PayloadOf(message.whole);
  auto target = FieldOf(body, "target") + "/" + FieldOf(body, "life");
  auto fresh = IsFresh(stream, message);
  auto now = world.clock.now;
  auto served_by = stream.target;
  auto moved = stream.moved != base::TimePoint{} && now - stream.moved > kOnTheWay;
  if (moved && !fresh && stream.target != target) ++stream.two_sources;
  if (fresh || !MayMove(world, FieldOf(body, "target"))) {
    CheckTarget(world, client, stream, target);
  }
  if (stream.notifications > 0 && now - stream.heard > stream.longest_gap) {
    stream.longest_gap = now - stream.heard;
    stream.gap_target = served_by;
  }
  if (!fresh) return;
  stream.last_sequence = *message.observe;
  stream.heard = now;
  ++stream.notifications;
}

auto OnStream(World& world, Client& client, const Message& message) -> void {
  auto& stream = *client.stream;
  if ((message.code & kClassMask) != kSuccess) {
    if (stream.notifications == 0) return client.stream.reset();  // refused, so never established
    return Break(
        world, client, stream,
        "told " + std::to_string(message.code >> 5) + ".0" + std::to_string(message.code & 0x1f));
  }
  CheckAnswer(world, client, stream.id, message.whole);
  if (message.observe) HearStream(world, client, stream, message);
}

auto FindExchange(const Client& client, const Message& message) -> std::optional<std::size_t> {
  auto piggybacked = message.type == MessageType::kAcknowledgement;
  for (auto i = client.exchanges.size(); i-- > 0;) {
    const auto& exchange = client.exchanges[i];
    if (!exchange.open || exchange.token != message.token) continue;
    if (!piggybacked || exchange.message_id == message.message_id) return i;
  }
  return std::nullopt;
}

auto FindChallenged(const Client& client, const Message& message) -> std::optional<std::size_t> {
  if (!client.answers_any_challenge || message.code != requests::kCodeUnauthorized) return {};
  for (auto i = client.exchanges.size(); i-- > 0;) {
    if (client.exchanges[i].message_id == message.message_id) return i;
  }
  return std::nullopt;
}

auto OnAnswer(World& world, Client& client, std::size_t index, const Message& message) -> void {
  auto& exchange = client.exchanges.at(index);
  auto challenged = message.code == requests::kCodeUnauthorized && message.echo;
  if (challenged) return RepeatWithEcho(world, client, index, message);
  auto outcome = OutcomeOf(message.code);
  if (outcome == Outcome::kAnswered) CheckAnswer(world, client, exchange.order, message.whole);
  Settle(world, exchange, outcome);
}

// An empty message: an ACK stops the retransmission, a Reset ends the exchange.
auto OnEmpty(World& world, Client& client, const Message& message) -> void {
  for (auto& exchange : client.exchanges) {
    if (!exchange.open || exchange.message_id != message.message_id) continue;
    exchange.acknowledged = true;
    if (message.type == MessageType::kReset) Settle(world, exchange, Outcome::kOther);
  }
}

auto IsStream(const Client& client, const Message& message) -> bool {
  return client.stream && client.stream->token == message.token;
}

// Whether the message is to be taken; acknowledges or resets a confirmable one.
auto Acknowledge(World& world, Client& client, const Message& message, bool known) -> bool {
  if (message.type != MessageType::kConfirmable) {
    if (message.type == MessageType::kNonConfirmable && !known) {
      Trace(world, client.name + " resets " + std::to_string(message.message_id));
      FromClient(world, client, requests::BuildReset(message.message_id));
    }
    return true;
  }
  auto fresh = client.seen.insert(message.message_id).second;
  auto answer = known || !fresh ? requests::BuildEmptyAck(message.message_id)
                                : requests::BuildReset(message.message_id);
  FromClient(world, client, answer);
  return fresh;
}

}  // namespace

auto NameOf(Outcome outcome) -> std::string {
  static const auto names =
      std::vector<std::string>{"pending", "answered", "not-run", "unknown", "timeout", "error"};
  return names.at(static_cast<std::size_t>(outcome));
}

auto ClientReceives(World& world, Client& client, BytesView bytes) -> void {
  auto message = requests::ParseMessage(bytes);
  if (!message) return;
  if (message->code == requests::kCodeEmpty) return OnEmpty(world, client, *message);
  auto exchange = FindExchange(client, *message);
  if (!exchange) exchange = FindChallenged(client, *message);
  auto stream = IsStream(client, *message);
  if (!Acknowledge(world, client, *message, exchange || stream)) return;
  if (exchange) OnAnswer(world, client, *exchange, *message);
  if (stream && message->code != requests::kCodeUnauthorized) OnStream(world, client, *message);
}

auto PlaceOrder(World& world, Client& client, std::uint8_t method, const std::string& path,
                std::string id) -> void {
  if (id.empty()) id = client.name + "." + path + "." + std::to_string(client.next_order++);
  auto order = Order{};
  order.id = id;
  order.client = client.name;
  order.method = method;
  order.sent = world.clock.now;
  world.orders[id] = order;
  auto exchange = Exchange{};
  exchange.order = id;
  exchange.token = NextToken(client);
  exchange.message_id = client.next_message_id++;
  auto draft = Draft{MessageType::kConfirmable,
                     method,
                     exchange.message_id,
                     exchange.token,
                     {},
                     path,
                     "id=" + id + "&to=" + client.service,
                     {}};
  exchange.bytes = Write(draft);
  Begin(world, client, std::move(exchange));
  GiveUpLater(world, client, id);
}

auto OpenStream(World& world, Client& client) -> void {
  auto id = client.name + ".feed." + std::to_string(client.next_order++);
  auto token = NextToken(client);
  auto message_id = client.next_message_id++;
  client.stream = Stream{};
  client.stream->token = token;
  client.stream->id = id;
  auto order = Order{};
  order.id = id;
  order.client = client.name;
  order.method = kGet;
  order.sent = world.clock.now;
  world.orders[id] = order;
  auto draft = Draft{MessageType::kConfirmable,
                     kGet,
                     message_id,
                     token,
                     0,
                     "feed",
                     "id=" + id + "&to=" + client.service,
                     {}};
  auto exchange = Exchange{id, token, message_id, Write(draft)};
  Begin(world, client, std::move(exchange));
  GiveUpLater(world, client, id);
}

auto CancelStream(World& world, Client& client) -> void {
  if (!client.stream) return;
  client.stream.reset();  // the next notification is answered with a Reset (RFC 7641, 3.6)
  Trace(world, client.name + " forgets its stream");
}

auto Replay(World& world, const std::string& id) -> void {
  auto& client = world.clients.at(world.orders.at(id).client);
  for (const auto& exchange : client.exchanges) {
    if (exchange.order == id) FromClient(world, client, exchange.bytes);
  }
}

auto WhyBroken(const World& world, const Client& client) -> std::string {
  if (!client.stream) return {};
  const auto& stream = *client.stream;
  if (!stream.broken.empty()) return stream.broken;
  if (stream.notifications == 0) return {};
  if (world.clock.now - stream.heard > kSilence) return "silent";
  return stream.longest_gap > kSilence ? "was silent" : "";
}

auto WhereBroken(const World& world, const Client& client) -> std::string {
  if (!client.stream) return {};
  const auto& stream = *client.stream;
  // A stream that was silent and goes on elsewhere broke where it was then.
  auto resumed = stream.broken.empty() && world.clock.now - stream.heard <= kSilence;
  const auto& at = resumed && stream.longest_gap > kSilence ? stream.gap_target : stream.target;
  return at.substr(0, at.find('/'));
}

}  // namespace anvildrum::scenario
