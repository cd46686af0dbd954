#include "config/groups.h"

#include <algorithm>
#include <charconv>
#include <cmath>

#include "base/types/ids.h"
#include "json/reader.h"

namespace anvildrum::config {
namespace {

using json::Cursor;
using json::Json;

constexpr auto kNumbers = json::Range{0, 9'007'199'254'740'991};
constexpr auto kKeyCount = json::Range{1, 10'000};
constexpr auto kMaxGrowth =
    std::size_t{4};  // groups may grow to this many times their initial size

auto FromShape(const json::ReadError& error) -> ConfigurationError {
  return {Rule::kShape, Place::kDocument, error.pointer, error.found, error};
}

auto Parse(std::string_view text) -> base::Result<Json> {
  auto parsed = Json();
  auto refused = base::ErrorOf<json::ReadError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(parsed, json::Parse(text, json::Comments::kRefused));
    return {};
  });
  if (refused) return boost::leaf::new_error(FromShape(*refused));
  return parsed;
}

// A change of the group count rewrites every group, so the count is kept while the groups are
// small.
auto GroupCount(std::size_t services, const Head& before) -> std::size_t {
  auto wanted = static_cast<std::size_t>(std::ceil(std::sqrt(static_cast<double>(services))));
  wanted = std::max(wanted, std::size_t{1});
  if (before.keys.size() < 2) return wanted;
  auto count = before.keys.size() - 1;
  return services <= kMaxGrowth * count * count ? count : wanted;
}

auto TextsOf(const Json& document, const Head& before) -> std::vector<std::string> {
  const auto& services = document.at("services");
  auto groups = std::vector<Json>(GroupCount(services.size(), before), Json::object());
  for (const auto& [name, service] : services.items()) {
    groups[base::HashName(name) % groups.size()][name] = service;
  }
  auto texts = std::vector<std::string>{};
  for (const auto& group : groups) texts.push_back(group.dump());
  texts.push_back(document.value("history", Json::array()).dump());
  return texts;
}

auto KeyOf(std::uint64_t number, std::string_view patch_id, std::size_t index) -> std::string {
  return std::string(kGroupPrefix) + std::to_string(number) + "/" +
         std::to_string(base::HashName(patch_id)) + "/" + std::to_string(index);
}

auto NumberOf(std::string_view key) -> std::optional<std::uint64_t> {
  if (!key.starts_with(kGroupPrefix)) return std::nullopt;
  auto rest = key.substr(kGroupPrefix.size());
  auto number = std::uint64_t{0};
  auto [end, error] = std::from_chars(rest.data(), rest.data() + rest.size(), number);
  if (error != std::errc{} || end == rest.data() + rest.size() || *end != '/') return std::nullopt;
  return number;
}

// Returns the key at this index if the group has the same text, or null.
auto ExistingKey(const StoredGroups& before, std::size_t count, std::size_t index,
                 const std::string& text) -> const std::string* {
  if (before.head.keys.size() != count) return nullptr;
  const auto& key = before.head.keys[index];
  auto found = before.groups.find(key);
  return found != before.groups.end() && found->second == text ? &key : nullptr;
}

auto HasParts(const Json& document) -> bool {
  return document.is_object() && document.contains("number") &&
         document["number"].is_number_unsigned() && document.contains("services") &&
         document["services"].is_object();
}

}  // namespace

auto ParseHead(std::string_view text) -> base::Result<Head> {
  BOOST_LEAF_AUTO(parsed, Parse(text));
  auto head = Head{};
  auto errors = json::Errors{};
  auto section = json::OpenSection({&parsed, "", &errors});
  if (auto number = json::Find(section, "number", json::Presence::kRequired)) {
    json::TakeNumber(*number, kNumbers, head.number);
  }
  if (auto keys = json::Find(section, "groups", json::Presence::kRequired)) {
    json::TakeEach(*keys, kKeyCount, [&](const Cursor& item) {
      head.keys.emplace_back();
      json::TakeText(item, head.keys.back());
    });
  }
  json::CloseSection(section);
  if (!errors.empty()) return boost::leaf::new_error(FromShape(errors.front()));
  return head;
}

auto SplitDocument(std::string_view document, const StoredGroups& before, std::string_view patch_id)
    -> base::Result<GroupWrites> {
  BOOST_LEAF_AUTO(parsed, Parse(document));
  if (!HasParts(parsed)) return boost::leaf::new_error(ConfigurationError{});
  auto number = parsed["number"].get<std::uint64_t>();
  auto texts = TextsOf(parsed, before.head);
  auto written = GroupWrites{};
  auto keys = Json::array();
  for (auto i = std::size_t{0}; i < texts.size(); ++i) {
    const auto* existing = ExistingKey(before, texts.size(), i, texts[i]);
    keys.push_back(existing != nullptr ? *existing : KeyOf(number, patch_id, i));
    if (existing == nullptr) written.groups.push_back({keys.back(), std::move(texts[i])});
  }
  written.head = Json{{"number", number}, {"groups", keys}}.dump();
  return written;
}

auto JoinDocument(const StoredGroups& stored) -> base::Result<std::optional<std::string>> {
  auto document = Json{{"number", stored.head.number}, {"services", Json::object()}};
  for (const auto& key : stored.head.keys) {
    auto found = stored.groups.find(key);
    if (found == stored.groups.end()) return std::optional<std::string>{};
    BOOST_LEAF_AUTO(part, Parse(found->second));
    if (&key == &stored.head.keys.back()) {
      document["history"] = std::move(part);
    } else if (part.is_object()) {
      document["services"].update(part);
    } else {
      return boost::leaf::new_error(ConfigurationError{Rule::kShape, {}, {}, key, {}});
    }
  }
  return std::optional<std::string>(document.dump());
}

auto ObsoleteGroups(const Head& head, std::span<const std::string> keys)
    -> std::vector<std::string> {
  auto garbage = std::vector<std::string>{};
  for (const auto& key : keys) {
    auto number = NumberOf(key);
    if (!number || *number > head.number) continue;
    if (std::ranges::find(head.keys, key) == head.keys.end()) garbage.push_back(key);
  }
  return garbage;
}

}  // namespace anvildrum::config
