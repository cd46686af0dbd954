#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <variant>
#include <vector>

#include "platform/types/platform_error.h"

namespace anvildrum::platform {

/// One object, or the news that it was deleted.
struct Object {
  std::string key;
  std::uint64_t revision = 0;  ///< of its last change; of its deletion when `deleted`
  bool deleted = false;
  std::string value;  ///< JSON text, empty when `deleted`

  auto operator==(const Object&) const -> bool = default;
};

/// Objects under a prefix as of `revision`, or the changes that led to it.
struct Listing {
  std::uint64_t revision = 0;
  std::vector<Object> items;
  std::string next{};  ///< a page of a list: the key that the next one begins with; empty: the last
  std::uint64_t unreadable = 0;  ///< entries that were left out, since they name no object
};

/// The write takes effect only on the object in this revision.
struct IfMatch {
  std::uint64_t revision = 0;
};
/// The write takes effect only where there is no object.
struct IfAbsent {};
using Precondition = std::variant<IfMatch, IfAbsent>;

/// How an asynchronous call ended.
template <typename T>
using Outcome = std::variant<T, PlatformError>;

template <typename T>
using Callback = std::function<void(Outcome<T>)>;

}  // namespace anvildrum::platform
