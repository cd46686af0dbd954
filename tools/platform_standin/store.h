#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace anvildrum::platform_standin {

/// Largest value the object API holds, in bytes.
inline constexpr std::size_t kMaxValueSize = std::size_t{1024} * 1024;

/// Changes that are kept for watches and for reads of the past.
inline constexpr std::size_t kMaxHistory = 4096;

/// One object's state. The value is JSON text, shared between the store and its history.
struct Entry {
  std::uint64_t revision = 0;
  std::shared_ptr<const std::string> value;
};

/// One change of one key, with what stood there before.
struct Change {
  std::uint64_t revision = 0;
  std::string key;
  std::optional<Entry> before;
  std::optional<Entry> after;  ///< nothing when the object was deleted
};

using ObjectMap = std::map<std::string, Entry, std::less<>>;

/// The objects, and the changes that led here. One rising revision for the whole store.
struct Store {
  std::uint64_t revision = 0;
  ObjectMap objects;
  std::deque<Change> history;         ///< oldest first, at most history_limit
  std::uint64_t forgotten_until = 0;  ///< newest revision that is no longer in the history
  std::size_t history_limit = kMaxHistory;
};

/// Conditions of a write (RFC 9110, 13.1.1 and 13.1.2).
struct IfRevision {
  std::uint64_t revision = 0;
};
struct IfAbsent {};
struct Unconditional {};
using Condition = std::variant<IfRevision, IfAbsent, Unconditional>;

enum class WriteResult { kCreated, kReplaced, kDeleted, kNotFound, kConditionFailed, kTooLarge };

auto Put(Store& store, std::string_view key, std::string value, const Condition& condition)
    -> WriteResult;
auto Delete(Store& store, std::string_view key, const Condition& condition) -> WriteResult;

/// All objects as they stood at `revision`, or as far back as the history reaches.
auto ObjectsAt(const Store& store, std::uint64_t revision) -> ObjectMap;

/// Changes under `prefix` newer than `after`, oldest first; nothing when `after` is older than the
/// history, so that the reader has to list again.
auto ChangesAfter(const Store& store, std::string_view prefix, std::uint64_t after)
    -> std::optional<std::vector<Change>>;

}  // namespace anvildrum::platform_standin
