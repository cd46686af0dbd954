#include "requests/coap_message.h"

#include <coap3/coap.h>
#include <xxhash.h>

#include <algorithm>
#include <memory>

namespace anvildrum::requests {
namespace {

constexpr auto kHeaderSize = std::size_t{4};
constexpr auto kVersionMask = std::uint8_t{0xc0};
constexpr auto kVersionOne = std::uint8_t{0x40};
constexpr auto kTokenLengthMask = std::uint8_t{0x0f};
constexpr auto kTypeShift = 4;
constexpr auto kTypeMask = std::uint8_t{0x03};
constexpr auto kCodeClassShift = 5;
constexpr auto kResponseClassFirst = 2;
constexpr auto kPayloadMarker = std::uint8_t{0xff};
constexpr auto kMaxOptionHeader = std::size_t{5};
constexpr auto kFirstPrintable = std::uint8_t{0x20};
constexpr auto kDelete = std::uint8_t{0x7f};

struct PduDeleter {
  auto operator()(coap_pdu_t* pdu) const -> void { coap_delete_pdu(pdu); }
};
using Pdu = std::unique_ptr<coap_pdu_t, PduDeleter>;

// libcoap would write a line to standard error for each malformed datagram a stranger sends.
auto SilenceLibcoap() -> void {
  static const auto silenced = [] {
    coap_set_log_level(LOG_EMERG);
    return true;
  }();
  static_cast<void>(silenced);
}

auto Fail(RequestErrorCode code, std::size_t size) -> boost::leaf::error_id {
  return boost::leaf::new_error(RequestError{code, size});
}

auto ParsePdu(BytesView datagram) -> Pdu {
  SilenceLibcoap();
  auto pdu = Pdu(coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, datagram.size()));
  if (!pdu) return nullptr;
  if (coap_pdu_parse(COAP_PROTO_UDP, datagram.data(), datagram.size(), pdu.get()) == 0) {
    return nullptr;
  }
  return pdu;
}

auto OptionValue(const coap_opt_t* option) -> BytesView {
  return {coap_opt_value(option), coap_opt_length(option)};
}

auto OptionNumber(const coap_opt_t* option) -> std::uint32_t {
  return coap_decode_var_bytes(coap_opt_value(option), coap_opt_length(option));
}

auto BlockOf(const coap_opt_t* option) -> Block {
  return {coap_opt_block_num(option), COAP_OPT_BLOCK_MORE(option) != 0,
          static_cast<std::uint8_t>(COAP_OPT_BLOCK_SZX(option))};
}

auto PayloadOf(const coap_pdu_t* pdu) -> BytesView {
  auto size = std::size_t{0};
  const auto* data = static_cast<const std::uint8_t*>(nullptr);
  if (coap_get_data(pdu, &size, &data) == 0) return {};
  return {data, size};
}

auto TokenOf(const coap_pdu_t* pdu) -> Token {
  auto raw = coap_pdu_get_token(pdu);
  auto token = Token{};
  token.size = static_cast<std::uint8_t>(std::min(raw.length, token.bytes.size()));
  std::copy_n(raw.s, token.size, token.bytes.begin());
  return token;
}

auto Digest(std::uint64_t seed, std::uint16_t number, BytesView value) -> std::uint64_t {
  return XXH3_64bits_withSeed(value.data(), value.size(), seed * 31 + number);
}

// The option's value where it lies in the datagram: the PDU is a copy that ends with the parse.
auto InDatagram(const coap_pdu_t* pdu, BytesView datagram, BytesView value) -> BytesView {
  const auto* token = coap_pdu_get_token(pdu).s;
  return datagram.subspan(kHeaderSize + static_cast<std::size_t>(value.data() - token),
                          value.size());
}

auto ReadOption(const coap_pdu_t* pdu, std::uint16_t number, const coap_opt_t* option,
                Message& message) -> void {
  auto value = OptionValue(option);
  switch (number) {
    case COAP_OPTION_OBSERVE:
      message.observe = OptionNumber(option);
      break;
    case COAP_OPTION_BLOCK1:
      message.block1 = BlockOf(option);
      break;
    case COAP_OPTION_BLOCK2:
      message.block2 = BlockOf(option);
      break;
    case COAP_OPTION_MAXAGE:
      message.max_age = OptionNumber(option);
      break;
    case COAP_OPTION_URI_PATH:
      message.path_digest = Digest(message.path_digest, number, value);
      message.body_digest = message.path_digest;
      break;
    case COAP_OPTION_RTAG:
      message.body_digest = Digest(message.body_digest, number, value);
      break;
    case COAP_OPTION_ECHO:
      message.echo = InDatagram(pdu, message.whole, value);
      return;
    default:
      break;
  }
  message.content_digest = Digest(message.content_digest, number, value);
}

auto ReadOptions(const coap_pdu_t* pdu, Message& message) -> void {
  auto iterator = coap_opt_iterator_t{};
  if (coap_option_iterator_init(pdu, &iterator, COAP_OPT_ALL) == nullptr) return;
  while (auto* option = coap_option_next(&iterator)) {
    ReadOption(pdu, iterator.number, option, message);
  }
}

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

auto AppendEchoIfDue(Bytes& out, std::uint16_t& last, std::uint16_t next,
                     std::optional<BytesView>& echo) -> void {
  if (!echo || next <= COAP_OPTION_ECHO) return;
  AppendOption(out, last, COAP_OPTION_ECHO, *echo);
  echo.reset();
}

// Writes the options and payload of `message` with its Echo option replaced by `echo`, or left out.
auto AppendBody(Bytes& out, const Message& message, std::optional<BytesView> echo) -> void {
  auto pdu = ParsePdu(message.whole);
  auto last = std::uint16_t{0};
  auto iterator = coap_opt_iterator_t{};
  coap_option_iterator_init(pdu.get(), &iterator, COAP_OPT_ALL);
  while (auto* option = coap_option_next(&iterator)) {
    if (iterator.number == COAP_OPTION_ECHO) continue;
    AppendEchoIfDue(out, last, iterator.number, echo);
    AppendOption(out, last, iterator.number, OptionValue(option));
  }
  AppendEchoIfDue(out, last, COAP_OPTION_ECHO + 1, echo);
  auto payload = PayloadOf(pdu.get());
  if (payload.empty()) return;
  out.push_back(kPayloadMarker);
  out.insert(out.end(), payload.begin(), payload.end());
}

auto TypeOf(BytesView datagram) -> MessageType {
  return static_cast<MessageType>(datagram[0] >> kTypeShift & kTypeMask);
}

}  // namespace

