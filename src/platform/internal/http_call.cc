#include "platform/internal/http_call.h"

#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>

#include "platform/dialect.h"

namespace anvildrum::platform {
namespace {

using Json = nlohmann::json;

constexpr auto kDigits = std::string_view("0123456789ABCDEF");

// Deepest nesting that is read.
constexpr auto kMaxDepth = 64;

enum HttpStatus : unsigned {
  kOk = 200,
  kCreated = 201,
  kNoContent = 204,
  kNotFound = 404,
  kConflict = 409,
  kGone = 410,
  kPreconditionFailed = 412,
  kContentTooLarge = 413,
  kServerErrors = 500,
};

// RFC 3986, 2.3: everything but unreserved characters and the slash is escaped.
auto Escape(std::string_view text) -> std::string {
  auto out = std::string{};
  for (auto byte : text) {
    auto code = static_cast<unsigned char>(byte);
    if (std::isalnum(code) != 0 || std::string_view("-._~/").find(byte) != std::string_view::npos) {
      out += byte;
      continue;
    }
    out += '%';
    out += kDigits[code / kDigits.size()];
    out += kDigits[code % kDigits.size()];
  }
  return out;
}

auto Tag(std::uint64_t revision) -> std::string { return '"' + std::to_string(revision) + '"'; }

auto ParseTag(std::string_view tag) -> std::optional<std::uint64_t> {
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') return std::nullopt;
  auto revision = std::uint64_t{0};
  const auto* last = tag.data() + tag.size() - 1;
  auto [end, error] = std::from_chars(tag.data() + 1, last, revision);
  if (error != std::errc{} || end != last) return std::nullopt;
  return revision;
}

auto NestsTooDeep(std::string_view text) -> bool {
  auto depth = 0;
  auto in_string = false;
  for (auto i = std::size_t{0}; i < text.size(); ++i) {
    auto byte = text[i];
    if (byte == '"') in_string = !in_string;
    if (in_string && byte == '\\') ++i;
    if (in_string) continue;
    if (byte == '[' || byte == '{') ++depth;
    if (byte == ']' || byte == '}') --depth;
    if (depth > kMaxDepth) return true;
  }
  return false;
}

// Safeguard: writing a JSON value as text recurses, and a value of half a million brackets, which
// anybody who may write to the platform can put there, would end every watcher's stack. What is
// nested deeper than any record of ours is left out, so that the other objects are still read. The
// parser with a filter looks through an array anew after each element, so it is used for these
// only.
auto ParseBounded(std::string_view text) -> Json {
  if (!NestsTooDeep(text)) return Json::parse(text, nullptr, false);
  auto keep = [](int depth, Json::parse_event_t, Json&) { return depth <= kMaxDepth; };
  return Json::parse(text, keep, false);
}

auto IsRevision(const Json& node, const char* name) -> bool {
  return node.contains(name) && node[name].is_number_unsigned();
}

auto ReadItem(const Json& node) -> std::optional<Object> {
  if (!node.is_object() || !IsRevision(node, "revision")) return std::nullopt;
  if (!node.contains("key") || !node["key"].is_string()) return std::nullopt;
  auto object = Object{node["key"], node["revision"], false, ""};
  if (node.contains("deleted")) {
    if (!node["deleted"].is_boolean()) return std::nullopt;
    object.deleted = node["deleted"];
  }
  if (object.deleted) return object;
  if (!node.contains("value")) return std::nullopt;
  object.value = node["value"].dump();
  return object;
}

auto ReadItems(const Json& document, const char* name) -> std::optional<std::vector<Object>> {
  if (!document.contains(name) || !document[name].is_array()) return std::nullopt;
  auto items = std::vector<Object>{};
  for (const auto& node : document[name]) {
    auto item = ReadItem(node);
    if (!item) return std::nullopt;
    items.push_back(std::move(*item));
  }
  return items;
}

auto CodeOf(unsigned status) -> PlatformErrorCode {
  switch (status) {
    case kNotFound:
      return PlatformErrorCode::kNotFound;
    case kGone:
      return PlatformErrorCode::kTooOld;
    case kConflict:
    case kPreconditionFailed:
      return PlatformErrorCode::kConflict;
    case kContentTooLarge:
      return PlatformErrorCode::kTooLarge;
    default:
      break;
  }
  return status >= kServerErrors ? PlatformErrorCode::kServerError : PlatformErrorCode::kRefused;
}

}  // namespace

auto FailureOf(const HttpCall& call, const HttpAnswer& answer) -> PlatformError {
  return {CodeOf(answer.status), answer.status, call.key};
}

auto MalformedAnswer(const HttpCall& call, const HttpAnswer& answer) -> PlatformError {
  return {PlatformErrorCode::kMalformedAnswer, answer.status, call.key};
}

auto IsWrite(CallKind kind) -> bool { return kind == CallKind::kPut || kind == CallKind::kDelete; }

auto GetCall(std::string_view key) -> HttpCall {
  return {CallKind::kGet, std::string(key), "/v1/objects/" + Escape(key), "", "", ""};
}

auto PutCall(std::string_view key, std::string_view value, const Precondition& precondition)
    -> HttpCall {
  auto call = GetCall(key);
  call.kind = CallKind::kPut;
  call.method = HttpMethod::kPut;
  call.body = value;
  if (const auto* match = std::get_if<IfMatch>(&precondition)) {
    call.if_match = Tag(match->revision);
  } else {
    call.if_none_match = "*";
  }
  return call;
}

auto DeleteCall(std::string_view key, IfMatch precondition) -> HttpCall {
  auto call = GetCall(key);
  call.kind = CallKind::kDelete;
  call.method = HttpMethod::kDelete;
  call.if_match = Tag(precondition.revision);
  return call;
}

auto ListCall(std::string_view prefix) -> HttpCall {
  return {CallKind::kList, std::string(prefix), "/v1/list?prefix=" + Escape(prefix), "", "", ""};
}

auto ListPageCall(std::string_view prefix, std::string_view from, std::size_t limit_bytes)
    -> HttpCall {
  auto call = ListCall(prefix);
  call.target += "&limit_bytes=" + std::to_string(limit_bytes);
  if (!from.empty()) call.target += "&from=" + Escape(from);
  return call;
}

auto WatchCall(std::string_view prefix, std::uint64_t after, std::uint64_t timeout_ms) -> HttpCall {
  auto target = "/v1/watch?prefix=" + Escape(prefix) + "&after=" + std::to_string(after) +
                "&timeout_ms=" + std::to_string(timeout_ms);
  return {CallKind::kWatch, std::string(prefix), target, "", "", ""};
}

auto ReadObject(const HttpCall& call, const HttpAnswer& answer) -> Outcome<Object> {
  if (answer.status != kOk) return FailureOf(call, answer);
  auto revision = ParseTag(answer.etag);
  auto document = ParseBounded(answer.body);
  if (!revision || document.is_discarded()) return MalformedAnswer(call, answer);
  return Object{call.key, *revision, false, document.dump()};
}

auto ReadRevision(const HttpCall& call, const HttpAnswer& answer) -> Outcome<std::uint64_t> {
  const auto written = answer.status == kOk || answer.status == kCreated;
  if (!written) return FailureOf(call, answer);
  auto revision = ParseTag(answer.etag);
  if (!revision) return MalformedAnswer(call, answer);
  return *revision;
}

auto ReadDeleted(const HttpCall& call, const HttpAnswer& answer) -> Outcome<std::monostate> {
  if (answer.status != kNoContent) return FailureOf(call, answer);
  return std::monostate{};
}

auto ReadListing(const HttpCall& call, const HttpAnswer& answer) -> Outcome<Listing> {
  if (answer.status != kOk) return FailureOf(call, answer);
  auto document = ParseBounded(answer.body);
  const auto whole = document.is_object() && IsRevision(document, "revision");
  if (!whole) return MalformedAnswer(call, answer);
  auto items = ReadItems(document, call.kind == CallKind::kWatch ? "events" : "items");
  if (!items) return MalformedAnswer(call, answer);
  auto listing = Listing{document["revision"], std::move(*items)};
  if (!document.contains("next")) return listing;
  if (!document["next"].is_string()) return MalformedAnswer(call, answer);
  listing.next = document["next"];
  return listing;
}

auto ObjectApi() -> const Dialect& {
  static constexpr auto api = Dialect{.get = GetCall,
                                      .put = PutCall,
                                      .remove = DeleteCall,
                                      .list_page = ListPageCall,
                                      .watch = WatchCall,
                                      .read_object = ReadObject,
                                      .read_revision = ReadRevision,
                                      .read_deleted = ReadDeleted,
                                      .read_listing = ReadListing};
  return api;
}

}  // namespace anvildrum::platform
