#include "platform_standin/api.h"

#include <algorithm>
#include <charconv>
#include <limits>
#include <nlohmann/json.hpp>

#include "platform_standin/query.h"

namespace anvildrum::platform_standin {
namespace {

constexpr auto kObjects = std::string_view("/v1/objects/");
constexpr auto kDefaultWatchMs = std::uint32_t{30000};

enum HttpStatus : unsigned {
  kOk = 200,
  kCreated = 201,
  kNoContent = 204,
  kBadRequest = 400,
  kNotFound = 404,
  kMethodNotAllowed = 405,
  kGone = 410,
  kPreconditionFailed = 412,
  kContentTooLarge = 413,
  kInternalError = 500,
};

auto Plain(unsigned status) -> Handled { return {Answer{status, 0, "{}", Delivery::kWhole}}; }

auto Malformed(Platform& platform) -> Handled {
  ++platform.counts.malformed;
  return Plain(kBadRequest);
}

// A strong entity tag: the revision in quotes.
auto ParseTag(std::string_view tag) -> std::optional<std::uint64_t> {
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') return std::nullopt;
  return ParseNumber(tag.substr(1, tag.size() - 2));
}

auto ParseCondition(const Request& request) -> std::optional<Condition> {
  if (!request.if_match.empty() && !request.if_none_match.empty()) return std::nullopt;
  if (!request.if_match.empty()) {
    auto revision = ParseTag(request.if_match);
    if (!revision) return std::nullopt;
    return IfRevision{*revision};
  }
  if (request.if_none_match.empty()) return Unconditional{};
  if (request.if_none_match != "*") return std::nullopt;
  return IfAbsent{};
}

auto ReadRevision(const Platform& platform) -> std::uint64_t {
  auto lag = std::min(platform.faults.stale_reads_revisions, platform.store.revision);
  return platform.store.revision - lag;
}

auto Quote(std::string_view text) -> std::string { return nlohmann::json(text).dump(); }

auto WriteItem(std::string& out, std::string_view key, std::uint64_t revision,
               const std::string* value) -> void {
  if (out.back() != '[') out += ',';
  out += R"({"key":)" + Quote(key) + R"(,"revision":)" + std::to_string(revision);
  out += R"(,"deleted":)" + std::string(value == nullptr ? "true" : "false");
  out += R"(,"value":)" + (value == nullptr ? std::string("null") : *value) + "}";
}

auto HandleGet(Platform& platform, std::string_view key) -> Handled {
  ++platform.counts.get;
  auto objects = ObjectsAt(platform.store, ReadRevision(platform));
  auto found = objects.find(key);
  if (found == objects.end()) return Plain(kNotFound);
  return {Answer{kOk, found->second.revision, *found->second.value, Delivery::kWhole}};
}

// What a list asks for. Without `limit_bytes` it is not cut into pages.
struct ListQuery {
  std::string prefix;
  std::string from;  ///< first key of the page
  std::uint64_t limit_bytes = std::numeric_limits<std::uint64_t>::max();
};

auto ReadListQuery(const Query& query) -> std::optional<ListQuery> {
  auto prefix = query.find("prefix");
  if (prefix == query.end()) return std::nullopt;
  auto read = ListQuery{};
  read.prefix = prefix->second;
  if (auto from = query.find("from"); from != query.end()) read.from = from->second;
  if (auto limit = query.find("limit_bytes"); limit != query.end()) {
    auto bytes = ParseNumber(limit->second);
    if (!bytes) return std::nullopt;
    read.limit_bytes = *bytes;
  }
  return read;
}

// One object at least, so that each page leads on.
auto HandleList(Platform& platform, const Query& query) -> Handled {
  ++platform.counts.list;
  auto asked = ReadListQuery(query);
  if (!asked) return Malformed(platform);
  auto revision = ReadRevision(platform);
  auto body = R"({"revision":)" + std::to_string(revision) + R"(,"items":[)";
  auto next = std::string{};
  for (const auto& [key, entry] : ObjectsAt(platform.store, revision)) {
    if (!key.starts_with(asked->prefix) || key < asked->from) continue;
    auto before = body.size();
    auto first = body.back() == '[';
    WriteItem(body, key, entry.revision, entry.value.get());
    if (first || body.size() <= asked->limit_bytes) continue;
    body.resize(before);
    next = R"(,"next":)" + Quote(key);
    break;
  }
  return {Answer{kOk, 0, body + "]" + next + "}", Delivery::kWhole}};
}

auto HandleWatch(Platform& platform, const Query& query) -> Handled {
  ++platform.counts.watch;
  auto prefix = query.find("prefix");
  auto after = query.find("after");
  if (prefix == query.end() || after == query.end()) return Malformed(platform);
  auto watch = HeldWatch{prefix->second, 0, kDefaultWatchMs};
  auto revision = ParseNumber(after->second);
  if (!revision) return Malformed(platform);
  watch.after = *revision;
  if (auto timeout = query.find("timeout_ms"); timeout != query.end()) {
    auto milliseconds = ParseNumber(timeout->second);
    if (!milliseconds || *milliseconds > UINT32_MAX) return Malformed(platform);
    watch.timeout_ms = static_cast<std::uint32_t>(*milliseconds);
  }
  return {Answer{}, watch};
}

auto StatusOf(WriteResult result) -> unsigned {
  switch (result) {
    case WriteResult::kCreated:
      return kCreated;
    case WriteResult::kReplaced:
      return kOk;
    case WriteResult::kDeleted:
      return kNoContent;
    case WriteResult::kNotFound:
      return kNotFound;
    case WriteResult::kConditionFailed:
      return kPreconditionFailed;
    case WriteResult::kTooLarge:
      return kContentTooLarge;
  }
  return kInternalError;
}

auto AnswerWrite(Platform& platform, WriteResult result) -> Handled {
  auto handled = Plain(StatusOf(result));
  auto stored = result == WriteResult::kCreated || result == WriteResult::kReplaced;
  auto took = stored || result == WriteResult::kDeleted;
  if (stored) handled.answer.etag = platform.store.revision;
  if (!took) return handled;
  if (Strike(platform.faults.lose_answers)) handled.answer.delivery = Delivery::kClose;
  if (Strike(platform.faults.conflict_after_write)) return Plain(kPreconditionFailed);
  return handled;
}

auto HandleObject(Platform& platform, const Request& request, std::string_view key) -> Handled {
  if (key.empty()) return Malformed(platform);
  if (request.method == "GET") return HandleGet(platform, key);
  auto condition = ParseCondition(request);
  if (!condition) return Malformed(platform);
  if (request.method == "DELETE") {
    ++platform.counts.remove;
    return AnswerWrite(platform, Delete(platform.store, key, *condition));
  }
  if (request.method != "PUT") return Plain(kMethodNotAllowed);
  ++platform.counts.put;
  if (request.body.size() > kMaxValueSize) return Plain(kContentTooLarge);
  if (!nlohmann::json::accept(request.body)) return Malformed(platform);
  return AnswerWrite(platform, Put(platform.store, key, request.body, *condition));
}

auto HandleFaults(Platform& platform, const Request& request) -> Handled {
  if (request.method != "PUT") return Plain(kMethodNotAllowed);
  if (!UpdateFaults(platform.faults, request.body)) return Malformed(platform);
  return Plain(kOk);
}

auto HandleCounts(const Platform& platform) -> Handled {
  const auto& counts = platform.counts;
  auto body = nlohmann::json{{"get", counts.get},
                             {"put", counts.put},
                             {"delete", counts.remove},
                             {"list", counts.list},
                             {"watch", counts.watch},
                             {"malformed", counts.malformed},
                             {"waiting_watches", counts.waiting_watches},
                             {"revision", platform.store.revision}};
  return {Answer{kOk, 0, body.dump(), Delivery::kWhole}};
}

auto HandleControl(Platform& platform, const Request& request, const Target& target)
    -> std::optional<Handled> {
  auto handled = std::optional<Handled>{};
  if (target.path == "/v1/faults") handled = HandleFaults(platform, request);
  if (target.path == "/v1/counts") handled = HandleCounts(platform);
  if (handled) handled->control = true;
  return handled;
}

auto HandleApi(Platform& platform, const Request& request, const Target& target) -> Handled {
  if (target.path.starts_with(kObjects)) {
    return HandleObject(platform, request, target.path.substr(kObjects.size()));
  }
  if (request.method != "GET") return Plain(kMethodNotAllowed);
  if (target.path == "/v1/list") return HandleList(platform, target.query);
  if (target.path == "/v1/watch") return HandleWatch(platform, target.query);
  return Plain(kNotFound);
}

}  // namespace

auto Handle(Platform& platform, const Request& request) -> Handled {
  auto target = ParseTarget(request.target);
  if (!target) return Malformed(platform);
  if (auto control = HandleControl(platform, request, *target)) return *control;
  auto closed = Answer{0, 0, "", Delivery::kClose};
  if (platform.faults.down) return {closed};
  if (Strike(platform.faults.error_500)) return Plain(kInternalError);
  auto handled = HandleApi(platform, request, *target);
  if (!handled.held && Strike(platform.faults.half_body)) handled.answer.delivery = Delivery::kHalf;
  return handled;
}

auto AnswerWatch(Platform& platform, const HeldWatch& watch, bool timed_out)
    -> std::optional<Answer> {
  if (platform.faults.hang_watches) return std::nullopt;
  auto changes = ChangesAfter(platform.store, watch.prefix, watch.after);
  if (!changes) return Answer{kGone, 0, "{}", Delivery::kWhole};
  if (changes->empty() && !timed_out) return std::nullopt;
  auto body = R"({"revision":)" + std::to_string(platform.store.revision) + R"(,"events":[)";
  for (const auto& change : *changes) {
    auto value = change.after ? change.after->value.get() : nullptr;
    WriteItem(body, change.key, change.revision, value);
  }
  auto answer = Answer{kOk, 0, body + "]}", Delivery::kWhole};
  if (Strike(platform.faults.half_body)) answer.delivery = Delivery::kHalf;
  return answer;
}

}  // namespace anvildrum::platform_standin
