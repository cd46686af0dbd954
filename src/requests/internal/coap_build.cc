// Building and rewriting of CoAP datagrams.
#include <algorithm>
#include <array>
#include <span>

#include "requests/internal/coap_pdu.h"

namespace anvildrum::requests {
namespace {

constexpr auto kTokenLengthMask = std::uint8_t{0x0f};
constexpr auto kPayloadMarker = std::uint8_t{0xff};
constexpr auto kMaxOptionHeader = std::size_t{5};
constexpr auto kBeyondOptions = std::uint32_t{1} << 16;

auto AppendHeader(Bytes& out, MessageType type, std::uint8_t code, std::uint16_t message_id,
                  const Token& token) -> void {
  out.push_back(
      static_cast<std::uint8_t>(kVersionOne | static_cast<int>(type) << kTypeShift | token.size));
  out.push_back(code);
  out.push_back(static_cast<std::uint8_t>(message_id >> 8));
  out.push_back(static_cast<std::uint8_t>(message_id));
  out.insert(out.end(), token.bytes.begin(), token.bytes.begin() + token.size);
}

auto AppendOption(Bytes& out, std::uint16_t& last, std::uint16_t number, BytesView value) -> void {
  auto offset = out.size();
  out.resize(offset + kMaxOptionHeader + value.size());
  auto used =
      coap_opt_encode(out.data() + offset, out.size() - offset,
                      static_cast<std::uint16_t>(number - last), value.data(), value.size());
  out.resize(offset + used);
  last = number;
}

auto AppendPayload(Bytes& out, BytesView payload) -> void {
  if (payload.empty()) return;
  out.push_back(kPayloadMarker);
  out.insert(out.end(), payload.begin(), payload.end());
}

/// An option that replaces all options of the same number.
struct Replacement {
  std::uint16_t number = 0;
  std::optional<BytesView> value;  ///< empty: the options are removed
};

using UintBytes = std::array<std::uint8_t, sizeof(std::uint32_t)>;

auto EncodeUint(UintBytes& bytes, std::uint32_t value) -> BytesView {
  auto size = coap_encode_var_safe(bytes.data(), bytes.size(), value);
  return BytesView(bytes).first(size);
}

// Options are written in the order of their numbers (RFC 7252, 3.1).
auto AppendReplacementsBelow(Bytes& out, std::uint16_t& last, std::uint32_t below,
                             std::span<const Replacement>& replacements) -> void {
  while (!replacements.empty() && replacements.front().number < below) {
    const auto& [number, value] = replacements.front();
    if (value) AppendOption(out, last, number, *value);
    replacements = replacements.subspan(1);
  }
}

// Writes the options and payload of `message` with the replacements, which are sorted by number.
auto AppendBody(Bytes& out, const Message& message, std::span<const Replacement> replacements)
    -> void {
  auto pdu = ParsePdu(message.whole);
  auto last = std::uint16_t{0};
  auto due = replacements;
  auto iterator = coap_opt_iterator_t{};
  coap_option_iterator_init(pdu.get(), &iterator, COAP_OPT_ALL);
  while (auto* option = coap_option_next(&iterator)) {
    auto is_replaced = [&](const auto& one) { return one.number == iterator.number; };
    if (std::any_of(replacements.begin(), replacements.end(), is_replaced)) continue;
    AppendReplacementsBelow(out, last, iterator.number, due);
    AppendOption(out, last, iterator.number, OptionValue(option));
  }
  AppendReplacementsBelow(out, last, kBeyondOptions, due);
  AppendPayload(out, PayloadOf(pdu.get()));
}

}  // namespace

auto WithIdentity(BytesView datagram, MessageType type, std::uint16_t message_id,
                  const Token& token) -> Bytes {
  auto body = datagram.subspan(kHeaderSize + (datagram[0] & kTokenLengthMask));
  auto out = Bytes{};
  out.reserve(kHeaderSize + token.size + body.size());
  AppendHeader(out, type, datagram[1], message_id, token);
  out.insert(out.end(), body.begin(), body.end());
  return out;
}

auto ForTarget(const Message& message, std::uint16_t message_id, const Token& token,
               std::optional<std::uint32_t> deadline) -> Bytes {
  auto unchanged = !message.echo && !message.has_deadline_option && !deadline;
  if (unchanged) return WithIdentity(message.whole, message.type, message_id, token);
  auto left = UintBytes{};
  auto replacements =
      std::array{Replacement{COAP_OPTION_ECHO, {}}, Replacement{kDeadlineOption, {}}};
  if (deadline) replacements[1].value = EncodeUint(left, *deadline);
  auto out = Bytes{};
  out.reserve(message.whole.size() + token.bytes.size());
  AppendHeader(out, message.type, message.code, message_id, token);
  AppendBody(out, message, replacements);
  return out;
}

auto WithEcho(const Message& message, BytesView echo) -> Bytes {
  auto out = Bytes{};
  out.reserve(message.whole.size() + kMaxOptionHeader + echo.size());
  AppendHeader(out, message.type, message.code, message.message_id, message.token);
  AppendBody(out, message, std::array{Replacement{COAP_OPTION_ECHO, echo}});
  return out;
}

auto Deregistration(const Message& message, std::uint16_t message_id, const Token& token) -> Bytes {
  auto value = UintBytes{};
  auto out = Bytes{};
  AppendHeader(out, message.type, message.code, message_id, token);
  AppendBody(out, message,
             std::array{Replacement{COAP_OPTION_OBSERVE, EncodeUint(value, COAP_OBSERVE_CANCEL)},
                        Replacement{COAP_OPTION_ECHO, {}}, Replacement{kDeadlineOption, {}}});
  return out;
}

auto WithObserve(const Message& message, std::uint32_t sequence) -> Bytes {
  auto value = UintBytes{};
  auto out = Bytes{};
  out.reserve(message.whole.size() + value.size());
  AppendHeader(out, message.type, message.code, message.message_id, message.token);
  AppendBody(out, message,
             std::array{Replacement{COAP_OPTION_OBSERVE, EncodeUint(value, sequence)}});
  return out;
}

auto BuildChallenge(MessageType type, std::uint16_t message_id, const Token& token, BytesView echo)
    -> Bytes {
  auto out = Bytes{};
  auto last = std::uint16_t{0};
  AppendHeader(out, type, kCodeUnauthorized, message_id, token);
  AppendOption(out, last, COAP_OPTION_ECHO, echo);
  return out;
}

auto BuildNotRun(MessageType type, std::uint16_t message_id, const Token& token,
                 std::uint32_t max_age) -> Bytes {
  auto out = Bytes{};
  auto last = std::uint16_t{0};
  auto value = UintBytes{};
  AppendHeader(out, type, kCodeServiceUnavailable, message_id, token);
  AppendOption(out, last, COAP_OPTION_MAXAGE, EncodeUint(value, max_age));
  return out;
}

auto BuildUnknown(MessageType type, std::uint16_t message_id, const Token& token) -> Bytes {
  auto out = Bytes{};
  AppendHeader(out, type, kCodeGatewayTimeout, message_id, token);
  return out;
}

auto BuildReset(std::uint16_t message_id) -> Bytes {
  auto out = Bytes{};
  AppendHeader(out, MessageType::kReset, kCodeEmpty, message_id, {});
  return out;
}

auto BuildEmptyAck(std::uint16_t message_id) -> Bytes {
  auto out = Bytes{};
  AppendHeader(out, MessageType::kAcknowledgement, kCodeEmpty, message_id, {});
  return out;
}

auto ResetForMalformed(BytesView datagram) -> std::optional<Bytes> {
  if (datagram.size() < kHeaderSize) return std::nullopt;
  if ((datagram[0] & kVersionMask) != kVersionOne) return std::nullopt;
  if (TypeOf(datagram) != MessageType::kConfirmable) return std::nullopt;
  return BuildReset(static_cast<std::uint16_t>(datagram[2] << 8 | datagram[3]));
}

}  // namespace anvildrum::requests
