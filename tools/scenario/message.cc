#include "scenario/message.h"

#include <coap3/coap.h>

#include <array>
#include <memory>

namespace anvildrum::scenario {
namespace {

constexpr auto kVersionOne = 0x40;
constexpr auto kTypeShift = 4;
constexpr auto kPayloadMarker = std::uint8_t{0xff};
constexpr auto kMaxOptionHeader = std::size_t{5};
constexpr auto kRoom = std::size_t{64};  // header, token, path and the options' own headers

struct PduDeleter {
  auto operator()(coap_pdu_t* pdu) const -> void { coap_delete_pdu(pdu); }
};
using Pdu = std::unique_ptr<coap_pdu_t, PduDeleter>;

auto Parse(BytesView datagram) -> Pdu {
  auto pdu = Pdu(coap_pdu_init(COAP_MESSAGE_CON, COAP_EMPTY_CODE, 0, datagram.size()));
  if (coap_pdu_parse(COAP_PROTO_UDP, datagram.data(), datagram.size(), pdu.get()) == 0) return {};
  return pdu;
}

struct OptionWriter {
  Bytes& out;
  std::uint16_t last = 0;

  auto Add(std::uint16_t number, BytesView value) -> void {
    auto offset = this->out.size();
    this->out.resize(offset + kMaxOptionHeader + value.size());
    auto used = coap_opt_encode(this->out.data() + offset, this->out.size() - offset,
                                static_cast<std::uint16_t>(number - this->last), value.data(),
                                value.size());
    this->out.resize(offset + used);
    this->last = number;
  }
};

auto AsBytes(std::string_view text) -> BytesView {
  return {reinterpret_cast<const std::uint8_t*>(text.data()), text.size()};
}

}  // namespace

auto Write(const Draft& draft) -> Bytes {
  auto out = Bytes{};
  out.reserve(kRoom + draft.query.size() + draft.payload.size());
  auto type = static_cast<int>(draft.type) << kTypeShift;
  out.push_back(static_cast<std::uint8_t>(kVersionOne | type | draft.token.size));
  out.push_back(draft.code);
  out.push_back(static_cast<std::uint8_t>(draft.message_id >> 8));
  out.push_back(static_cast<std::uint8_t>(draft.message_id));
  const auto& token = draft.token;
  for (auto i = std::size_t{0}; i < token.size; ++i) out.push_back(token.bytes.at(i));
  auto options = OptionWriter{out};
  if (draft.observe) {
    auto value = std::array<std::uint8_t, 4>{};
    auto size = coap_encode_var_safe(value.data(), value.size(), *draft.observe);
    options.Add(COAP_OPTION_OBSERVE, BytesView(value).first(size));
  }
  if (!draft.path.empty()) options.Add(COAP_OPTION_URI_PATH, AsBytes(draft.path));
  if (!draft.query.empty()) options.Add(COAP_OPTION_URI_QUERY, AsBytes(draft.query));
  if (draft.payload.empty()) return out;
  out.push_back(kPayloadMarker);
  for (auto letter : draft.payload) out.push_back(static_cast<std::uint8_t>(letter));
  return out;
}

auto QueryOf(BytesView datagram) -> std::string {
  auto pdu = Parse(datagram);
  if (!pdu) return {};
  auto iterator = coap_opt_iterator_t{};
  const auto* option = coap_check_option(pdu.get(), COAP_OPTION_URI_QUERY, &iterator);
  if (option == nullptr) return {};
  const auto* value = reinterpret_cast<const char*>(coap_opt_value(option));
  return {value, coap_opt_length(option)};
}

auto PayloadOf(BytesView datagram) -> std::string {
  auto pdu = Parse(datagram);
  auto size = std::size_t{0};
  const std::uint8_t* data = nullptr;
  if (!pdu || coap_get_data(pdu.get(), &size, &data) == 0) return {};
  return {reinterpret_cast<const char*>(data), size};
}

auto FieldOf(std::string_view query, std::string_view name) -> std::string {
  while (!query.empty()) {
    auto item = query.substr(0, query.find('&'));
    auto equals = item.find('=');
    if (equals != std::string_view::npos && item.substr(0, equals) == name) {
      return std::string(item.substr(equals + 1));
    }
    query.remove_prefix(item.size() == query.size() ? item.size() : item.size() + 1);
  }
  return {};
}

}  // namespace anvildrum::scenario
