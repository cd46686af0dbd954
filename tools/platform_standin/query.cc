#include "platform_standin/query.h"

#include <algorithm>
#include <charconv>

namespace anvildrum::platform_standin {
namespace {

constexpr auto kHexBase = 16;
constexpr auto kEscapeSize = std::size_t{3};

auto Decode(std::string_view text) -> std::optional<std::string> {
  auto out = std::string{};
  for (auto i = std::size_t{0}; i < text.size(); ++i) {
    if (text[i] != '%') {
      out += text[i];
      continue;
    }
    if (text.size() - i < kEscapeSize) return std::nullopt;
    auto code = std::uint8_t{0};
    auto digits = text.substr(i + 1, 2);
    auto [end, error] = std::from_chars(digits.begin(), digits.end(), code, kHexBase);
    if (error != std::errc{} || end != digits.end()) return std::nullopt;
    out += static_cast<char>(code);
    i += kEscapeSize - 1;
  }
  return out;
}

auto ParseQuery(std::string_view text) -> std::optional<Query> {
  auto query = Query{};
  while (!text.empty()) {
    auto pair = text.substr(0, text.find('&'));
    text.remove_prefix(std::min(text.size(), pair.size() + 1));
    auto equals = pair.find('=');
    if (equals == std::string_view::npos) return std::nullopt;
    auto name = Decode(pair.substr(0, equals));
    auto value = Decode(pair.substr(equals + 1));
    if (!name || !value) return std::nullopt;
    query.insert_or_assign(*name, *value);
  }
  return query;
}

}  // namespace

auto ParseTarget(std::string_view text) -> std::optional<Target> {
  auto mark = text.find('?');
  auto path = Decode(text.substr(0, mark));
  if (!path) return std::nullopt;
  if (mark == std::string_view::npos) return Target{*path, {}};
  auto query = ParseQuery(text.substr(mark + 1));
  if (!query) return std::nullopt;
  return Target{*path, *query};
}

auto ParseNumber(std::string_view text) -> std::optional<std::uint64_t> {
  auto number = std::uint64_t{0};
  const auto* last = text.data() + text.size();
  auto [end, error] = std::from_chars(text.data(), last, number);
  if (error != std::errc{} || end != last) return std::nullopt;
  return number;
}

}  // namespace anvildrum::platform_standin
