#include "requests/coap_message.h"

#include <xxhash.h>

#include <algorithm>

#include "requests/internal/coap_pdu.h"

namespace anvildrum::requests {
namespace {

constexpr auto kTypeMask = std::uint8_t{0x03};
constexpr auto kCodeClassShift = 5;
constexpr auto kResponseClassFirst = 2;
constexpr auto kFirstPrintable = std::uint8_t{0x20};
constexpr auto kDelete = std::uint8_t{0x7f};

// libcoap writes a line to standard error for each malformed datagram, and any sender can cause
// these.
auto DisableLibcoapLogging() -> void {
  static const auto disabled = [] {
    coap_set_log_level(LOG_EMERG);
    return true;
  }();
  static_cast<void>(disabled);
}

auto Fail(RequestErrorCode code, std::size_t size) -> boost::leaf::error_id {
  return boost::leaf::new_error(RequestError{code, size});
}

auto OptionNumber(const coap_opt_t* option) -> std::uint32_t {
  return coap_decode_var_bytes(coap_opt_value(option), coap_opt_length(option));
}

auto BlockOf(const coap_opt_t* option) -> Block {
  return {coap_opt_block_num(option), COAP_OPT_BLOCK_MORE(option) != 0,
          static_cast<std::uint8_t>(COAP_OPT_BLOCK_SZX(option))};
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

// Returns the option's value as a span of the datagram. The PDU is a copy that lives only during
// the parse.
auto SpanInDatagram(const coap_pdu_t* pdu, BytesView datagram, BytesView value) -> BytesView {
  const auto* token = coap_pdu_get_token(pdu).s;
  return datagram.subspan(kHeaderSize + static_cast<std::size_t>(value.data() - token),
                          value.size());
}

auto ReadDeadline(const coap_opt_t* option, Message& message) -> void {
  message.has_deadline_option = true;
  auto well_formed = coap_opt_length(option) <= kMaxDeadlineBytes;
  if (!well_formed || message.deadline) {
    message.bad_deadline = true;
    return;
  }
  message.deadline = OptionNumber(option);
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
      message.echo = SpanInDatagram(pdu, message.whole, value);
      return;
    case kDeadlineOption:
      return ReadDeadline(option, message);
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

}  // namespace

auto ParsePdu(BytesView datagram) -> Pdu {
  DisableLibcoapLogging();
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

auto PayloadOf(const coap_pdu_t* pdu) -> BytesView {
  auto size = std::size_t{0};
  const auto* data = static_cast<const std::uint8_t*>(nullptr);
  if (coap_get_data(pdu, &size, &data) == 0) return {};
  return {data, size};
}

auto TypeOf(BytesView datagram) -> MessageType {
  return static_cast<MessageType>(datagram[0] >> kTypeShift & kTypeMask);
}

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

}  // namespace anvildrum::requests
