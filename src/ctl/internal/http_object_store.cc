#include <charconv>
#include <utility>

#include "ctl/internal/http_client.h"
#include "ctl/object_store.h"
#include "json/parse.h"

namespace anvildrum::ctl {
namespace {

using json::Json;

constexpr auto kCallLimit = base::seconds(5);
constexpr auto kObjects = std::string_view{"/v1/objects/"};
constexpr auto kOk = 200;
constexpr auto kCreated = 201;
constexpr auto kNotFound = 404;
constexpr auto kPreconditionFailed = 412;

using Platform = std::vector<base::Endpoint>;

auto Fail(CtlErrorCode code, std::string_view subject, int status = 0) -> boost::leaf::error_id {
  return boost::leaf::new_error(CtlError{code, std::string(subject), status});
}

// Another address is tried only where the first was never reached: the same write must not stand
// at two addresses at once.
auto Call(const Platform& platform, const HttpRequest& request) -> base::Result<HttpAnswer> {
  for (const auto& server : platform) {
    auto answer = HttpAnswer{};
    auto failure = base::ErrorOf<CtlError>([&]() -> base::Result<void> {
      BOOST_LEAF_ASSIGN(answer, CallHttp(server, request, kCallLimit));
      return {};
    });
    if (!failure) return answer;
    if (failure->code != CtlErrorCode::kUnreachable) return boost::leaf::new_error(*failure);
  }
  return Fail(CtlErrorCode::kUnreachable, "the platform");
}

// A strong entity tag (RFC 9110, 8.8.3) that holds a revision.
auto RevisionOf(std::string_view etag) -> std::optional<std::uint64_t> {
  if (etag.size() < 3 || etag.front() != '"' || etag.back() != '"') return std::nullopt;
  auto digits = etag.substr(1, etag.size() - 2);
  auto revision = std::uint64_t{0};
  auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), revision);
  if (error != std::errc{} || end != digits.data() + digits.size()) return std::nullopt;
  return revision;
}

auto Get(const Platform& platform, std::string_view key) -> base::Result<std::optional<Object>> {
  auto request = HttpRequest{};
  request.target = std::string(kObjects) + std::string(key);
  BOOST_LEAF_AUTO(answer, Call(platform, request));
  if (answer.status == kNotFound) return std::optional<Object>{};
  if (answer.status != kOk) return Fail(CtlErrorCode::kServerError, key, answer.status);
  auto revision = RevisionOf(answer.etag);
  if (!revision) return Fail(CtlErrorCode::kBadAnswer, key);
  return std::optional<Object>(Object{std::string(key), *revision, std::move(answer.body)});
}

auto Put(const Platform& platform, std::string_view key, std::string_view value,
         std::optional<std::uint64_t> revision) -> base::Result<PutOutcome> {
  auto request = HttpRequest{};
  request.method = "PUT";
  request.target = std::string(kObjects) + std::string(key);
  request.body = value;
  request.headers.emplace_back("Content-Type", "application/json");
  if (revision) {
    request.headers.emplace_back("If-Match", "\"" + std::to_string(*revision) + "\"");
  } else {
    request.headers.emplace_back("If-None-Match", "*");
  }
  BOOST_LEAF_AUTO(answer, Call(platform, request));
  if (answer.status == kOk || answer.status == kCreated) return PutOutcome::kWritten;
  if (answer.status == kPreconditionFailed) return PutOutcome::kConflict;
  return Fail(CtlErrorCode::kServerError, key, answer.status);
}

auto ReadItem(const Json& item) -> Object {
  return Object{item.at("key").get<std::string>(), item.at("revision").get<std::uint64_t>(),
                item.at("value").dump()};
}

// Through json::Parse, which bounds the nesting: an answer may hold anything.
auto ReadItems(const std::string& body) -> base::Result<std::vector<Object>> {
  BOOST_LEAF_AUTO(document, json::Parse(body, json::Comments::kRefused));
  try {
    auto objects = std::vector<Object>{};
    for (const auto& item : document.at("items")) objects.push_back(ReadItem(item));
    return objects;
  } catch (const Json::exception&) {
    return Fail(CtlErrorCode::kBadAnswer, "items");
  }
}

auto List(const Platform& platform, std::string_view prefix) -> base::Result<std::vector<Object>> {
  auto request = HttpRequest{};
  request.target = "/v1/list?prefix=" + std::string(prefix);
  BOOST_LEAF_AUTO(answer, Call(platform, request));
  if (answer.status != kOk) return Fail(CtlErrorCode::kServerError, prefix, answer.status);
  auto objects = std::vector<Object>{};
  auto refused = base::ErrorOf<json::ReadError>([&]() -> base::Result<void> {
    BOOST_LEAF_ASSIGN(objects, ReadItems(answer.body));
    return {};
  });
  if (refused) return Fail(CtlErrorCode::kBadAnswer, prefix);
  return objects;
}

}  // namespace

auto HttpObjectStore(Platform platform) -> ObjectStore {
  auto store = ObjectStore{};
  store.get = [platform](auto key) { return Get(platform, key); };
  store.put = [platform](auto key, auto value, auto revision) {
    return Put(platform, key, value, revision);
  };
  store.list = [platform](auto prefix) { return List(platform, prefix); };
  return store;
}

}  // namespace anvildrum::ctl
