#pragma once

#include <cstdint>
#include <string_view>
#include <variant>

#include "platform/types/http_call.h"
#include "platform/types/object.h"

namespace anvildrum::platform {

/// How a platform spells the calls of the client and its answers. The client keeps connections,
/// budget and deadlines; a dialect only translates. Every member is set. An answer that is not what
/// the dialect's API promises is kMalformedAnswer.
struct Dialect {
  auto(*get)(std::string_view key) -> HttpCall = nullptr;
  auto(*put)(std::string_view key, std::string_view value, const Precondition& precondition)
      -> HttpCall = nullptr;
  auto(*remove)(std::string_view key, IfMatch precondition) -> HttpCall = nullptr;
  /// One page of a list, from the previous page's Listing::next on; empty: the first one.
  auto(*list_page)(std::string_view prefix, std::string_view from, std::size_t limit_bytes)
      -> HttpCall = nullptr;
  auto(*watch)(std::string_view prefix, std::uint64_t after, std::uint64_t timeout_ms)
      -> HttpCall = nullptr;
  auto(*read_object)(const HttpCall& call, const HttpAnswer& answer) -> Outcome<Object> = nullptr;
  auto(*read_revision)(const HttpCall& call, const HttpAnswer& answer)
      -> Outcome<std::uint64_t> = nullptr;
  auto(*read_deleted)(const HttpCall& call, const HttpAnswer& answer)
      -> Outcome<std::monostate> = nullptr;
  auto(*read_listing)(const HttpCall& call, const HttpAnswer& answer) -> Outcome<Listing> = nullptr;
};

/// The error that an answer's status stands for, where it is no success. 409 and 412 are conflicts.
auto FailureOf(const HttpCall& call, const HttpAnswer& answer) -> PlatformError;

/// The error of an answer that is not what the API promises.
auto MalformedAnswer(const HttpCall& call, const HttpAnswer& answer) -> PlatformError;

/// The product's own object API (docs/ARCHITECTURE.md).
auto ObjectApi() -> const Dialect&;

}  // namespace anvildrum::platform
