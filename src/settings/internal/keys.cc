#include "settings/internal/keys.h"

#include <algorithm>
#include <charconv>

namespace anvildrum::settings {
namespace {

using json::Cursor;

constexpr auto kMaxKeys = 4;
constexpr auto kHexBase = 16;
constexpr auto kZ85Length = std::size_t{40};
constexpr auto kZ85Alphabet = std::string_view{
    "0123456789abcdefghijklmnopqrstuvwxyzABCDEFGHIJKLMNOPQRSTUVWXYZ"
    ".-:+=^!/*?&<>()[]{}@%$#"};

auto DecodeHex(std::string_view text, wire::Key& key) -> bool {
  if (text.size() != 2 * key.size()) return false;
  for (auto i = std::size_t{0}; i < key.size(); ++i) {
    const auto* digits = text.data() + 2 * i;
    auto [end, error] = std::from_chars(digits, digits + 2, key[i], kHexBase);
    if (error != std::errc{} || end != digits + 2) return false;
  }
  return true;
}

auto IsZ85(std::string_view text) -> bool {
  auto known = [](char c) { return kZ85Alphabet.find(c) != std::string_view::npos; };
  return text.size() == kZ85Length && std::all_of(text.begin(), text.end(), known);
}

auto TakeTunnelKey(const Cursor& at, wire::KeyRing& ring) -> void {
  auto text = std::string();
  auto key = wire::Key{};
  if (!json::TakeText(at, text)) return;
  if (DecodeHex(text, key)) {
    ring.keys.push_back(key);
  } else {
    json::Refuse(at, json::ReadErrorCode::kNotAKey, "32 hexadecimal digits");
  }
}

auto TakeHalf(json::Section& section, std::string_view name, std::string& out) -> void {
  auto at = json::Find(section, name, json::Presence::kRequired);
  if (!at || !json::TakeText(*at, out)) return;
  if (!IsZ85(out)) json::Refuse(*at, json::ReadErrorCode::kNotAKey, "40 characters of Z85");
}

auto TakeRelayKey(const Cursor& at, std::vector<RelayKey>& keys) -> void {
  auto section = json::OpenSection(at);
  auto key = RelayKey{};
  TakeHalf(section, "public", key.public_key);
  TakeHalf(section, "secret", key.secret_key);
  json::CloseSection(section);
  keys.push_back(std::move(key));
}

auto Secret(Cursor at) -> Cursor {
  at.secret = true;
  return at;
}

}  // namespace

auto TakeTunnelKeys(const Cursor& at, wire::KeyRing& ring) -> void {
  auto take = [&](const Cursor& item) { TakeTunnelKey(item, ring); };
  json::TakeEach(Secret(at), {1, kMaxKeys}, take);
}

auto TakeRelayKeys(const Cursor& at, bool may_be_empty, std::vector<RelayKey>& keys) -> void {
  auto take = [&](const Cursor& item) { TakeRelayKey(item, keys); };
  json::TakeEach(Secret(at), {may_be_empty ? 0.0 : 1.0, kMaxKeys}, take);
}

}  // namespace anvildrum::settings
