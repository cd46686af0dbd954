#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "platform/types/http_call.h"
#include "platform/types/object.h"

namespace anvildrum::platform {

auto IsWrite(CallKind kind) -> bool;

auto GetCall(std::string_view key) -> HttpCall;
auto PutCall(std::string_view key, std::string_view value, const Precondition& precondition)
    -> HttpCall;
auto DeleteCall(std::string_view key, IfMatch precondition) -> HttpCall;
auto ListCall(std::string_view prefix) -> HttpCall;
/// One page of a list, from this key on; empty: the first one.
auto ListPageCall(std::string_view prefix, std::string_view from, std::size_t limit_bytes)
    -> HttpCall;
auto WatchCall(std::string_view prefix, std::uint64_t after, std::uint64_t timeout_ms) -> HttpCall;

/// Reads of an answer. An answer that is not what the API promises is kMalformedAnswer.
auto ReadObject(const HttpCall& call, const HttpAnswer& answer) -> Outcome<Object>;
auto ReadRevision(const HttpCall& call, const HttpAnswer& answer) -> Outcome<std::uint64_t>;
auto ReadDeleted(const HttpCall& call, const HttpAnswer& answer) -> Outcome<std::monostate>;
auto ReadListing(const HttpCall& call, const HttpAnswer& answer) -> Outcome<Listing>;

/// The pages so far and one more, as of the first one's revision; see internal/list_pages.cc.
/// Nothing where the page does not go on from them.
auto JoinPage(Listing whole, Listing page) -> std::optional<Listing>;

}  // namespace anvildrum::platform
