#include "tools/common/coap_message.h"

#include <array>

namespace anvildrum::tools {
namespace {

constexpr auto kMaxUintBytes = 4U;

auto View(const std::uint8_t* data, std::size_t size) -> std::string_view {
  return {reinterpret_cast<const char*>(data), size};
}

}  // namespace

auto PayloadOf(const coap_pdu_t* pdu) -> std::string_view {
  auto size = std::size_t{0};
  const std::uint8_t* data = nullptr;
  if (coap_get_data(pdu, &size, &data) == 0) return {};
  return View(data, size);
}

auto TokenOf(const coap_pdu_t* pdu) -> std::string_view {
  auto token = coap_pdu_get_token(pdu);
  return View(token.s, token.length);
}

auto UintOption(const coap_pdu_t* pdu, coap_option_num_t number) -> std::optional<std::uint32_t> {
  auto iterator = coap_opt_iterator_t{};
  const auto* option = coap_check_option(pdu, number, &iterator);
  if (option == nullptr) return std::nullopt;
  return coap_decode_var_bytes(coap_opt_value(option), coap_opt_length(option));
}

auto TimeLeft(const coap_pdu_t* request) -> base::Duration {
  auto iterator = coap_opt_iterator_t{};
  const auto* option = coap_check_option(request, kDeadlineOption, &iterator);
  if (option == nullptr || coap_opt_length(option) > kMaxUintBytes) return base::Duration::max();
  return base::milliseconds(coap_decode_var_bytes(coap_opt_value(option), coap_opt_length(option)));
}

auto AddUintOption(coap_pdu_t* pdu, coap_option_num_t number, std::uint32_t value) -> void {
  auto bytes = std::array<std::uint8_t, 4>{};
  auto size = coap_encode_var_safe(bytes.data(), bytes.size(), value);
  coap_add_option(pdu, number, size, bytes.data());
}

auto WriteJson(coap_pdu_t* response, coap_pdu_code_t code, std::string_view json,
               std::optional<std::uint32_t> max_age_s) -> void {
  coap_pdu_set_code(response, code);
  AddUintOption(response, COAP_OPTION_CONTENT_FORMAT, COAP_MEDIATYPE_APPLICATION_JSON);
  if (max_age_s) AddUintOption(response, COAP_OPTION_MAXAGE, *max_age_s);
  coap_add_data(response, json.size(), reinterpret_cast<const std::uint8_t*>(json.data()));
}

auto QueryValue(std::string_view query, std::string_view name) -> std::string_view {
  while (!query.empty()) {
    auto end = query.find('&');
    auto item = query.substr(0, end);
    auto equals = item.find('=');
    if (equals != std::string_view::npos && item.substr(0, equals) == name) {
      return item.substr(equals + 1);
    }
    if (end == std::string_view::npos) break;
    query.remove_prefix(end + 1);
  }
  return {};
}

}  // namespace anvildrum::tools
