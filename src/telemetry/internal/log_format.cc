#include <array>
#include <charconv>
#include <cstdio>
#include <type_traits>

#include "telemetry/log.h"

namespace anvildrum::telemetry {
namespace {

constexpr auto kFirstPrintable = 0x20;
constexpr auto kDelete = 0x7f;

auto IsControl(char character) -> bool {
  const auto code = static_cast<unsigned char>(character);
  return code < kFirstPrintable || code == kDelete;
}

auto NeedsQuotes(std::string_view text) -> bool {
  if (text.empty()) return true;
  for (const auto character : text) {
    if (IsControl(character)) return true;
    if (character == ' ' || character == '"' || character == '\\' || character == '=') return true;
  }
  return false;
}

auto AppendEscaped(std::string& out, char character) -> void {
  switch (character) {
    case '"':
      out += "\\\"";
      return;
    case '\\':
      out += "\\\\";
      return;
    case '\n':
      out += "\\n";
      return;
    case '\t':
      out += "\\t";
      return;
    default:
      break;
  }
  if (!IsControl(character)) {
    out += character;
    return;
  }
  auto escape = std::array<char, 8>{};
  std::snprintf(escape.data(), escape.size(), "\\u%04x", static_cast<unsigned char>(character));
  out += escape.data();
}

auto AppendText(std::string& out, std::string_view text) -> void {
  if (!NeedsQuotes(text)) {
    out += text;
    return;
  }
  out += '"';
  for (const auto character : text) AppendEscaped(out, character);
  out += '"';
}

auto AppendValue(std::string& out, const Field::Value& value) -> void {
  std::visit(
      [&](const auto& held) {
        using Held = std::decay_t<decltype(held)>;
        if constexpr (std::is_same_v<Held, std::string_view>) {
          AppendText(out, held);
        } else if constexpr (std::is_same_v<Held, bool>) {
          out += held ? "true" : "false";
        } else {
          auto digits = std::array<char, 32>{};
          const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), held).ptr;
          out.append(digits.data(), end);
        }
      },
      value);
}

}  // namespace

auto FormatEvent(std::string_view event, std::initializer_list<Field> fields) -> std::string {
  auto out = std::string{"event="};
  AppendText(out, event);
  for (const auto& field : fields) {
    out += ' ';
    out += field.key;
    out += '=';
    AppendValue(out, field.value);
  }
  return out;
}

}  // namespace anvildrum::telemetry
