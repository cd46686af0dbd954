#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "base/result.h"
#include "ctl/types/ctl_error.h"

namespace anvildrum::ctl {

/// An object of the platform.
struct Object {
  std::string key;
  std::uint64_t revision = 0;
  std::string value;  ///< JSON
};

enum class PutOutcome { kWritten, kConflict };

/// The platform's object API as the tool uses it. Each call fails with CtlError; after kNoAnswer or
/// kServerError a put may have taken effect.
struct ObjectStore {
  std::function<base::Result<std::optional<Object>>(std::string_view key)> get;
  /// Writes only if the object still has `revision`, or doesn't exist where that is empty.
  std::function<base::Result<PutOutcome>(std::string_view key, std::string_view value,
                                         std::optional<std::uint64_t> revision)>
      put;
  std::function<base::Result<std::vector<Object>>(std::string_view prefix)> list;
};

/// The store behind any of these addresses, over HTTP.
auto HttpObjectStore(std::vector<base::Endpoint> platform) -> ObjectStore;

}  // namespace anvildrum::ctl
