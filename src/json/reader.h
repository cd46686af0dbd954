#pragma once

#include <functional>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <string_view>
#include <vector>

#include "base/types/endpoint.h"
#include "json/parse.h"

/// Reading a document into structs: every fault is collected under its JSON pointer, so that a
/// person sees all of them at once. Each Take function returns whether `out` was set.
namespace anvildrum::json {

using Errors = std::vector<ReadError>;

/// A value and where it stands.
struct Cursor {
  const Json* value = nullptr;
  std::string pointer;
  Errors* errors = nullptr;
  bool secret = false;  ///< its text is kept out of errors
};

/// An object while it is read. Keys that were asked for are known; CloseSection refuses the rest.
struct Section {
  Cursor at;
  std::set<std::string, std::less<>> known;
};

enum class Presence { kRequired, kOptional };

auto OpenSection(Cursor at) -> Section;
auto CloseSection(const Section& section) -> void;

/// The member under `key`, or nothing; a required one that is missing is recorded as kMissingKey.
auto Find(Section& section, std::string_view key, Presence presence) -> std::optional<Cursor>;

/// Records a fault at the cursor.
auto Refuse(const Cursor& at, ReadErrorCode code, std::string_view expected = {}) -> void;
auto RefuseRange(const Cursor& at, Range range) -> void;

/// Any text. Errors: kWrongType.
auto TakeText(const Cursor& at, std::string& out) -> bool;

/// A name fit for keys of the platform. Errors: kWrongType, kNotAName.
auto TakeName(const Cursor& at, std::string& out) -> bool;

/// Whether `text` is fit as a name.
auto IsName(std::string_view text) -> bool;

/// One of `choices`, by its index. Errors: kWrongType, kNotAChoice.
auto TakeChoice(const Cursor& at, std::span<const std::string_view> choices, std::size_t& out)
    -> bool;

/// "IP:PORT". Errors: kWrongType, kNotAnEndpoint.
auto TakeEndpoint(const Cursor& at, base::Endpoint& out) -> bool;

auto TakeFlag(const Cursor& at, bool& out) -> bool;

/// A number within `range`. Errors: kWrongType, kOutOfRange.
auto TakeReal(const Cursor& at, Range range, double& out) -> bool;

/// A whole number within `range`, which the caller keeps within `Number`.
auto TakeWhole(const Cursor& at, Range range, std::uint64_t& out) -> bool;

template <typename Number>
auto TakeNumber(const Cursor& at, Range range, Number& out) -> bool {
  auto whole = std::uint64_t{0};
  if (!TakeWhole(at, range, whole)) return false;
  out = static_cast<Number>(whole);
  return true;
}

/// Calls `take` for each item of an array with as many items as `count` allows.
auto TakeEach(const Cursor& at, Range count, const std::function<void(const Cursor&)>& take)
    -> void;

/// Calls `take` for each member of an object, with its key.
auto TakeMembers(const Cursor& at,
                 const std::function<void(const std::string&, const Cursor&)>& take) -> void;

}  // namespace anvildrum::json
