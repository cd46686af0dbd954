#include "config/internal/operations.h"

#include <array>

#include "config/patch.h"
#include "json/reader.h"

namespace anvildrum::config {
namespace {

using json::Cursor;
using json::Json;

constexpr auto kWritable = std::string_view{"/services"};
constexpr auto kOperations =
    std::array<std::string_view, 6>{"add", "remove", "replace", "move", "copy", "test"};
constexpr auto kOperationCount = json::Range{0, 10'000};

// Safeguard: each "copy" of a part into itself doubles the document, so a few dozen operations
// would use up all memory. With this limit the document can at most double once more.
constexpr auto kMaxValues = std::size_t{500'000};

auto InPatch(Rule rule, std::string pointer, std::string found) -> ConfigurationError {
  return {rule, Place::kPatch, std::move(pointer), std::move(found), {}};
}

auto FromShape(const json::ReadError& error) -> ConfigurationError {
  return {Rule::kShape, Place::kPatch, error.pointer, error.found, error};
}

auto IsPointer(const std::string& text) -> bool {
  try {
    auto pointer = Json::json_pointer(text);
    return pointer.to_string() == text;
  } catch (const Json::exception&) {
    return false;
  }
}

auto TakePointer(json::Section& section, std::string_view key, std::string& out) -> void {
  auto at = json::Find(section, key, json::Presence::kRequired);
  if (!at || !json::TakeText(*at, out)) return;
  if (!IsPointer(out)) json::Refuse(*at, json::ReadErrorCode::kWrongType, "a JSON pointer");
}

auto Writes(std::string_view operation) -> bool { return operation != "test"; }

auto IsWritable(std::string_view pointer) -> bool {
  if (!pointer.starts_with(kWritable)) return false;
  auto rest = pointer.substr(kWritable.size());
  return rest.empty() || rest.front() == '/';
}

// Checks the members that RFC 6902, section 4, requires of each operation. Other members are
// ignored.
auto CheckMembers(const Cursor& at, json::Errors& errors) -> std::optional<ConfigurationError> {
  auto section = json::OpenSection(at);
  auto index = kOperations.size();
  if (auto op = json::Find(section, "op", json::Presence::kRequired)) {
    json::TakeChoice(*op, kOperations, index);
  }
  if (index == kOperations.size()) return FromShape(errors.front());
  auto operation = kOperations.at(index);
  auto path = std::string();
  auto from = std::string();
  TakePointer(section, "path", path);
  if (operation == "move" || operation == "copy") TakePointer(section, "from", from);
  if (operation == "add" || operation == "replace" || operation == "test") {
    json::Find(section, "value", json::Presence::kRequired);
  }
  if (!errors.empty()) return FromShape(errors.front());
  if (Writes(operation) && !IsWritable(path)) {
    return InPatch(Rule::kNotWritable, json::Child(at.pointer, "path"), path);
  }
  if (operation == "move" && !IsWritable(from)) {
    return InPatch(Rule::kNotWritable, json::Child(at.pointer, "from"), from);
  }
  return std::nullopt;
}

// Counts values against `budget`. Returns false if there are more, or if they are nested deeper
// than kMaxDepth.
auto Fits(const Json& value, int depth, std::size_t& budget) -> bool {
  if (depth > json::kMaxDepth || budget == 0) return false;
  --budget;
  if (!value.is_structured()) return true;
  for (const auto& child : value) {
    if (!Fits(child, depth + 1, budget)) return false;
  }
  return true;
}

auto FaultOf(const Json& operation) -> Rule {
  return operation.at("op") == "test" ? Rule::kTestFailed : Rule::kPathMissing;
}

auto ApplyOne(const Json& operation, const std::string& pointer, Json& document)
    -> std::optional<ConfigurationError> {
  auto path = operation.at("path").get<std::string>();
  try {
    document.patch_inplace(Json::array({operation}));
  } catch (const Json::exception&) {
    return InPatch(FaultOf(operation), pointer, path);
  }
  auto budget = kMaxValues;
  if (!Fits(document, 0, budget)) return InPatch(Rule::kTooLarge, pointer, path);
  return std::nullopt;
}

auto CheckOperations(const Json& operations) -> std::optional<ConfigurationError> {
  auto errors = json::Errors{};
  auto fault = std::optional<ConfigurationError>{};
  json::TakeEach({&operations, "", &errors}, kOperationCount, [&](const Cursor& at) {
    if (!fault) fault = CheckMembers(at, errors);
  });
  if (!fault && !errors.empty()) fault = FromShape(errors.front());
  return fault;
}

auto ReadWrapped(const Json& document, PatchDocument& out) -> std::optional<ConfigurationError> {
  auto errors = json::Errors{};
  auto section = json::OpenSection({&document, "", &errors});
  if (auto patch = json::Find(section, "patch", json::Presence::kRequired)) {
    out.operations = *patch->value;
  }
  if (auto allow = json::Find(section, "allow_address_move", json::Presence::kOptional)) {
    json::TakeFlag(*allow, out.allow_address_move);
  }
  json::CloseSection(section);
  if (!errors.empty()) return FromShape(errors.front());
  return std::nullopt;
}

}  // namespace

auto ParsePatch(std::string_view text, PatchDocument& out) -> std::optional<ConfigurationError> {
  if (text.size() > kMaxPatch) return InPatch(Rule::kTooLarge, "", std::to_string(text.size()));
  auto document = Json();
  auto syntax = base::ErrorOf<json::ReadError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(document, json::Parse(text, json::Comments::kIgnored));
    return {};
  });
  if (syntax) return FromShape(*syntax);
  if (document.is_array()) {
    out.operations = std::move(document);
  } else if (auto fault = ReadWrapped(document, out)) {
    return fault;
  }
  return CheckOperations(out.operations);
}

auto Apply(const Json& operations, Json& document) -> std::optional<ConfigurationError> {
  auto index = std::size_t{0};
  for (const auto& operation : operations) {
    auto fault = ApplyOne(operation, json::Child("", std::to_string(index)), document);
    if (fault) return fault;
    ++index;
  }
  return std::nullopt;
}

}  // namespace anvildrum::config
