#include "json/reader.h"

#include <algorithm>

namespace anvildrum::json {
namespace {

constexpr auto kMaxName = std::size_t{63};
constexpr auto kMaxFound = std::size_t{80};

// Writing a container could be long, so only its type is told.
auto Found(const Cursor& at) -> std::string {
  if (at.secret) return {};
  if (at.value->is_structured()) return at.value->type_name();
  return at.value->dump(-1, ' ', false, Json::error_handler_t::replace).substr(0, kMaxFound);
}

auto Within(double value, Range range) -> bool {
  return value >= range.least && value <= range.most;
}

auto IsLetterOrDigit(char c) -> bool { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9'); }

auto IsNameCharacter(char c) -> bool {
  return IsLetterOrDigit(c) || c == '-' || c == '_' || c == '.';
}

}  // namespace

auto OpenSection(Cursor at) -> Section {
  if (!at.value->is_object()) Refuse(at, ReadErrorCode::kWrongType, "an object");
  return Section{std::move(at), {}};
}

auto CloseSection(const Section& section) -> void {
  const auto& at = section.at;
  if (!at.value->is_object()) return;
  for (const auto& item : at.value->items()) {
    if (section.known.contains(item.key())) continue;
    Refuse({&item.value(), Child(at.pointer, item.key()), at.errors, at.secret},
           ReadErrorCode::kUnknownKey);
  }
}

auto Find(Section& section, std::string_view key, Presence presence) -> std::optional<Cursor> {
  const auto& at = section.at;
  section.known.emplace(key);
  if (!at.value->is_object()) return std::nullopt;
  auto pointer = Child(at.pointer, key);
  auto found = at.value->find(key);
  if (found != at.value->end()) return Cursor{&*found, pointer, at.errors, at.secret};
  if (presence == Presence::kRequired) {
    at.errors->push_back({ReadErrorCode::kMissingKey, pointer, {}, {}, {}, 0});
  }
  return std::nullopt;
}

auto Refuse(const Cursor& at, ReadErrorCode code, std::string_view expected) -> void {
  at.errors->push_back({code, at.pointer, Found(at), std::string(expected), {}, 0});
}

auto RefuseRange(const Cursor& at, Range range) -> void {
  at.errors->push_back({ReadErrorCode::kOutOfRange, at.pointer, Found(at), {}, range, 0});
}

auto TakeText(const Cursor& at, std::string& out) -> bool {
  if (!at.value->is_string()) {
    Refuse(at, ReadErrorCode::kWrongType, "text");
    return false;
  }
  out = at.value->get_ref<const std::string&>();
  return true;
}

auto IsName(std::string_view text) -> bool {
  if (text.empty() || text.size() > kMaxName) return false;
  return IsLetterOrDigit(text.front()) && std::all_of(text.begin(), text.end(), IsNameCharacter);
}

auto TakeName(const Cursor& at, std::string& out) -> bool {
  if (!TakeText(at, out)) return false;
  if (IsName(out)) return true;
  Refuse(at, ReadErrorCode::kNotAName);
  return false;
}

auto TakeChoice(const Cursor& at, std::span<const std::string_view> choices, std::size_t& out)
    -> bool {
  auto text = std::string();
  if (!TakeText(at, text)) return false;
  auto found = std::find(choices.begin(), choices.end(), text);
  if (found != choices.end()) {
    out = static_cast<std::size_t>(found - choices.begin());
    return true;
  }
  auto expected = std::string();
  for (auto choice : choices) expected += (expected.empty() ? "" : " | ") + std::string(choice);
  Refuse(at, ReadErrorCode::kNotAChoice, expected);
  return false;
}

auto TakeEndpoint(const Cursor& at, base::Endpoint& out) -> bool {
  auto text = std::string();
  if (!TakeText(at, text)) return false;
  auto refused = base::ErrorOf<base::EndpointError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(out, base::ParseEndpoint(text));
    return {};
  });
  if (!refused) return true;
  Refuse(at, ReadErrorCode::kNotAnEndpoint);
  return false;
}

auto TakeFlag(const Cursor& at, bool& out) -> bool {
  if (!at.value->is_boolean()) {
    Refuse(at, ReadErrorCode::kWrongType, "true or false");
    return false;
  }
  out = at.value->get<bool>();
  return true;
}

auto TakeReal(const Cursor& at, Range range, double& out) -> bool {
  if (!at.value->is_number()) {
    Refuse(at, ReadErrorCode::kWrongType, "a number");
    return false;
  }
  auto value = at.value->get<double>();
  if (!Within(value, range)) {
    RefuseRange(at, range);
    return false;
  }
  out = value;
  return true;
}

auto TakeWhole(const Cursor& at, Range range, std::uint64_t& out) -> bool {
  if (!at.value->is_number_integer()) {
    Refuse(at, ReadErrorCode::kWrongType, "a whole number");
    return false;
  }
  if (!Within(at.value->get<double>(), range)) {
    RefuseRange(at, range);
    return false;
  }
  out = at.value->get<std::uint64_t>();
  return true;
}

auto TakeEach(const Cursor& at, Range count, const std::function<void(const Cursor&)>& take)
    -> void {
  if (!at.value->is_array()) {
    Refuse(at, ReadErrorCode::kWrongType, "an array");
    return;
  }
  if (!Within(static_cast<double>(at.value->size()), count)) RefuseRange(at, count);
  auto index = std::size_t{0};
  for (const auto& item : *at.value) {
    take({&item, Child(at.pointer, std::to_string(index)), at.errors, at.secret});
    ++index;
  }
}

auto TakeMembers(const Cursor& at,
                 const std::function<void(const std::string&, const Cursor&)>& take) -> void {
  if (!at.value->is_object()) {
    Refuse(at, ReadErrorCode::kWrongType, "an object");
    return;
  }
  for (const auto& item : at.value->items()) {
    take(item.key(), {&item.value(), Child(at.pointer, item.key()), at.errors, at.secret});
  }
}

}  // namespace anvildrum::json
