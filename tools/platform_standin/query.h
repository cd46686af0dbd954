#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>

namespace anvildrum::platform_standin {

using Query = std::map<std::string, std::string, std::less<>>;

/// A request target (RFC 9112, 3.2.1) with its percent-encoding removed.
struct Target {
  std::string path;
  Query query;
};

/// Nothing when the percent-encoding is broken.
auto ParseTarget(std::string_view text) -> std::optional<Target>;

/// Decimal digits and nothing else.
auto ParseNumber(std::string_view text) -> std::optional<std::uint64_t>;

}  // namespace anvildrum::platform_standin
