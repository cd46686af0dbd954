#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "requests/coap_message.h"

/// CoAP messages of the fake clients and targets. The id and the service that a request means
/// travel as a Uri-Query ("id=h1&to=desk"), so that a target can count executions by id.
namespace anvildrum::scenario {

using requests::Bytes;
using requests::BytesView;

inline constexpr std::uint8_t kGet = 1;
inline constexpr std::uint8_t kPost = 2;
inline constexpr std::uint8_t kPut = 3;
inline constexpr std::uint8_t kContent = 2 << 5 | 5;
inline constexpr std::uint8_t kChanged = 2 << 5 | 4;

struct Draft {
  requests::MessageType type = requests::MessageType::kConfirmable;
  std::uint8_t code = 0;
  std::uint16_t message_id = 0;
  requests::Token token;
  std::optional<std::uint32_t> observe;
  std::string path;
  std::string query;
  std::string payload;
};

auto Write(const Draft& draft) -> Bytes;

/// The Uri-Query of a datagram; empty when it has none.
auto QueryOf(BytesView datagram) -> std::string;
/// The payload as text.
auto PayloadOf(BytesView datagram) -> std::string;
/// Value of `name` in "a=1&b=2".
auto FieldOf(std::string_view query, std::string_view name) -> std::string;

}  // namespace anvildrum::scenario