auto ParseMessage(BytesView datagram) -> base::Result<Message> {
  auto size = datagram.size();
  if (size < kHeaderSize) return Fail(RequestErrorCode::kTruncated, size);
  if (size > kMaxMessage) return Fail(RequestErrorCode::kTooLarge, size);
  if ((datagram[0] & kVersionMask) != kVersionOne) {
    return Fail(RequestErrorCode::kBadVersion, size);
  }
  auto pdu = ParsePdu(datagram);
  if (!pdu) return Fail(RequestErrorCode::kMalformed, size);
  auto message = Message{};
  message.whole = datagram;
  message.type = TypeOf(datagram);
  message.code = static_cast<std::uint8_t>(coap_pdu_get_code(pdu.get()));
  message.message_id = static_cast<std::uint16_t>(coap_pdu_get_mid(pdu.get()));
  message.token = TokenOf(pdu.get());
  message.content_digest = message.code;
  message.path_digest = message.code;
  message.body_digest = message.code;
  ReadOptions(pdu.get(), message);
  message.content_digest = Digest(message.content_digest, 0, PayloadOf(pdu.get()));
  return message;
}

auto IsRequest(const Message& message) -> bool {
  return message.code != kCodeEmpty && message.code >> kCodeClassShift == 0;
}

auto IsResponse(const Message& message) -> bool {
  return message.code >> kCodeClassShift >= kResponseClassFirst;
}

auto MethodClassOf(std::uint8_t code) -> MethodClass {
  switch (code) {
    case COAP_REQUEST_CODE_GET:
    case COAP_REQUEST_CODE_FETCH:
      return MethodClass::kSafe;
    case COAP_REQUEST_CODE_PUT:
    case COAP_REQUEST_CODE_DELETE:
    case COAP_REQUEST_CODE_IPATCH:
      return MethodClass::kIdempotent;
    default:
      return MethodClass::kNonIdempotent;
  }
}

auto UriPathOf(const Message& message) -> std::string {
  auto pdu = ParsePdu(message.whole);
  auto path = std::string();
  auto iterator = coap_opt_iterator_t{};
  if (!pdu || coap_option_iterator_init(pdu.get(), &iterator, COAP_OPT_ALL) == nullptr) return "/";
  while (auto* option = coap_option_next(&iterator)) {
    if (iterator.number != COAP_OPTION_URI_PATH) continue;
    path.push_back('/');
    for (auto byte : OptionValue(option)) {
      auto printable = byte >= kFirstPrintable && byte < kDelete;
      path.push_back(printable ? static_cast<char>(byte) : '?');
    }
  }
  return path.empty() ? "/" : path;
}

auto WithIdentity(BytesView datagram, MessageType type, std::uint16_t message_id,
                  const Token& token) -> Bytes {
  auto body = datagram.subspan(kHeaderSize + (datagram[0] & kTokenLengthMask));
  auto out = Bytes{};
  out.reserve(kHeaderSize + token.size + body.size());
  AppendHeader(out, type, datagram[1], message_id, token);
  out.insert(out.end(), body.begin(), body.end());
  return out;
}

auto ForTarget(const Message& message, std::uint16_t message_id, const Token& token) -> Bytes {
  if (!message.echo) return WithIdentity(message.whole, message.type, message_id, token);
  auto out = Bytes{};
  out.reserve(message.whole.size() + token.bytes.size());
  AppendHeader(out, message.type, message.code, message_id, token);
  AppendBody(out, message, std::nullopt);
  return out;
}

auto WithEcho(const Message& message, BytesView echo) -> Bytes {
  auto out = Bytes{};
  out.reserve(message.whole.size() + kMaxOptionHeader + echo.size());
  AppendHeader(out, message.type, message.code, message.message_id, message.token);
  AppendBody(out, message, echo);
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
  auto value = std::array<std::uint8_t, sizeof(max_age)>{};
  auto size = coap_encode_var_safe(value.data(), value.size(), max_age);
  AppendHeader(out, type, kCodeServiceUnavailable, message_id, token);
  AppendOption(out, last, COAP_OPTION_MAXAGE, BytesView(value).first(size));
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
