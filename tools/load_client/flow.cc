#include "tools/load_client/flow.h"

#include <array>
#include <memory>

#include "tools/common/coap_message.h"

namespace anvildrum::load {
namespace {

using Token = std::array<std::uint8_t, 8>;

auto Bytes(std::string_view text) -> const std::uint8_t* {
  return reinterpret_cast<const std::uint8_t*>(text.data());
}

auto AddPath(coap_pdu_t* pdu, std::string_view path) -> void {
  while (!path.empty()) {
    auto slash = path.find('/');
    auto segment = path.substr(0, slash);
    if (!segment.empty()) {
      coap_add_option(pdu, COAP_OPTION_URI_PATH, segment.size(), Bytes(segment));
    }
    if (slash == std::string_view::npos) return;
    path.remove_prefix(slash + 1);
  }
}

auto AddToken(Flow& flow, coap_pdu_t* pdu) -> std::string {
  auto token = Token{};
  auto size = token.size();
  coap_session_new_token(flow.session, &size, token.data());
  coap_add_token(pdu, size, token.data());
  return {reinterpret_cast<const char*>(token.data()), size};
}

/// Options in the order of their numbers, as the codec wants them.
auto Fill(coap_pdu_t* pdu, const Message& message) -> void {
  if (message.observe) tools::AddUintOption(pdu, COAP_OPTION_OBSERVE, COAP_OBSERVE_ESTABLISH);
  AddPath(pdu, message.path);
  if (!message.body.empty()) {
    tools::AddUintOption(pdu, COAP_OPTION_CONTENT_FORMAT, COAP_MEDIATYPE_APPLICATION_JSON);
  }
  if (!message.query.empty()) {
    coap_add_option(pdu, COAP_OPTION_URI_QUERY, message.query.size(), Bytes(message.query));
  }
  if (message.deadline > base::Duration{}) {
    tools::AddUintOption(pdu, tools::kDeadlineOption,
                         static_cast<std::uint32_t>(message.deadline.count()));
  }
  if (!message.body.empty()) coap_add_data(pdu, message.body.size(), Bytes(message.body));
}

}  // namespace

auto SendMessage(Flow& flow, const Message& message) -> std::optional<std::string> {
  auto* pdu = coap_new_pdu(COAP_MESSAGE_CON, message.method, flow.session);
  if (pdu == nullptr) return std::nullopt;
  auto token = AddToken(flow, pdu);
  Fill(pdu, message);
  if (coap_send(flow.session, pdu) == COAP_INVALID_MID) return std::nullopt;
  return token;
}

auto CancelStream(Flow& flow) -> void {
  if (flow.stream_token.empty()) return;
  auto* token = coap_new_binary(flow.stream_token.size());
  flow.stream_token.copy(reinterpret_cast<char*>(token->s), token->length);
  coap_cancel_observe(flow.session, token, COAP_MESSAGE_CON);
  coap_delete_binary(token);
}

}  // namespace anvildrum::load
